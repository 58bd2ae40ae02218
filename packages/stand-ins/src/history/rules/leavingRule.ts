/**
 * A runner that is leaving receives no new run after the grace time.
 */
import type { History } from '../history.js'
import type { Finding, HistoryRule, CheckLimits } from '../ruleTypes.js'

/** No new work for a leaving runner. */
export class LeavingRule implements HistoryRule {
  readonly name = 'leavingRunner'
  readonly promise = 'A target that is leaving receives no new work after a few seconds'

  check (history: History, limits: CheckLimits): readonly Finding[] {
    const runs = history.of('ran')
    return history.of('runnerLeaving').flatMap(leaving => runs
      .filter(run => run.runner === leaving.runner && run.at > leaving.at + limits.leavingGraceMs)
      .map(run => ({ text: `runner ${run.runner} got a new run ${run.at - leaving.at} ms after it began to leave`, records: [leaving, run] })))
  }
}
