/**
 * Types of routing: runners, requests, decisions, and the events from which the router learns the
 * state of the runners.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { Failure } from '../codes/failure.js'

/** Configuration of one runner. */
export interface RunnerView {
  readonly runner: string
  readonly address: string
  readonly domain: string
  readonly slots: number
  /** True takes the runner out of use, false returns it to use, absent leaves it unchanged. */
  readonly leaving?: boolean
  /** Wall time in milliseconds when it was first configured; recent runners come last in the order of keyed requests. */
  readonly addedAt?: number
}

/**
 * State of a runner as one VM sees it: `leaving` gets no new work, `ejected` gets none but a probe, `notLoaded` reports
 * that it has loaded none of its models.
 */
export interface RunnerStatus {
  readonly runner: string
  readonly state: 'active' | 'leaving' | 'ejected' | 'notLoaded'
  readonly reason: string
  /** Requests of this VM at the runner. */
  readonly inFlight: number
  /** Age of its last load report; absent before the first, and for runners that this VM does not poll. */
  readonly reportAgeMs?: number
}

export interface RouteRequest {
  readonly requestId: string
  readonly team: string
  readonly model: string
  readonly adapter?: string
  /** Whether the caller sent an idempotency key, so that repeats at other VMs must find the same runner. */
  readonly keyed: boolean
  readonly promptTokens: number
  readonly maxTokens: number
  /** Hashes of the prompt's prefixes, longest last. */
  readonly prefixHashes: readonly string[]
  readonly deadline: Instant
  /** Runners already tried for this request. */
  readonly exclude: readonly string[]
}

/** `runnersToSeal` are runners that a repeat at another VM might choose; they must be sealed before dispatch. */
export type RouteDecision =
  | {
    readonly kind: 'routed'
    readonly choice: RunnerView
    readonly runnersToSeal: readonly RunnerView[]
    readonly candidates: readonly string[]
    readonly reason: string
  }
  | {
    readonly kind: 'refused'
    readonly failure: Failure
    readonly candidates: readonly string[]
    readonly reason: string
    /**
     * Set for keyed requests, whose failure says `ran: unknown`: the runners where an earlier run of the id may be found,
     * in this order. The first of them without a record of the id proves that it did not run.
     */
    readonly lookupRunners?: readonly RunnerView[]
  }

/**
 * Events from which the router learns the state of runners. `dispatched.tokens` is the upper bound of prompt and answer,
 * `ended.tokens` the tokens generated; `ended.ok` is false only for a failure of the runner, not when the caller
 * disconnected. A `leaving` mark with source `runner` (from its response) is cleared by a later report of that runner,
 * any other only by `configured`.
 */
export type RouteEvent =
  | { readonly kind: 'configured', readonly model: string, readonly runners: readonly RunnerView[] }
  | { readonly kind: 'dispatched', readonly runner: string, readonly requestId: string, readonly tokens: number }
  | { readonly kind: 'firstToken', readonly runner: string, readonly requestId: string, readonly afterMs: number }
  | { readonly kind: 'ended', readonly runner: string, readonly requestId: string, readonly ok: boolean, readonly tokens: number, readonly totalMs: number }
  | { readonly kind: 'loadReported', readonly runner: string, readonly running: number, readonly waiting: number, readonly reportAgeMs: number, readonly leaving: boolean, readonly models?: readonly string[] }
  | { readonly kind: 'cacheReported', readonly runner: string, readonly stored: readonly string[], readonly evicted: readonly string[] }
  | { readonly kind: 'leaving', readonly runner: string, readonly source?: 'config' | 'runner' }

/**
 * Chooses runners. `dispatched` must be reported after a routed decision and before the next `route`, or all waiting
 * requests go to the same runner.
 */
export interface RouteDecider {
  observe (event: RouteEvent, now: Instant): void
  /**
   * Chooses a runner for a request.
   * @param random - returns a number in [0, 1); seeded in tests
   */
  route (req: RouteRequest, now: Instant, random: () => number): RouteDecision
  /** Requests of this VM in flight at a runner. */
  inFlight (runner: string): number
}
