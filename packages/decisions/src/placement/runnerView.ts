/**
 * A runner as input of a model plan, and the state of one model on it.
 */
import type { LoadedModel, PlacementOrder } from './placementTypes.js'

/** Snapshot of a runner. */
export interface PlacementRunner {
  readonly runner: string
  readonly domain: string
  /** Models that the configuration declares for the runner. */
  readonly declaredModels: readonly string[]
  /** It responds, and neither it nor the configuration marks it as leaving. */
  readonly isServing: boolean
  /** It has been up for long enough to get new copies. */
  readonly isStable: boolean
  /** Recent failures. */
  readonly failures: number
  readonly loaded: readonly LoadedModel[]
  /** Models of which it recently refused an order. */
  readonly blockedModels: readonly string[]
  /** The order whose effect is pending. */
  readonly pendingOrder: PlacementOrder | undefined
}

/** Declared state of a model; no version when the configuration lacks the model. */
export interface ModelDeclaration {
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

export function copyState (runner: PlacementRunner, declaration: ModelDeclaration): CopyState {
  const loaded = runner.loaded.find(({ model }) => model === declaration.model)
  const awaited = runner.pendingOrder?.model === declaration.model ? runner.pendingOrder : undefined
  if (awaited?.kind === 'unload') return 'changing'
  if (loaded !== undefined && loaded.version === declaration.version) {
    return declaration.adapters.every(adapter => loaded.adapters.includes(adapter)) ? 'good' : 'partial'
  }
  if (awaited?.kind === 'load') return awaited.version === declaration.version ? 'loading' : 'changing'
  return loaded === undefined ? 'none' : 'stale'
}

/** Whether a runner may have a copy that counts. */
export function isCandidate (runner: PlacementRunner, declaration: ModelDeclaration, state: CopyState): boolean {
  if (!runner.isServing || !runner.isStable || !runner.declaredModels.includes(declaration.model)) return false
  return state === 'good' || state === 'partial' || state === 'loading' || !runner.blockedModels.includes(declaration.model)
}
