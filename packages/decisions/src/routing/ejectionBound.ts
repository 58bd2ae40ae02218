/**
 * Bounds how many candidates may be ejected at once. When more are, the trouble is likely not
 * theirs, and those nearest to their return are used again: serving badly beats refusing all.
 */
import type { RunnerState } from './runnerState.js'

/** Share of the candidates that may be ejected at once; one of two or more always may. */
const EJECTED_SHARE = 1 / 3

/** Candidates split by whether they may be used. */
export interface BoundedCandidates {
  readonly usable: readonly RunnerState[]
  /** Ejected ones that are used all the same. */
  readonly forced: number
}

/**
 * Leaves out ejected candidates as far as the bound allows.
 * @param candidates - runners that are neither leaving nor excluded
 * @param mono - present monotonic time in milliseconds
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
