/**
 * Demand of one budget at one holder, as an exponentially weighted rate.
 */

/** Tokens a millisecond, averaged over a window that fades out. */
export class DemandRate {
  private weight = 0
  private at: number | undefined

  /**
   * @param windowMs - time constant in milliseconds
   */
  constructor (private readonly windowMs: number) {}

  /**
   * Counts tokens that were used.
   * @param tokens - amount
   * @param mono - monotonic milliseconds
   */
  add (tokens: number, mono: number): void {
    this.weight = this.faded(mono) + tokens
    this.at = mono
  }

  /**
   * The rate in tokens a millisecond.
   * @param mono - monotonic milliseconds
   */
  perMs (mono: number): number {
    return this.faded(mono) / this.windowMs
  }

  private faded (mono: number): number {
    if (this.at === undefined) return 0
    const age = Math.max(0, mono - this.at)
    return this.weight * Math.exp(-age / this.windowMs)
  }
}
