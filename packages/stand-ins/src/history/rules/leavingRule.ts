/**
 * Checks that a leaving runner receives no new run after the grace period.
 */
import type { History } from '../history.js'
import type { Finding, HistoryRule, CheckLimits } from '../ruleTypes.js'

export class LeavingRule implements HistoryRule {
  readonly name = 'leavingRunner'
  readonly promise = 'A target that is leaving receives no new work after a few seconds'

  check (history: History, limits: CheckLimits): readonly Finding[] {
    const runs = history.of('ran')
    return history.of('runnerLeaving').flatMap(leaving => runs
      .filter(run => run.runner === leaving.runner && run.at > leaving.at + limits.leavingGraceMs)
      .map(run => ({ text: `runner ${run.runner} received a new run ${run.at - leaving.at} ms after it started leaving`, records: [leaving, run] })))
  }
}
