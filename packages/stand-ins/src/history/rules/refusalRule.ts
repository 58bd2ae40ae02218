/**
 * Checks refusals with `ran: no`: the refused attempt started no run, neither before nor after the
 * refusal. A repeat of the same request is a separate attempt and may run, so each run needs an
 * attempt that was not refused as not run.
 */
import { vmOf } from '@rosemaryspread/decisions/names/nameTypes.js'
import type { History, Outcome } from '../history.js'
import type { RecordOf } from '../historyTypes.js'
import type { Finding, HistoryRule } from '../ruleTypes.js'

export class RefusalRule implements HistoryRule {
  readonly name = 'honestRefusal'
  readonly promise = 'A request that is refused as not run was not run'

  check (history: History): readonly Finding[] {
    const attempts = history.byRequest('asked')
    const outcomes = history.outcomesByAttempt()
    return history.of('ran').flatMap(run => this.checkRun(run, attempts.get(run.requestId) ?? [], outcomes))
  }

  private checkRun (run: RecordOf<'ran'>, attempts: readonly RecordOf<'asked'>[], outcomes: ReadonlyMap<string, readonly Outcome[]>): Finding[] {
    const candidates = candidateAttempts(run, attempts)
    const refusals = candidates.map(ask => (outcomes.get(ask.ask) ?? []).find(isRefusedAsNotRun))
    const contradicted = refusals.filter(refusal => refusal !== undefined)
    if (contradicted.length === 0 || contradicted.length < candidates.length) return []
    return [{ text: `request ${run.requestId} ran at ${run.runner} though its attempt was refused as not run`, records: [...candidates, run, ...contradicted] }]
  }
}

function isRefusedAsNotRun (outcome: Outcome): outcome is RecordOf<'refused'> {
  return outcome.kind === 'refused' && outcome.ran === 'no'
}

/** Attempts sent before the run; only those at the VM that dispatched it, if recorded. */
function candidateAttempts (run: RecordOf<'ran'>, attempts: readonly RecordOf<'asked'>[]): readonly RecordOf<'asked'>[] {
  const earlier = attempts.filter(attempt => attempt.at <= run.at)
  if (run.holder === undefined) return earlier
  const vm = vmOf(run.holder)
  const atSameVm = earlier.filter(attempt => attempt.vm === vm)
  return atSameVm.length > 0 ? atSameVm : earlier
}
