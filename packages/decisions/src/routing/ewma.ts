/**
 * Running estimates of a measured duration: an exponentially weighted mean and mean deviation,
 * as TCP keeps them for its retransmission timer. Constant memory, one multiplication a sample.
 */

/** A sample counts for at most this many times the mean: one stalled request must not spoil the estimate. */
const CLIP_FACTOR = 4

/** Samples after which outliers are clipped. */
const CLIP_AFTER = 5

/** Weight of a new sample once the first ones are in. */
const GAIN = 0.1

/** Weighted mean and mean deviation of samples. */
export class Ewma {
  private meanValue = 0
  private deviation = 0
  private samples = 0

  /** @param clipFactor - times the mean for which a sample counts at most */
  constructor (private readonly clipFactor = CLIP_FACTOR) {}

  /**
   * Takes a sample. Early samples weigh more, so that the first estimate is their plain mean.
   * @param value - the sample, in any unit
   */
  add (value: number): void {
    this.samples += 1
    const gain = Math.max(GAIN, 1 / this.samples)
    const clipped = this.samples > CLIP_AFTER ? Math.min(value, this.clipFactor * this.meanValue) : value
    const error = clipped - this.meanValue
    this.meanValue += gain * error
    if (this.samples > 1) this.deviation += gain * (Math.abs(error) - this.deviation)
  }

  get count (): number {
    return this.samples
  }

  get mean (): number {
    return this.meanValue
  }

  /**
   * A cautious estimate: the mean and some mean deviations above it.
   * @param deviations - how many
   */
  above (deviations: number): number {
    return this.meanValue + deviations * this.deviation
  }
}
