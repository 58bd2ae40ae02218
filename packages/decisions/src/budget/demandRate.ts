/**
 * Demand of one budget at one holder, as an exponentially weighted rate.
 */
import { DecayingSum } from '../clock/decayingSum.js'

/** Part of the window that counts as filled at the least: the first requests are no rate yet. */
const LEAST_PART = 0.25

/** Tokens a millisecond, averaged over a window that fades out. */
export class DemandRate {
  private readonly used: DecayingSum
  private since: number | undefined

  /**
   * @param windowMs - time constant in milliseconds
   * @param isEarly - whether a past shorter than the window counts as all there is
   */
  constructor (private readonly windowMs: number, private readonly isEarly = false) {
    this.used = new DecayingSum(windowMs)
  }

  /**
   * Counts tokens that were used.
   * @param tokens - amount
   * @param mono - monotonic milliseconds
   */
  add (tokens: number, mono: number): void {
    this.used.add(tokens, mono)
    this.since ??= mono
  }

  /**
   * The rate in tokens a millisecond.
   * @param mono - monotonic milliseconds
   */
  perMs (mono: number): number {
    return this.used.at(mono) / (this.windowMs * this.filledPart(mono))
  }

  /** Part of the window that the past fills. */
  private filledPart (mono: number): number {
    if (!this.isEarly || this.since === undefined) return 1
    return Math.max(LEAST_PART, 1 - Math.exp((this.since - mono) / this.windowMs))
  }
}
