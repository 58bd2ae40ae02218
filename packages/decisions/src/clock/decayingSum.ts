/**
 * Exponentially decaying sum, as a measure of recent work.
 */

/** Times are monotonic milliseconds. */
export class DecayingSum {
  private sum = 0
  private addedAt = 0

  /** @param timeConstantMs - time in which a value decays to 1/e */
  constructor (private readonly timeConstantMs: number) {}

  add (value: number, mono: number): void {
    this.sum = this.at(mono) + value
    this.addedAt = mono
  }

  /** The decayed sum at the given time. */
  at (mono: number): number {
    return this.sum * Math.exp(-Math.max(0, mono - this.addedAt) / this.timeConstantMs)
  }
}
