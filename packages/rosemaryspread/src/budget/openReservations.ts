/**
 * Reservations that the ledger has neither admitted nor refused yet.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { Reservation } from './budgetPort.js'

interface OpenReservation {
  readonly reservation: Reservation
  readonly resolve: (result: Either<Failure, Reservation>) => void
}

export class OpenReservations {
  private readonly open = new Map<string, OpenReservation>()
  private openedCount = 0
  private admittedCount = 0
  private refusedCount = 0

  /** @param holder - holder id, used as a prefix of reservation ids */
  constructor (private readonly holder: string) {}

  /** Whether any reservation is open. */
  get isWaiting (): boolean {
    return this.open.size > 0
  }

  /** Reservations admitted since the start. */
  get reserved (): number {
    return this.admittedCount
  }

  /** Reservations refused since the start. */
  get refused (): number {
    return this.refusedCount
  }

  /**
   * Opens a reservation; resolves when it is admitted or refused.
   * @param submit - passes it to the ledger, which may answer it at once
   */
  async add (budget: string, tokens: number, submit: (reservation: Reservation) => void): Promise<Either<Failure, Reservation>> {
    this.openedCount += 1
    const reservation = { reservationId: `${this.holder}.r${this.openedCount}`, budget, tokens }
    return await new Promise(resolve => {
      this.open.set(reservation.reservationId, { reservation, resolve })
      submit(reservation)
    })
  }

  /**
   * Answers an open reservation; any other is ignored.
   * @param failure - why it was refused; absent when it was admitted
   */
  answer (reservationId: string, failure?: Failure): void {
    const item = this.open.get(reservationId)
    if (item === undefined) return
    this.open.delete(reservationId)
    if (failure === undefined) this.admittedCount += 1
    else this.refusedCount += 1
    item.resolve(failure === undefined ? Right(item.reservation) : Left(failure))
  }
}
