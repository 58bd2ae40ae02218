/**
 * State of one runner: its latest report, its presence and its recent failures. A runner that fails repeatedly
 * must be up for longer each time before it gets copies, as with the ejection time of outlier detection.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { LoadedModel, PlacementLimits } from './placementTypes.js'
import { ReportInterval } from './reportInterval.js'

/** Whether a runner responds; `unknown` until its first report or the timeout. */
export type RunnerPresence = 'unknown' | 'up' | 'down'

export class RunnerRecord {
  models: readonly LoadedModel[] = []
  leaving = false
  /** Failures since the runner was last up for `failureMemoryMs`. */
  failures = 0
  private presence: RunnerPresence = 'unknown'
  private lastReportAt: Instant
  private upSince: Instant | undefined

  /**
   * @param since - start of the wait for its first report
   */
  constructor (since: Instant, private readonly limits: PlacementLimits, private readonly reportInterval: ReportInterval = new ReportInterval()) {
    this.lastReportAt = since
  }

  /**
   * Records a load report.
   * @param leaving - whether the runner announces its shutdown
   */
  report (models: readonly LoadedModel[], leaving: boolean, now: Instant): void {
    this.updatePresence(now)
    if (this.presence !== 'up') this.upSince = now
    this.presence = 'up'
    this.lastReportAt = now
    this.models = models
    this.leaving = leaving
  }

  /** Discards the current report and restarts the timeout; the failure count stays. */
  resetReport (now: Instant): void {
    if (this.presence === 'up') this.presence = 'unknown'
    this.lastReportAt = now
    this.models = []
  }

  /** Updates the presence from the time since the last report. */
  updatePresence (now: Instant): RunnerPresence {
    if (this.presence !== 'down' && elapsedMs(this.lastReportAt, now) >= this.limits.downAfterMs + this.reportInterval.extraDelayMs(now)) {
      this.presence = 'down'
      this.failures += 1
    }
    if (this.isFailureCountExpired(now)) this.failures = 0
    return this.presence
  }

  /** Whether the runner may get copies: it is up, and has been for long enough since its last failure. */
  isStable (now: Instant): boolean {
    if (this.updatePresence(now) !== 'up' || this.upSince === undefined) return false
    if (this.failures === 0) return true
    const doublings = Math.min(this.failures - 1, this.limits.maxDoublings)
    return elapsedMs(this.upSince, now) >= this.limits.stabilizationMs * 2 ** doublings
  }

  private isFailureCountExpired (now: Instant): boolean {
    return this.presence === 'up' && this.upSince !== undefined && elapsedMs(this.upSince, now) >= this.limits.failureMemoryMs
  }
}
