/**
 * How often orders may take weights from the weight store: a token bucket, closed for as long as
 * the store asks for after a refusal.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'

const MS_PER_MINUTE = 60_000
/** Pause after a refusal that names a shorter one, in milliseconds. */
const LEAST_PAUSE_MS = 1_000

/** Pace of the orders that need weights. */
export class WeightPace {
  private tokens: number
  private filledAt: Instant | undefined
  private closedAt: Instant | undefined
  private closedForMs = 0

  /**
   * @param perMinute - sets of weights a minute
   * @param burst - sets at once after a rest
   */
  constructor (private readonly perMinute: number, private readonly burst: number) {
    this.tokens = burst
  }

  /**
   * Takes the right to one set of weights, if there is one.
   * @param now - both clocks
   */
  take (now: Instant): boolean {
    this.fill(now)
    if (this.isClosed(now) || this.tokens < 1) return false
    this.tokens -= 1
    return true
  }

  /**
   * The store refused: nothing is taken for a while, and what was saved up is gone.
   * @param retryAfterMs - milliseconds that the store asked for
   * @param now - both clocks
   */
  refused (retryAfterMs: number, now: Instant): void {
    this.fill(now)
    this.tokens = Math.min(this.tokens, 1)
    this.closedAt = now
    this.closedForMs = Math.max(retryAfterMs, LEAST_PAUSE_MS)
  }

  private isClosed (now: Instant): boolean {
    return this.closedAt !== undefined && elapsedMs(this.closedAt, now) < this.closedForMs
  }

  private fill (now: Instant): void {
    const passedMs = this.filledAt === undefined ? 0 : elapsedMs(this.filledAt, now)
    this.tokens = Math.min(this.burst, this.tokens + passedMs * this.perMinute / MS_PER_MINUTE)
    this.filledAt = now
  }
}
