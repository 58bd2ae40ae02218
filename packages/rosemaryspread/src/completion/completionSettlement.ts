/**
 * Settles the attempts of a finished request: releases the reservation of an attempt whose run this process
 * did not start, and passes any other to the unsettled runs, which determine its cost.
 */
import { toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { BudgetPort, Reservation } from '../budget/budgetPort.js'
import type { AdmittedCompletion } from './completionAdmission.js'
import type { AttemptOutcome } from './completionAttempt.js'
import type { PlannedRun } from './completionPlanner.js'
import type { DrainState } from './completionPorts.js'
import type { RunDebt, UnsettledRuns } from './completionUnsettled.js'

export interface SettlementDeps {
  readonly holder: string
  readonly work: DrainState
  readonly budgets: BudgetPort
  readonly unsettled: UnsettledRuns
  readonly log: EventLog
}

/** An attempt with the reservation that it leaves open. */
export interface EndedAttempt {
  readonly plan: PlannedRun
  readonly reservation: Reservation
  readonly outcome: AttemptOutcome
}

export class CompletionSettlement {
  constructor (private readonly deps: SettlementDeps) {}

  /** Settles all attempts of one request, given in order; only the last can be billed. */
  settleAll (admitted: AdmittedCompletion, attempts: readonly EndedAttempt[]): void {
    attempts.forEach((attempt, index) => { this.settle(admitted, attempt, index === attempts.length - 1) })
  }

  private settle (admitted: AdmittedCompletion, { plan, reservation, outcome }: EndedAttempt, isLast: boolean): void {
    if (outcome.kind === 'notStarted' || this.isStartedByPeer(outcome)) {
      this.deps.budgets.settle(reservation)
      return
    }
    const usage = outcome.kind === 'whole' ? { usage: outcome.end.usage } : {}
    const run = { admitted, reservation, ranAt: plan.at, unsealed: plan.unsealed, debt: debtOf(outcome, isLast), ...usage }
    const close = this.deps.work.open()
    this.deps.unsettled.add(run)
      .catch((err: unknown) => { this.deps.log.write('fault', { err: toFailure(err).message }) })
      .finally(close)
  }

  /** A run without a reported holder counts as started by this process. */
  private isStartedByPeer (outcome: AttemptOutcome): boolean {
    return outcome.kind === 'whole' && outcome.holder !== '' && outcome.holder !== this.deps.holder
  }
}

function debtOf (outcome: AttemptOutcome, isLast: boolean): RunDebt {
  if (!isLast) return 'none'
  if (outcome.kind === 'whole') return 'owed'
  return outcome.kind === 'cut' && outcome.failure.code === 'callerGone' ? 'owed' : 'free'
}
