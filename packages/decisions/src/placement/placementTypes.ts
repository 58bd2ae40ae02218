/**
 * Placement as the decider sees it: which models, versions and adapters the runners have loaded
 * by their lagging reports, what the configuration declares, and the orders that lead from one
 * to the other.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { FleetConfig } from '../config/configSchema.js'

/** One model that a runner has loaded. */
export interface LoadedModel {
  readonly model: string
  readonly version: string
  readonly adapters: readonly string[]
}

/** Role of an engine in serving. */
export type EngineRole = 'prefill' | 'decode' | 'both'

/** An order to one engine. `model` and `version` are empty for orders of kind `role`. */
export interface PlacementOrder {
  /** Unlike any earlier one's, but for a repeat of the same order, which changes nothing more. */
  readonly orderId: string
  readonly fencing: number
  readonly kind: 'load' | 'unload' | 'loadAdapter' | 'role'
  readonly model: string
  readonly version: string
  readonly adapter?: string
  readonly role?: EngineRole
}

/** How an order ended, as far as its sender knows. */
export type PlacementOutcome =
  | { readonly kind: 'done' }
  /** The answer was lost or late: the order may have taken effect, now or later. */
  | { readonly kind: 'unknown' }
  /** No connection was made. */
  | { readonly kind: 'notSent' }
  /** The engine has seen a higher fencing number. */
  | { readonly kind: 'oldFencing' }
  /** Not carried out; `retryAfterMs` when the weight store is over its rate. */
  | { readonly kind: 'refused', readonly retryAfterMs?: number }

/** What the planner is told. */
export type PlacementEvent =
  | { readonly kind: 'configured', readonly config: FleetConfig }
  /** This process holds the lease of placement from now on. */
  | { readonly kind: 'taken', readonly fencing: number }
  | { readonly kind: 'lost' }
  | { readonly kind: 'reported', readonly runner: string, readonly models: readonly LoadedModel[], readonly leaving: boolean }
  | { readonly kind: 'answered', readonly orderId: string, readonly outcome: PlacementOutcome }
  | { readonly kind: 'tick' }

/** An order to send now. The same `orderId` comes again when its outcome stayed open. */
export interface PlacementAction {
  readonly kind: 'order'
  readonly runner: string
  /** IPv4:port of the engine. */
  readonly address: string
  readonly order: PlacementOrder
  /** One line for people. */
  readonly reason: string
}

/** Times in milliseconds. */
export interface PlacementLimits {
  /** Orders that are sent, or done and not yet seen in a report, at once. */
  readonly maxOutstanding: number
  /** Silence after which a runner counts as down and its copies are replaced elsewhere. */
  readonly downAfterMs: number
  /** For how long a runner that was down has to report before it gets copies; doubles with each time it was down. */
  readonly steadyMs: number
  /** A runner without a failure for this long counts as one that never failed. */
  readonly forgiveMs: number
  /** Most doublings of `steadyMs` and `retryMs`. */
  readonly maxDoublings: number
  /** For how long a good surplus copy stays. */
  readonly surplusMs: number
  /** For how long a report may contradict an order that was answered; longer than reports lag. */
  readonly confirmMs: number
  /** Before an order of open outcome is sent again; doubles with each sending. */
  readonly retryMs: number
  /** After which an order of open outcome is given up; longer than loading takes. */
  readonly giveUpMs: number
  /** Before a refused order is decided anew. */
  readonly refusedMs: number
  /** For how long a new holder waits when an engine ignores fencing numbers: an old lease and its margin. */
  readonly takeoverMs: number
  /** For how long a new holder waits for all engines to learn its fencing number. */
  readonly fencingMs: number
  /** A gap between two ticks after which all that is known counts as old. */
  readonly pauseMs: number
  /** Sets of weights a minute, and at once after a rest. */
  readonly weightsPerMinute: number
  readonly weightsBurst: number
  /** Part of a model's copies that may be swapped at once where no runner is spare. */
  readonly maxUnavailable: number
}

/** Limits of the daemon. */
export const defaultPlacementLimits: PlacementLimits = {
  maxOutstanding: 8,
  downAfterMs: 15_000,
  steadyMs: 30_000,
  forgiveMs: 1_800_000,
  maxDoublings: 4,
  surplusMs: 30_000,
  confirmMs: 15_000,
  retryMs: 2_000,
  giveUpMs: 300_000,
  refusedMs: 15_000,
  takeoverMs: 7_000,
  fencingMs: 10_000,
  pauseMs: 5_000,
  weightsPerMinute: 30,
  weightsBurst: 4,
  maxUnavailable: 0.25
}

/** Decides which orders runners get. */
export interface PlacementDecider {
  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[]
}
