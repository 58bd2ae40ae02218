/**
 * A value that others see late.
 */

/** A value at a time. */
interface Sample<T> {
  readonly at: number
  readonly value: T
}

/** Keeps the values of the last while, so that the one that held some time ago can be told. */
export class LaggingValue<T> {
  private samples: Sample<T>[]

  /**
   * @param value - the value before the first change
   * @param at - milliseconds when it began to hold
   * @param lagMs - how late it is seen
   */
  constructor (value: T, at: number, private readonly lagMs: number) {
    this.samples = [{ at, value }]
  }

  /**
   * Notes a change.
   * @param value - the value from now on
   * @param now - milliseconds
   */
  set (value: T, now: number): void {
    this.samples.push({ at: now, value })
    this.forget(now)
  }

  /**
   * The value as others see it, and the time for which it held.
   * @param now - milliseconds
   */
  seen (now: number): { readonly asOf: number, readonly value: T } {
    this.forget(now)
    const { at, value } = this.samples[0]!
    return { asOf: Math.max(at, now - this.lagMs), value }
  }

  /** Drops samples that were replaced more than the lag ago. */
  private forget (now: number): void {
    const next = this.samples.findIndex(sample => sample.at > now - this.lagMs)
    const keepFrom = next === -1 ? this.samples.length - 1 : Math.max(0, next - 1)
    if (keepFrom > 0) this.samples = this.samples.slice(keepFrom)
  }
}
