/**
 * Bounds the share of candidates that may be ejected at once. When more are ejected, the cause is
 * likely not the runners, so those whose ejection ends first are used again.
 */
import type { RunnerState } from './runnerState.js'

/** Of two or more candidates, one may always be ejected. */
const EJECTED_SHARE = 1 / 3

export interface BoundedCandidates {
  readonly usable: readonly RunnerState[]
  /** Number of usable runners that are still ejected. */
  readonly forced: number
}

/**
 * Removes ejected candidates, up to the bound.
 * @param candidates - runners that are neither leaving nor excluded
 * @param mono - current monotonic time in milliseconds
 */
export function boundEjections (candidates: readonly RunnerState[], mono: number): BoundedCandidates {
  const ejected = candidates.filter(state => isOut(state, mono))
  if (ejected.length === 0) return { usable: candidates, forced: 0 }
  const allowed = candidates.length < 2 ? 0 : Math.max(1, Math.floor(candidates.length * EJECTED_SHARE))
  const forced = Math.max(0, ejected.length - allowed)
  const back = new Set(ejected.sort((a, b) => a.health.until - b.health.until).slice(0, forced))
  return { usable: candidates.filter(state => back.has(state) || !isOut(state, mono)), forced }
}

function isOut (state: RunnerState, mono: number): boolean {
  return state.health.share(mono, state.load.count) === 0
}
