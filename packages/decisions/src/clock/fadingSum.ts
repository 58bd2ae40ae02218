/**
 * A sum whose parts fade with time, as a measure of recent work.
 */

/** A fading sum. Times are monotonic milliseconds. */
export class FadingSum {
  private sum = 0
  private addedAt = 0

  /** @param fadeMs - time in which a part fades to 1/e */
  constructor (private readonly fadeMs: number) {}

  /**
   * Adds a part.
   * @param value - the part
   * @param mono - present time
   */
  add (value: number, mono: number): void {
    this.sum = this.at(mono) + value
    this.addedAt = mono
  }

  /**
   * What is left of all parts.
   * @param mono - present time
   */
  at (mono: number): number {
    return this.sum * Math.exp(-Math.max(0, mono - this.addedAt) / this.fadeMs)
  }
}
