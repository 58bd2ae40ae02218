/**
 * Events, orders, limits and interface of placement, which brings the models, versions and adapters on runners to
 * the declared configuration, based on reports that lag.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { FleetConfig } from '../config/configSchema.js'

export interface LoadedModel {
  readonly model: string
  readonly version: string
  readonly adapters: readonly string[]
}

/** Inference phases that an engine serves. */
export type EngineRole = 'prefill' | 'decode' | 'both'

/** An order to one engine. `model` and `version` are empty for orders of kind `role`. */
export interface PlacementOrder {
  /** Unique, except that a resent order has the same id and takes effect only once. */
  readonly orderId: string
  readonly fencing: number
  readonly kind: 'load' | 'unload' | 'loadAdapter' | 'role'
  readonly model: string
  readonly version: string
  readonly adapter?: string
  readonly role?: EngineRole
}

/** Outcome of an order as known to its sender. */
export type PlacementOutcome =
  | { readonly kind: 'done' }
  /** The response was lost or late: the order may have taken effect, or may yet. */
  | { readonly kind: 'unknown' }
  /** No connection was established. */
  | { readonly kind: 'notSent' }
  /** The engine has received a higher fencing number. */
  | { readonly kind: 'oldFencing' }
  /** Not executed; `retryAfterMs` is set when the weight store is over its rate limit. */
  | { readonly kind: 'refused', readonly retryAfterMs?: number }

/** Inputs of the planner. */
export type PlacementEvent =
  | { readonly kind: 'configured', readonly config: FleetConfig }
  /** This process acquired the placement lease. */
  | { readonly kind: 'taken', readonly fencing: number }
  | { readonly kind: 'lost' }
  | { readonly kind: 'reported', readonly runner: string, readonly models: readonly LoadedModel[], readonly leaving: boolean }
  | { readonly kind: 'answered', readonly orderId: string, readonly outcome: PlacementOutcome }
  | { readonly kind: 'tick' }

/** An order to send now. An order with an unknown outcome is repeated with the same `orderId`. */
export interface PlacementAction {
  readonly kind: 'order'
  readonly runner: string
  /** IPv4:port of the engine. */
  readonly address: string
  readonly order: PlacementOrder
  /** One line for the log. */
  readonly reason: string
}

/** Times in milliseconds. */
export interface PlacementLimits {
  /** Orders that may be pending at once: sent, or executed and not yet seen in a report. */
  readonly maxPending: number
  /** Time without a report after which a runner counts as down and its copies are replaced elsewhere. */
  readonly downAfterMs: number
  /** How long a runner that was down must report before it gets copies; doubles with each failure. */
  readonly stabilizationMs: number
  /** A runner up for this long has its failure count reset. */
  readonly failureMemoryMs: number
  /** Maximum number of doublings of `stabilizationMs` and `retryMs`. */
  readonly maxDoublings: number
  /** How long an up-to-date surplus copy is retained. */
  readonly surplusMs: number
  /** How long reports may contradict an executed order; longer than reports lag. */
  readonly confirmMs: number
  /** Delay before an order with an unknown outcome is resent; doubles with each attempt. */
  readonly retryMs: number
  /** Time after which an order with an unknown outcome is abandoned; longer than loading takes. */
  readonly abandonMs: number
  /** Delay before a refused order is decided again. */
  readonly refusalBackoffMs: number
  /** How long a new holder waits when an engine ignores fencing numbers: lease duration plus margin. */
  readonly takeoverMs: number
  /** How long a new holder waits for all engines to acknowledge its fencing number. */
  readonly fencingTimeoutMs: number
  /** Gap between two events after which all reports count as outdated. */
  readonly pauseMs: number
  /** Rate of loads from the weight store, in sets of weights. */
  readonly weightsPerMinute: number
  /** Loads from the weight store at once after an idle period. */
  readonly weightsBurst: number
  /** Share of a model's copies that may be replaced at once where no runner is spare. */
  readonly maxUnavailable: number
}

export const defaultPlacementLimits: PlacementLimits = {
  maxPending: 8,
  downAfterMs: 15_000,
  stabilizationMs: 30_000,
  failureMemoryMs: 1_800_000,
  maxDoublings: 4,
  surplusMs: 30_000,
  confirmMs: 15_000,
  retryMs: 2_000,
  abandonMs: 300_000,
  refusalBackoffMs: 15_000,
  takeoverMs: 7_000,
  fencingTimeoutMs: 10_000,
  pauseMs: 5_000,
  weightsPerMinute: 30,
  weightsBurst: 4,
  maxUnavailable: 0.25
}

/** Decides which orders runners receive. */
export interface PlacementDecider {
  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[]
}
