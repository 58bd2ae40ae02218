/**
 * A value that readers see with a fixed lag, such as a load report.
 */

/** A value and the time from which it held, in milliseconds. */
interface Sample<T> {
  readonly at: number
  readonly value: T
}

/** Retains the values of the last `lagMs`, to return the one that held that long ago. */
export class LaggingValue<T> {
  private samples: Sample<T>[]

  /**
   * @param value - the initial value
   * @param at - milliseconds from which it holds
   */
  constructor (value: T, at: number, private readonly lagMs: number) {
    this.samples = [{ at, value }]
  }

  set (value: T, now: number): void {
    this.samples.push({ at: now, value })
    this.dropOldSamples(now)
  }

  /** The value that readers see at `now`, and the time at which it held, in milliseconds. */
  valueAt (now: number): { readonly asOf: number, readonly value: T } {
    this.dropOldSamples(now)
    const { at, value } = this.samples[0]!
    return { asOf: Math.max(at, now - this.lagMs), value }
  }

  /** Drops samples that were replaced at least `lagMs` ago. */
  private dropOldSamples (now: number): void {
    const next = this.samples.findIndex(sample => sample.at > now - this.lagMs)
    const firstRetained = next === -1 ? this.samples.length - 1 : Math.max(0, next - 1)
    if (firstRetained > 0) this.samples = this.samples.slice(firstRetained)
  }
}
