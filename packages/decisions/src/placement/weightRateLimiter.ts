/**
 * Limits the rate of orders that load weights from the weight store: a token bucket that pauses after a refusal
 * for as long as the store requests.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'

const MS_PER_MINUTE = 60_000
/** Lower bound of the pause after a refusal. */
const MIN_PAUSE_MS = 1_000

/** Rate limiter of orders that load weights. */
export class WeightRateLimiter {
  private tokens: number
  private refilledAt: Instant | undefined
  private pausedAt: Instant | undefined
  private pausedForMs = 0

  /**
   * @param perMinute - sets of weights a minute
   * @param burst - sets of weights at once after an idle period
   */
  constructor (private readonly perMinute: number, private readonly burst: number) {
    this.tokens = burst
  }

  /**
   * Acquires a permit to load one set of weights.
   * @returns false when none is available
   */
  tryAcquire (now: Instant): boolean {
    this.refill(now)
    if (this.isPaused(now) || this.tokens < 1) return false
    this.tokens -= 1
    return true
  }

  /**
   * Handles a refusal by the store: pauses loads and discards the accumulated burst.
   * @param retryAfterMs - pause that the store requested
   */
  refused (retryAfterMs: number, now: Instant): void {
    this.refill(now)
    this.tokens = Math.min(this.tokens, 1)
    this.pausedAt = now
    this.pausedForMs = Math.max(retryAfterMs, MIN_PAUSE_MS)
  }

  private isPaused (now: Instant): boolean {
    return this.pausedAt !== undefined && elapsedMs(this.pausedAt, now) < this.pausedForMs
  }

  private refill (now: Instant): void {
    const passedMs = this.refilledAt === undefined ? 0 : elapsedMs(this.refilledAt, now)
    this.tokens = Math.min(this.burst, this.tokens + passedMs * this.perMinute / MS_PER_MINUTE)
    this.refilledAt = now
  }
}
