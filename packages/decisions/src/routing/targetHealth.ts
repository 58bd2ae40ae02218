/**
 * Circuit breaker and outlier ejection for one runner, as one VM sees it. Consecutive failures, a
 * high error rate or first tokens far slower than the median eject it for a time that doubles with
 * each ejection. Afterwards it gets a single probe, then a growing share of its usual load.
 */
import { Ewma } from './ewma.js'

const CONSECUTIVE_LIMIT = 3

/** Error rate that ejects, and the number of outcomes required to evaluate it. */
const ERROR_RATE_LIMIT = 0.5
const ERROR_RATE_SAMPLES = 10

/** Duration of the first ejection; doubled for each further one up to the maximum. */
const EJECT_BASE_MS = 2_000
const EJECT_MAX_MS = 60_000

/** Time over which a returned runner ramps up to its full share. */
const RETURN_MS = 10_000

/** Time without an ejection after which the ejection time starts again at its base. */
const FORGIVE_MS = 60_000

/** Times are monotonic milliseconds. */
export class TargetHealth {
  private consecutive = 0
  private errors = new Ewma()
  private ejections = 0
  private ejectedUntil = -Infinity
  private probing = false
  private reasonText = 'healthy'

  get reason (): string {
    return this.reasonText
  }

  /** End of the current or last ejection. */
  get until (): number {
    return this.ejectedUntil
  }

  succeeded (mono: number): void {
    this.consecutive = 0
    this.errors.add(0)
    this.responded(mono)
    if (mono - this.ejectedUntil > FORGIVE_MS) this.ejections = 0
  }

  /** Records a first token, which ends probing. */
  responded (mono: number): void {
    if (!this.probing || this.isEjected(mono)) return
    this.probing = false
    this.ejectedUntil = mono
  }

  failed (mono: number): void {
    this.consecutive += 1
    this.errors.add(1)
    if (this.isEjected(mono)) return
    if (this.probing) this.eject('probe failed', mono)
    else if (this.consecutive >= CONSECUTIVE_LIMIT) this.eject('consecutive failures', mono)
    else if (this.errors.count >= ERROR_RATE_SAMPLES && this.errors.mean >= ERROR_RATE_LIMIT) this.eject('error rate', mono)
  }

  eject (reason: string, mono: number): void {
    const span = Math.min(EJECT_MAX_MS, EJECT_BASE_MS * 2 ** this.ejections)
    this.ejections += 1
    this.ejectedUntil = mono + span
    this.probing = true
    this.errors = new Ewma()
    this.reasonText = reason
  }

  /** Whether it was ejected and has not responded to a probe since. */
  get isOut (): boolean {
    return this.probing
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
    if (this.probing) return inFlight === 0 ? 1 : 0
    const back = mono - this.ejectedUntil
    return back >= RETURN_MS ? 1 : Math.max(0.1, back / RETURN_MS)
  }
}
