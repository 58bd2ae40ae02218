/**
 * Bounds the share of candidates that may be ejected at once. When more are ejected, the cause is
 * likely not the runners, so those whose ejection ends first are used again.
 */
import type { RunnerState } from './runnerState.js'

/** Of two or more candidates, one may always be ejected. */
const MAX_EJECTED_SHARE = 1 / 3

export interface BoundedCandidates {
  readonly usable: readonly RunnerState[]
  /** Number of usable runners that are still ejected. */
  readonly forcedCount: number
}

/**
 * Removes ejected candidates, up to the bound.
 * @param candidates - runners that are neither leaving nor excluded
 * @param mono - current monotonic time in milliseconds
 */
export function boundEjections (candidates: readonly RunnerState[], mono: number): BoundedCandidates {
  const ejected = candidates.filter(state => isUnavailable(state, mono))
  if (ejected.length === 0) return { usable: candidates, forcedCount: 0 }
  const maxEjected = candidates.length < 2 ? 0 : Math.max(1, Math.floor(candidates.length * MAX_EJECTED_SHARE))
  const forcedCount = Math.max(0, ejected.length - maxEjected)
  const readmitted = new Set(ejected.sort((a, b) => a.health.until - b.health.until).slice(0, forcedCount))
  return { usable: candidates.filter(state => readmitted.has(state) || !isUnavailable(state, mono)), forcedCount }
}

function isUnavailable (state: RunnerState, mono: number): boolean {
  return state.health.share(mono, state.load.count) === 0
}
