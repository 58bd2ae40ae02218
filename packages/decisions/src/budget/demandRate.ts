/**
 * Demand for one budget at one holder as an exponentially weighted rate.
 */
import { DecayingSum } from '../clock/decayingSum.js'

/** Fraction of the window from which a history is extrapolated by default, so that the first requests are not extrapolated too far. */
export const MIN_FILLED_RATIO = 0.25

/** Tokens per millisecond, averaged over an exponentially decaying window. */
export class DemandRate {
  private readonly sum: DecayingSum
  private since: number | undefined

  /**
   * @param windowMs - time constant in milliseconds
   * @param extrapolates - whether a history shorter than the window is extrapolated
   * @param minHistoryMs - milliseconds from which a history is extrapolated; a shorter one counts as this long
   */
  constructor (private readonly windowMs: number, private readonly extrapolates = false, private readonly minHistoryMs = windowMs * MIN_FILLED_RATIO) {
    this.sum = new DecayingSum(windowMs)
  }

  /**
   * Adds used tokens.
   * @param mono - monotonic milliseconds
   */
  add (tokens: number, mono: number): void {
    this.sum.add(tokens, mono)
    this.since ??= mono
  }

  /**
   * The rate in tokens per millisecond.
   * @param mono - monotonic milliseconds
   */
  perMs (mono: number): number {
    return this.sum.at(mono) / (this.windowMs * this.filledRatio(mono))
  }

  /** Fraction of the window that the history fills. */
  private filledRatio (mono: number): number {
    if (!this.extrapolates || this.since === undefined) return 1
    return Math.max(this.minHistoryMs / this.windowMs, 1 - Math.exp((this.since - mono) / this.windowMs))
  }
}
