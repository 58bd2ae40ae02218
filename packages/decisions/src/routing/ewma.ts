/**
 * Exponentially weighted moving average and mean deviation of a duration, as in TCP's
 * retransmission timer (RFC 6298).
 */

/** Samples are clipped at this multiple of the mean, so that one stalled request does not distort the estimate. */
const CLIP_FACTOR = 4

const CLIP_AFTER_SAMPLES = 5

/** Weight of a new sample; the first samples weigh more. */
const MIN_GAIN = 0.1

export class Ewma {
  private meanValue = 0
  private meanDeviation = 0
  private samples = 0

  /** @param clipFactor - multiple of the mean at which samples are clipped */
  constructor (private readonly clipFactor = CLIP_FACTOR) {}

  /** Adds a sample in any unit. Early samples weigh more, so that the first estimate is their arithmetic mean. */
  add (value: number): void {
    this.samples += 1
    const gain = Math.max(MIN_GAIN, 1 / this.samples)
    const clipped = this.samples > CLIP_AFTER_SAMPLES ? Math.min(value, this.clipFactor * this.meanValue) : value
    const error = clipped - this.meanValue
    this.meanValue += gain * error
    if (this.samples > 1) this.meanDeviation += gain * (Math.abs(error) - this.meanDeviation)
  }

  get count (): number {
    return this.samples
  }

  get mean (): number {
    return this.meanValue
  }

  /** Upper estimate: the mean plus the given number of mean deviations. */
  upperEstimate (deviations: number): number {
    return this.meanValue + deviations * this.meanDeviation
  }
}
