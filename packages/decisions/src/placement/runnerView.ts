/**
 * A runner as input of a model plan, and the state of one model on it.
 */
import type { LoadedModel, PlacementOrder } from './placementTypes.js'

/** Snapshot of a runner. */
export interface PlacementRunner {
  readonly runner: string
  readonly domain: string
  /** Models that the configuration declares for the runner. */
  readonly allowed: readonly string[]
  /** It responds, and neither it nor the configuration marks it as leaving. */
  readonly isServing: boolean
  /** It has been up for long enough to get new copies. */
  readonly isSteady: boolean
  /** Recent failures. */
  readonly downs: number
  readonly loaded: readonly LoadedModel[]
  /** Models of which it recently refused an order. */
  readonly blocked: readonly string[]
  /** The order whose effect is pending. */
  readonly awaited: PlacementOrder | undefined
}

/** Declared state of a model; no version when the configuration lacks the model. */
export interface ModelTarget {
  readonly model: string
  readonly version: string | undefined
  readonly adapters: readonly string[]
  /** Declared copies; one on every runner that declares the model when absent. */
  readonly copies: number | undefined
}

/**
 * State of a model on a runner. `partial`: right version, adapters missing. `stale`: another version.
 * `loading`: ordered and not yet reported. `changing`: the effect of a conflicting order is pending.
 */
export type CopyState = 'none' | 'good' | 'partial' | 'stale' | 'loading' | 'changing'

export function copyState (runner: PlacementRunner, target: ModelTarget): CopyState {
  const loaded = runner.loaded.find(({ model }) => model === target.model)
  const awaited = runner.awaited?.model === target.model ? runner.awaited : undefined
  if (awaited?.kind === 'unload') return 'changing'
  if (loaded !== undefined && loaded.version === target.version) {
    return target.adapters.every(adapter => loaded.adapters.includes(adapter)) ? 'good' : 'partial'
  }
  if (awaited?.kind === 'load') return awaited.version === target.version ? 'loading' : 'changing'
  return loaded === undefined ? 'none' : 'stale'
}

/** Whether a runner may have a copy that counts. */
export function isCandidate (runner: PlacementRunner, target: ModelTarget, state: CopyState): boolean {
  if (!runner.isServing || !runner.isSteady || !runner.allowed.includes(target.model)) return false
  return state === 'good' || state === 'partial' || state === 'loading' || !runner.blocked.includes(target.model)
}
