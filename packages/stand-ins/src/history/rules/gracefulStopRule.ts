/**
 * Checks that a graceful shutdown interrupts no request in progress: every attempt that was open at
 * the VM when the shutdown started receives an outcome, and a running one its complete answer.
 */
import { vmOf } from '@rosemaryspread/decisions/names/nameTypes.js'
import type { History, Outcome } from '../history.js'
import type { RecordOf } from '../historyTypes.js'
import type { Finding, HistoryRule } from '../ruleTypes.js'

export class GracefulStopRule implements HistoryRule {
  readonly name = 'gracefulStop'
  readonly promise = 'A graceful shutdown interrupts no request in progress'

  check (history: History): readonly Finding[] {
    const interrupted = history.of('vmStopped')
      .filter(stopped => stopped.interrupted > 0)
      .map(stopped => ({ text: `VM ${stopped.vm} stopped with ${stopped.interrupted} open requests`, records: [stopped] }))
    const outcomes = history.outcomesByAttempt()
    return [...interrupted, ...history.of('vmStopping').flatMap(stopping => this.checkStop(history, stopping, outcomes))]
  }

  private checkStop (history: History, stopping: RecordOf<'vmStopping'>, outcomes: ReadonlyMap<string, readonly Outcome[]>): Finding[] {
    if (wasKilledWhileStopping(history, stopping)) return []
    return history.of('asked')
      .filter(ask => ask.vm === stopping.vm && ask.at < stopping.at)
      .flatMap(ask => this.checkAttempt(history, stopping, ask, outcomes.get(ask.ask) ?? []))
  }

  private checkAttempt (history: History, stopping: RecordOf<'vmStopping'>, attempt: RecordOf<'asked'>, outcomes: readonly Outcome[]): Finding[] {
    if (outcomes.some(outcome => outcome.at < stopping.at)) return []
    const interruption = outcomes.find(outcome => outcome.kind === 'lost' || (outcome.kind === 'answered' && !outcome.whole))
    if (interruption !== undefined) return [{ text: `attempt ${attempt.ask} was interrupted by the stop of VM ${stopping.vm}`, records: [attempt, stopping, interruption] }]
    if (outcomes.length === 0 && history.settledAt !== undefined) {
      return [{ text: `attempt ${attempt.ask} received no outcome after the stop of VM ${stopping.vm}`, records: [attempt, stopping] }]
    }
    const refused = outcomes.find(outcome => outcome.kind === 'refused')
    const runs = history.of('ran').filter(run => run.requestId === attempt.requestId && run.at >= attempt.at && run.at <= stopping.at &&
      run.holder !== undefined && vmOf(run.holder) === stopping.vm)
    if (refused === undefined || runs.length === 0) return []
    return [{ text: `attempt ${attempt.ask} was running and was refused during the stop of VM ${stopping.vm}`, records: [attempt, ...runs, stopping, refused] }]
  }
}

/** Whether the test killed the VM before its shutdown had finished, so that it was not graceful. */
function wasKilledWhileStopping (history: History, stopping: RecordOf<'vmStopping'>): boolean {
  const stopped = history.of('vmStopped').find(record => record.holder === stopping.holder)
  return history.of('vmDown').some(down => down.vm === stopping.vm && down.cause === 'killed' &&
    down.at >= stopping.at && (stopped === undefined || down.at < stopped.at))
}
