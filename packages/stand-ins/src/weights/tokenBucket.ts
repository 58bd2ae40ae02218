/**
 * A token bucket: how often something may be done, with a burst.
 */

/** Takes are allowed at a steady rate, and `burst` of them at once after a rest. */
export class TokenBucket {
  private left: number
  private at: number | undefined

  /**
   * @param perMinute - takes a minute
   * @param burst - most takes at once
   */
  constructor (private readonly perMinute: number, private readonly burst: number) {
    this.left = burst
  }

  /**
   * Takes one token; answers 0, or the milliseconds until there is one.
   * @param now - milliseconds of a clock that does not step back
   */
  take (now: number): number {
    const perMs = this.perMinute / 60_000
    this.left = Math.min(this.burst, this.left + Math.max(0, now - (this.at ?? now)) * perMs)
    this.at = now
    if (this.left < 1) return Math.ceil((1 - this.left) / perMs)
    this.left--
    return 0
  }
}
