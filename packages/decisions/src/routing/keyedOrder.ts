/**
 * Order of runners for a keyed request. Every VM tries all configured runners of the model in the
 * same order and seals each runner that it skips. Every runner before the one that runs a request
 * is therefore sealed, and a repeat at any VM finds the first run without a shared store.
 */
import { hashName, pairWeight } from './rendezvous.js'
import type { RunnerState } from './runnerState.js'

/** How long engines store the record of a run. */
const RECORD_RETENTION_MS = 7_200_000

/** Exceeds every weight, so that recently added runners come after all others. */
const RECENTLY_ADDED_PENALTY = 2 ** 32

/**
 * Yields the runners in the order of one request. Runners added within the record retention time
 * come last, because an earlier run may have been placed before they were added.
 * @param states - all configured runners of the model
 * @param wall - current wall time in milliseconds
 */
export function * keyedOrder (requestId: string, model: string, states: readonly RunnerState[], wall: number): Generator<RunnerState, void> {
  const key = hashName(requestId)
  const remaining = [...states]
  const weights = remaining.map(state => weightOf(key, state, model, wall))
  while (remaining.length > 0) {
    const best = indexOfBest(remaining, weights)
    const state = remaining[best]
    if (state !== undefined) yield state
    removeAt(remaining, best)
    removeAt(weights, best)
  }
}

/**
 * Rank of one runner in the order of a request; the highest comes first.
 * @param addedAt - wall time in milliseconds when the runner was configured for the model, if known
 * @param wall - current wall time in milliseconds
 */
export function keyedRank (requestId: string, runner: string, addedAt: number | undefined, wall: number): number {
  return rankOf(hashName(requestId), hashName(runner), addedAt, wall)
}

function weightOf (key: number, state: RunnerState, model: string, wall: number): number {
  return rankOf(key, state.nameHash, state.models.get(model), wall)
}

function rankOf (key: number, nameHash: number, addedAt: number | undefined, wall: number): number {
  const isRecent = addedAt !== undefined && wall - addedAt < RECORD_RETENTION_MS
  return pairWeight(key, nameHash) - (isRecent ? RECENTLY_ADDED_PENALTY : 0)
}

function indexOfBest (states: readonly RunnerState[], weights: readonly number[]): number {
  let best = 0
  for (let i = 1; i < weights.length; i++) {
    const difference = (weights[i] ?? 0) - (weights[best] ?? 0)
    if (difference > 0 || (difference === 0 && nameOf(states[i]) < nameOf(states[best]))) best = i
  }
  return best
}

function nameOf (state: RunnerState | undefined): string {
  return state?.view.runner ?? ''
}

/** Removes an item in constant time by moving the last one to its index. */
function removeAt<T> (items: T[], index: number): void {
  const last = items.pop()
  if (last !== undefined && index < items.length) items[index] = last
}
