/**
 * Types of the admission of calls under load: what a call tells of itself, what a limit of calls in flight learns of
 * them, and what becomes of a call that was offered.
 */
import type { Failure } from '../codes/failure.js'

/** A call that asks to be sent. Times are monotonic milliseconds. */
export interface AdmissionRequest<T> {
  /** Empty for a call without a team; such calls share one turn. */
  readonly team: string
  /** 0 is the most urgent. */
  readonly priority: number
  /** Time from receipt within which the first output is on time. */
  readonly objectiveMs: number
  readonly receivedAt: number
  readonly deadline: number
  readonly value: T
}

/** A call that was admitted, from its start to its end. */
export interface AdmittedPlace<T> {
  readonly request: AdmissionRequest<T>
  readonly startedAt: number
  /** When the call was sent to a target; undefined while it waits for tokens. */
  sentAt: number | undefined
  /** Whether it counts towards the limit. */
  isCounted: boolean
  /** Whether the limit knows how long its first output took, or that it is late. */
  isReported: boolean
}

/** What becomes of an offered call. */
export type AdmissionOutcome<T> =
  | { readonly kind: 'started', readonly place: AdmittedPlace<T> }
  | { readonly kind: 'waits', readonly latestStart: number }
  | { readonly kind: 'refused', readonly failure: Failure }

/** A call refused while it waited. */
export interface RefusedRequest<T> {
  readonly request: AdmissionRequest<T>
  readonly failure: Failure
}

/** What one call tells of the load. */
export interface LimitSample {
  /** Time from sending to the first output, as a share of the call's objective. */
  readonly latencyRatio: number
  /** Whether it was slow: too little of the objective was left for any wait. */
  readonly isSlow: boolean
}

/** What was seen in one measurement window. */
export interface LoadWindow {
  /** Median of the latency ratios. */
  readonly latencyRatio: number
  /** Share of slow calls. */
  readonly slowRatio: number
  /** Lowest recent median of the latency ratios. */
  readonly bestRatio: number
  /** Most calls that were in flight at once. */
  readonly peakInFlight: number
  /** Whether a call waited for the limit. */
  readonly isBinding: boolean
  /** Whether the processor of the VM has no time left. */
  readonly isBusy: boolean
}

/** Bounds the calls in flight before their first output. */
export interface ConcurrencyLimit {
  /** Infinity while there is no sign of load. */
  readonly current: number
  record (sample: LimitSample): void
  /**
   * Ends the measurement window if it says enough.
   * @param inFlight - calls in flight now
   * @param isWaiting - whether calls wait for the limit
   * @param busyRatio - share of busy time of the VM's event loop
   */
  observe (now: number, inFlight: number, isWaiting: boolean, busyRatio: number): void
}

/** How a limit follows what was seen; one step for each measurement window. */
export interface LimitRule {
  next (limit: number, window: LoadWindow): number
}
