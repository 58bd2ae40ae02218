/** Reservations that were asked for and that the ledger has neither admitted nor refused yet. */
import { Left, Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { Reservation } from './budgetPort.js'

interface OpenReservation {
  readonly reservation: Reservation
  readonly resolve: (result: Either<Failure, Reservation>) => void
}

/** Open reservations of one holder. */
export class OpenReservations {
  private readonly open = new Map<string, OpenReservation>()
  private opened = 0
  private admittedCount = 0
  private refusedCount = 0

  /** @param holder - holder id, part of the ids of reservations */
  constructor (private readonly holder: string) {}

  /** Whether any waits for its answer. */
  get isWaiting (): boolean {
    return this.open.size > 0
  }

  /** Reservations admitted so far. */
  get reserved (): number {
    return this.admittedCount
  }

  /** Reservations refused so far. */
  get refused (): number {
    return this.refusedCount
  }

  /**
   * Opens a reservation; resolves when it is answered.
   * @param budget - budget id
   * @param tokens - tokens to reserve
   * @param ask - asks the ledger; called once the reservation is open, and may answer it at once
   */
  async add (budget: string, tokens: number, ask: (reservation: Reservation) => void): Promise<Either<Failure, Reservation>> {
    this.opened += 1
    const reservation = { reservationId: `${this.holder}.r${this.opened}`, budget, tokens }
    return await new Promise(resolve => {
      this.open.set(reservation.reservationId, { reservation, resolve })
      ask(reservation)
    })
  }

  /**
   * Answers an open reservation; another is ignored.
   * @param reservationId - the reservation
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
