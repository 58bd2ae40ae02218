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
    const asks = history.byRequest('asked')
    const outcomes = history.outcomes()
    return history.of('ran').flatMap(run => this.judgeRun(run, asks.get(run.requestId) ?? [], outcomes))
  }

  private judgeRun (run: RecordOf<'ran'>, asks: readonly RecordOf<'asked'>[], outcomes: ReadonlyMap<string, readonly Outcome[]>): Finding[] {
    const causes = possibleCauses(run, asks)
    const refusals = causes.map(ask => (outcomes.get(ask.ask) ?? []).find(saidNotRun))
    const dishonest = refusals.filter(refusal => refusal !== undefined)
    if (dishonest.length === 0 || dishonest.length < causes.length) return []
    return [{ text: `request ${run.requestId} ran at ${run.runner} though its attempt was refused as not run`, records: [...causes, run, ...dishonest] }]
  }
}

function saidNotRun (outcome: Outcome): outcome is RecordOf<'refused'> {
  return outcome.kind === 'refused' && outcome.ran === 'no'
}

/** Attempts sent before the run; only those at the VM that dispatched it, if recorded. */
function possibleCauses (run: RecordOf<'ran'>, asks: readonly RecordOf<'asked'>[]): readonly RecordOf<'asked'>[] {
  const earlier = asks.filter(ask => ask.at <= run.at)
  if (run.holder === undefined) return earlier
  const vm = vmOf(run.holder)
  const there = earlier.filter(ask => ask.vm === vm)
  return there.length > 0 ? there : earlier
}
