/**
 * What request handling and operators ask of budgets. The driver behind it feeds the ledger and
 * carries out its actions against the table service and the peers.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { Bill } from '@rosemaryspread/decisions/budget/budgetTypes.js'

/** A reservation that was admitted. */
export interface Reservation {
  readonly reservationId: string
  readonly budget: string
  readonly tokens: number
}

/** Budgets as request handling uses them. */
export interface BudgetPort {
  /**
   * Reserves the worst case of a request; resolves at once when the allotment suffices.
   * @param budget - budget id
   * @param tokens - prompt estimate plus the cap of generated tokens
   * @param giveUpAfterMs - milliseconds after which waiting ends in a refusal
   */
  reserve (budget: string, tokens: number, giveUpAfterMs: number): Promise<Either<Failure, Reservation>>
  /**
   * Whether a reservation may still be spent. To be asked right before the run is dispatched,
   * after the last wait: a VM that was paused in between has lost its allotment.
   * @param reservation - the reservation
   */
  confirm (reservation: Reservation): Either<Failure, void>
  /**
   * Ends a reservation and bills what was used.
   * @param reservation - the one to end
   * @param bill - what it cost; absent when nothing is owed
   */
  settle (reservation: Reservation, bill?: Bill): void
}
