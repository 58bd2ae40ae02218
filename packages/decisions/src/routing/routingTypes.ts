/**
 * Routing as the decider sees it: runners with what is known of them and how old it is; one
 * decision for one request.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { Failure } from '../codes/failure.js'

/** What is known of one runner. */
export interface RunnerView {
  readonly runner: string
  readonly address: string
  readonly domain: string
  readonly slots: number
  /** What the configuration says: true takes it out of use, false brings it back, absent leaves it as it is. */
  readonly leaving?: boolean
  /** Wall milliseconds when the configuration first named it; recent ones come last in the order of keyed requests. */
  readonly addedAt?: number
}

/**
 * How one VM stands to a runner: `leaving` gets no new work, `ejected` gets none but a probe, `notLoaded` says itself
 * that it has loaded none of its models.
 */
export interface RunnerStanding {
  readonly runner: string
  readonly state: 'active' | 'leaving' | 'ejected' | 'notLoaded'
  readonly reason: string
  /** Requests of this VM there. */
  readonly inFlight: number
  /** Milliseconds since its last load report held; absent before the first, and for runners that this VM does not ask. */
  readonly reportAgeMs?: number
}

/** A request to be routed. */
export interface RouteRequest {
  readonly requestId: string
  readonly team: string
  readonly model: string
  readonly adapter?: string
  /** Whether the caller gave a key: then repeats at other VMs must find the same runner. */
  readonly keyed: boolean
  readonly promptTokens: number
  readonly maxTokens: number
  /** Hashes of the prompt's prefixes, longest last. */
  readonly prefixHashes: readonly string[]
  readonly deadline: Instant
  /** Runners already tried for this request. */
  readonly exclude: readonly string[]
}

/** A decision. `before` are runners that a repeat at another VM might choose; they must be sealed first. */
export type RouteDecision =
  | {
    readonly kind: 'routed'
    readonly choice: RunnerView
    readonly before: readonly RunnerView[]
    readonly candidates: readonly string[]
    readonly reason: string
  }
  | {
    readonly kind: 'refused'
    readonly failure: Failure
    readonly candidates: readonly string[]
    readonly reason: string
    /**
     * Set for keyed requests, whose failure says `ran: unknown`: where an earlier run of the id would be, in this order.
     * The first of them without a record of the id proves that it was not run.
     */
    readonly lookIn?: readonly RunnerView[]
  }

/**
 * What the router is told of runners. `dispatched.tokens` is the worst case of prompt and answer, `ended.tokens` the
 * tokens generated; `ended.ok` is false only for a failure of the runner, not when the caller went away. The mark of
 * `leaving` with source `runner` (it answered so) is lifted by its own later report; any other only by `configured`.
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
 * Chooses runners. `dispatched` must be told after a routed decision before the next `route`, or the next one does
 * not see it and all that wait go to the same runner.
 */
export interface RouteDecider {
  observe (event: RouteEvent, now: Instant): void
  /**
   * Decides where a request goes.
   * @param req - the request
   * @param now - both clocks
   * @param random - a number in [0, 1) for each call, seeded in tests
   */
  route (req: RouteRequest, now: Instant, random: () => number): RouteDecision
  inFlight (runner: string): number
}
