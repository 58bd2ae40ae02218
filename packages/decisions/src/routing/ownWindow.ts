/**
 * How many requests one VM may have in flight over a set of runners. Reports lag, so VMs that each
 * fill what they see free would all overshoot and then all hold back. Instead each scales what it
 * had at the time of the reports by how far all together were from the limit then: that settles
 * whatever the lag, and a VM gets a part in proportion to its use.
 */
import type { RunnerState } from './runnerState.js'

/** Requests added to the window beyond the scaled ones, for each runner: lets a VM with none begin. */
const PROBE_PER_RUNNER = 0.3

/**
 * The window of this VM.
 * @param usable - runners that may be used
 * @param queueShare - requests that may wait at a runner, as a share of its slots
 * @returns requests in flight allowed in all; infinite when nothing is reported
 */
export function ownWindow (usable: readonly RunnerState[], queueShare: number): number {
  let total = 0
  let own = 0
  let limit = 0
  for (const { load, view } of usable) {
    const report = load.lastReport
    if (report === undefined) continue
    total += report.total
    own += report.own
    limit += view.slots * (1 + queueShare)
  }
  if (total === 0) return Infinity
  return own * limit / total + PROBE_PER_RUNNER * usable.length
}
