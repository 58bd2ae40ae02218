/**
 * Limit of the calls in flight that is absent until there is a sign of load: calls that are slow, and slower than
 * recently, or a processor without time left. From then on a rule moves it window by window; after a time in which
 * it did not bind it is lifted again.
 */
import type { ConcurrencyLimit, LimitRule, LimitSample, LoadWindow } from './admissionTypes.js'

/** Shortest measurement window. */
const MIN_WINDOW_MS = 200
/** Samples from which a window says something. */
const MIN_SAMPLES = 8
/** A window with fewer samples ends after this time, and counts if it has any. */
const MAX_WINDOW_MS = 1_000
/** A service with fewer calls in flight is not limited. */
const MIN_LIMIT = 4
/** Share of slow calls that is a sign of load. */
const LOADED_SLOW_SHARE = 0.3
/** The same while the processor has no time left. */
const BUSY_SLOW_SHARE = 0.15
/** Latency against the best recent one from which slow calls are a sign of load. */
const LOADED_LATENCY_FACTOR = 1.3
/** Share of busy time of the event loop from which the processor has no time left. */
export const BUSY_RATIO = 0.9
/** Latency ratio that the first limit aims at. */
const FIRST_LATENCY_RATIO = 0.5
/** Growth of the best recent latency in each window, so that an old one is forgotten. */
const BEST_GROWTH = 1.01
/** Windows in which the limit did not bind after which it is lifted. */
const UNBOUND_WINDOWS = 8

export class AdaptiveLimit implements ConcurrencyLimit {
  private limit = Infinity
  private samples: LimitSample[] = []
  private startedAt: number | undefined
  private peakInFlight = 0
  private isBinding = false
  private bestRatio = Infinity
  private unboundWindows = 0

  constructor (private readonly rule: LimitRule) {}

  get current (): number {
    return this.limit
  }

  record (sample: LimitSample): void {
    this.samples.push(sample)
  }

  observe (now: number, inFlight: number, isWaiting: boolean, busyRatio: number): void {
    this.startedAt ??= now
    this.peakInFlight = Math.max(this.peakInFlight, inFlight)
    this.isBinding ||= isWaiting
    const spanMs = now - this.startedAt
    if (spanMs < MIN_WINDOW_MS || (this.samples.length < MIN_SAMPLES && spanMs < MAX_WINDOW_MS)) return
    if (this.samples.length > 0) this.adjust(this.closeWindow(busyRatio >= BUSY_RATIO))
    else this.countUnbound()
    this.startWindow(now, inFlight)
  }

  private closeWindow (isBusy: boolean): LoadWindow {
    const ratios = this.samples.map(({ latencyRatio }) => latencyRatio).sort((a, b) => a - b)
    const latencyRatio = Math.max(Number.EPSILON, ratios[Math.floor(ratios.length / 2)] ?? 0)
    const slowRatio = this.samples.filter(({ isSlow }) => isSlow).length / this.samples.length
    this.bestRatio = Math.min(this.bestRatio * BEST_GROWTH, latencyRatio)
    return { latencyRatio, slowRatio, bestRatio: this.bestRatio, peakInFlight: this.peakInFlight, isBinding: this.isBinding, isBusy }
  }

  private startWindow (now: number, inFlight: number): void {
    this.samples = []
    this.startedAt = now
    this.peakInFlight = inFlight
    this.isBinding = false
  }

  private adjust (window: LoadWindow): void {
    if (this.limit === Infinity) {
      if (isLoaded(window)) this.limit = this.bounded(window.peakInFlight * Math.min(1, FIRST_LATENCY_RATIO / window.latencyRatio))
      return
    }
    this.limit = this.bounded(this.rule.next(this.limit, window))
    this.countUnbound()
  }

  private countUnbound (): void {
    this.unboundWindows = this.isBinding ? 0 : this.unboundWindows + 1
    if (this.unboundWindows < UNBOUND_WINDOWS) return
    this.limit = Infinity
    this.unboundWindows = 0
  }

  private bounded (limit: number): number {
    return Math.max(MIN_LIMIT, limit)
  }
}

function isLoaded ({ slowRatio, latencyRatio, bestRatio, isBusy, peakInFlight }: LoadWindow): boolean {
  if (peakInFlight <= MIN_LIMIT) return false
  const isSlower = latencyRatio >= bestRatio * LOADED_LATENCY_FACTOR
  return isBusy ? slowRatio >= BUSY_SLOW_SHARE : isSlower && slowRatio >= LOADED_SLOW_SHARE
}
