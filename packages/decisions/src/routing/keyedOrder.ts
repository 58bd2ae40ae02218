/**
 * Order of runners for a keyed request. Every VM walks all configured runners of the model in
 * the same order, so a repeat at any VM finds the first run without a store: a VM that skips a
 * runner has it sealed first, hence a run at one place proves that all places before it hold
 * either a seal or the run itself.
 */
import { hashName, pairWeight } from './rendezvous.js'
import type { RunnerState } from './runnerState.js'

/** Milliseconds for which engines keep the record of a run. */
const RECORD_KEEP_MS = 7_200_000

/** Puts runners added lately after all others. */
const RECENT_PENALTY = 2 ** 32

/**
 * Yields the runners in the order of one request. A runner added less than the record time ago
 * comes after the rest, since an earlier run cannot have been placed by an order that had it.
 * @param requestId - the request
 * @param model - its model
 * @param states - all configured runners of the model
 * @param wall - present wall time in milliseconds
 */
export function * keyedOrder (requestId: string, model: string, states: readonly RunnerState[], wall: number): Generator<RunnerState, void> {
  const key = hashName(requestId)
  const rest = [...states]
  const weights = rest.map(state => weightOf(key, state, model, wall))
  while (rest.length > 0) {
    const best = indexOfBest(rest, weights)
    const state = rest[best]
    if (state !== undefined) yield state
    removeAt(rest, best)
    removeAt(weights, best)
  }
}

/**
 * Place of one runner in the order of a request; the higher comes first.
 * @param requestId - the request
 * @param runner - id of the runner
 * @param addedAt - wall milliseconds since which it serves the model, when known
 * @param wall - present wall time in milliseconds
 */
export function keyedRank (requestId: string, runner: string, addedAt: number | undefined, wall: number): number {
  return rankOf(hashName(requestId), hashName(runner), addedAt, wall)
}

function weightOf (key: number, state: RunnerState, model: string, wall: number): number {
  return rankOf(key, state.nameHash, state.models.get(model), wall)
}

function rankOf (key: number, nameHash: number, addedAt: number | undefined, wall: number): number {
  const recent = addedAt !== undefined && wall - addedAt < RECORD_KEEP_MS
  return pairWeight(key, nameHash) - (recent ? RECENT_PENALTY : 0)
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

/** Removes an item by moving the last one into its place. */
function removeAt<T> (items: T[], index: number): void {
  const last = items.pop()
  if (last !== undefined && index < items.length) items[index] = last
}
