/**
 * One runner as a plan sees it, and what it holds of one model.
 */
import type { LoadedModel, PlacementOrder } from './placementTypes.js'

/** A runner at one moment. */
export interface PlacementRunner {
  readonly runner: string
  readonly domain: string
  /** Models that the configuration declares for it. */
  readonly allowed: readonly string[]
  /** It answers, and neither it nor the configuration says that it leaves. */
  readonly isServing: boolean
  /** It may get new copies. */
  readonly isSteady: boolean
  /** Failures of late. */
  readonly downs: number
  readonly loaded: readonly LoadedModel[]
  /** Models of which it refused an order a short while ago. */
  readonly blocked: readonly string[]
  /** The order whose effect is awaited. */
  readonly awaited: PlacementOrder | undefined
}

/** What the configuration declares of a model; no version when it does not name the model. */
export interface ModelTarget {
  readonly model: string
  readonly version: string | undefined
  readonly adapters: readonly string[]
  /** Copies wanted; one on every runner that declares the model when absent. */
  readonly copies: number | undefined
}

/**
 * State of a model on a runner. `partial`: the version is right and adapters are missing.
 * `stale`: another version. `loading`: ordered and not yet reported. `changing`: an order that
 * leads elsewhere has not been seen to take effect.
 */
export type CopyState = 'none' | 'good' | 'partial' | 'stale' | 'loading' | 'changing'

/**
 * State of a model on a runner.
 * @param runner - the runner
 * @param target - the model
 */
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

/**
 * Whether a runner may hold a copy that counts.
 * @param runner - the runner
 * @param target - the model
 * @param state - what it holds of the model
 */
export function isCandidate (runner: PlacementRunner, target: ModelTarget, state: CopyState): boolean {
  if (!runner.isServing || !runner.isSteady || !runner.allowed.includes(target.model)) return false
  return state === 'good' || state === 'partial' || state === 'loading' || !runner.blocked.includes(target.model)
}
