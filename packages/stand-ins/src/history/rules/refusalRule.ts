/**
 * A refusal that says `ran: no` is honest: the ask it answers started no run, neither before the
 * refusal nor after it. A repeat of the same request is another ask and may run; so each run
 * must be explained by some ask that was not refused as not run.
 */
import { vmOf } from '@rosemaryspread/decisions/names/nameTypes.js'
import type { History, Outcome } from '../history.js'
import type { RecordOf } from '../historyTypes.js'
import type { Finding, HistoryRule } from '../ruleTypes.js'

/** Honest refusals. */
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
    return [{ text: `request ${run.requestId} ran at ${run.runner} though its ask was refused as not run`, records: [...causes, run, ...dishonest] }]
  }
}

function saidNotRun (outcome: Outcome): outcome is RecordOf<'refused'> {
  return outcome.kind === 'refused' && outcome.ran === 'no'
}

/** Asks made before the run; only those at the VM that dispatched it, when that is known. */
function possibleCauses (run: RecordOf<'ran'>, asks: readonly RecordOf<'asked'>[]): readonly RecordOf<'asked'>[] {
  const earlier = asks.filter(ask => ask.at <= run.at)
  if (run.holder === undefined) return earlier
  const vm = vmOf(run.holder)
  const there = earlier.filter(ask => ask.vm === vm)
  return there.length > 0 ? there : earlier
}
