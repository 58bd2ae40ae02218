/**
 * Circuit breaker and outlier ejection for one runner or target, as one VM sees it. Consecutive failures, a
 * high error rate or first tokens far slower than the median eject it for a time that doubles with
 * each ejection. Afterwards it gets a single probe, then a growing share of its usual load.
 */
import { Ewma } from './ewma.js'

const MAX_CONSECUTIVE_FAILURES = 3

/** Error rate that ejects, and the number of outcomes required to evaluate it. */
const MAX_ERROR_RATE = 0.5
const MIN_ERROR_RATE_SAMPLES = 10

/** Duration of the first ejection; doubled for each further one up to the maximum. */
const BASE_EJECTION_MS = 2_000
const MAX_EJECTION_MS = 60_000

/** Time over which a runner ramps up to its full share after an ejection. */
const RAMP_UP_MS = 10_000

/** Time without an ejection after which the ejection time starts again at its base. */
const EJECTION_RESET_MS = 60_000

/** Times are monotonic milliseconds. */
export class TargetHealth {
  private consecutiveFailures = 0
  private errors = new Ewma()
  private ejections = 0
  private ejectedUntil = -Infinity
  private awaitsProbe = false
  private reasonText = 'healthy'

  get reason (): string {
    return this.reasonText
  }

  /** End of the current or last ejection. */
  get until (): number {
    return this.ejectedUntil
  }

  recordSuccess (mono: number): void {
    this.consecutiveFailures = 0
    this.errors.add(0)
    this.recordResponse(mono)
    if (mono - this.ejectedUntil > EJECTION_RESET_MS) this.ejections = 0
  }

  /** Records a first token, which ends probing. */
  recordResponse (mono: number): void {
    if (!this.awaitsProbe || this.isEjected(mono)) return
    this.awaitsProbe = false
    this.ejectedUntil = mono
  }

  recordFailure (mono: number): void {
    this.consecutiveFailures += 1
    this.errors.add(1)
    if (this.isEjected(mono)) return
    if (this.awaitsProbe) this.eject('probe failed', mono)
    else if (this.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) this.eject('consecutive failures', mono)
    else if (this.errors.count >= MIN_ERROR_RATE_SAMPLES && this.errors.mean >= MAX_ERROR_RATE) this.eject('error rate', mono)
  }

  /** Ejects the runner, each time for twice as long up to a maximum; `reason` is shown to operators. */
  eject (reason: string, mono: number): void {
    const ejectionMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** this.ejections)
    this.ejections += 1
    this.ejectedUntil = mono + ejectionMs
    this.awaitsProbe = true
    this.errors = new Ewma()
    this.reasonText = reason
  }

  /** Whether it was ejected and has not responded to a probe since. */
  get isAwaitingProbe (): boolean {
    return this.awaitsProbe
  }

  isEjected (mono: number): boolean {
    return mono < this.ejectedUntil
  }

  /**
   * Share of its usual load that the runner may get: 0 while ejected, 1 after the ramp-up.
   * @param inFlight - requests of this VM at the runner; while probing only one is allowed
   */
  share (mono: number, inFlight: number): number {
    if (this.isEjected(mono)) return 0
    if (this.awaitsProbe) return inFlight === 0 ? 1 : 0
    const sinceReturnMs = mono - this.ejectedUntil
    return sinceReturnMs >= RAMP_UP_MS ? 1 : Math.max(0.1, sinceReturnMs / RAMP_UP_MS)
  }
}
