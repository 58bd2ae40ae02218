/**
 * Interface of budgets for request handling. The driver behind it feeds the ledger and executes its actions against the
 * table service and the peers.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { Bill } from '@rosemaryspread/decisions/budget/budgetTypes.js'

/** An admitted reservation. */
export interface Reservation {
  readonly reservationId: string
  readonly budget: string
  readonly tokens: number
}

export interface BudgetPort {
  /**
   * Reserves the worst case of a request; resolves at once when the allotment suffices.
   * @param tokens - prompt estimate plus the cap of generated tokens
   * @param giveUpAfterMs - wait in milliseconds after which the reservation is refused
   * @param priority - 0 is the most urgent; absent where all are equally urgent
   */
  reserve (budget: string, tokens: number, giveUpAfterMs: number, priority?: number): Promise<Either<Failure, Reservation>>
  /**
   * Checks that a reservation may still be spent. To be called right before the run is dispatched, after the last wait: a
   * VM that was paused in between has lost its allotment.
   */
  confirm (reservation: Reservation): Either<Failure, void>
  /**
   * Ends a reservation and bills the usage.
   * @param bill - what the request cost; absent when nothing is owed
   */
  settle (reservation: Reservation, bill?: Bill): void
}
