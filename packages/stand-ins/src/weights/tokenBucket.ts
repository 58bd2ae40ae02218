/**
 * Token bucket rate limiter.
 */

/** Allows a steady rate, and `burst` acquisitions at once after an idle time. */
export class TokenBucket {
  private left: number
  private at: number | undefined

  /**
   * @param perMinute - tokens added per minute
   * @param burst - capacity of the bucket
   */
  constructor (private readonly perMinute: number, private readonly burst: number) {
    this.left = burst
  }

  /**
   * Acquires one token. Returns 0, or the milliseconds until one is available.
   * @param now - milliseconds of a monotonic clock
   */
  tryAcquire (now: number): number {
    const perMs = this.perMinute / 60_000
    this.left = Math.min(this.burst, this.left + Math.max(0, now - (this.at ?? now)) * perMs)
    this.at = now
    if (this.left < 1) return Math.ceil((1 - this.left) / perMs)
    this.left--
    return 0
  }
}
