/**
 * Number of requests that one VM may have in flight over a set of runners. Reports lag, so VMs that
 * each filled the reported free slots would overshoot and then back off together. Instead each VM
 * scales its own load at report time by limit / total load, which converges whatever the lag and
 * shares the capacity in proportion to use.
 */
import type { RunnerState } from './runnerState.js'

/** Requests added to the window per runner, so that a VM with none in flight can start. */
const PROBE_PER_RUNNER = 0.3

/**
 * @param queueShare - requests that may wait at a runner, as a share of its slots
 * @returns total requests in flight allowed; infinite when no load is reported
 */
export function localWindow (usable: readonly RunnerState[], queueShare: number): number {
  let total = 0
  let local = 0
  let limit = 0
  for (const { load, view } of usable) {
    const report = load.lastReport
    if (report === undefined) continue
    total += report.total
    local += report.local
    limit += view.slots * (1 + queueShare)
  }
  if (total === 0) return Infinity
  return local * limit / total + PROBE_PER_RUNNER * usable.length
}
