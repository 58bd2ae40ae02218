/**
 * State of one runner: its latest report, its presence and its recent failures. A runner that fails repeatedly
 * must be up for longer each time before it gets copies, as with the ejection time of outlier detection.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { LoadedModel, PlacementLimits } from './placementTypes.js'
import { ReportPace } from './reportPace.js'

/** Whether a runner responds; `unknown` until its first report or the timeout. */
export type RunnerPresence = 'unknown' | 'up' | 'down'

export class RunnerRecord {
  models: readonly LoadedModel[] = []
  leaving = false
  /** Failures since the runner was last up for `failureMemoryMs`. */
  downs = 0
  private presence: RunnerPresence = 'unknown'
  private heardAt: Instant
  private upSince: Instant | undefined

  /**
   * @param since - start of the wait for its first report
   */
  constructor (since: Instant, private readonly limits: PlacementLimits, private readonly pace: ReportPace = new ReportPace()) {
    this.heardAt = since
  }

  /**
   * Records a load report.
   * @param leaving - whether the runner announces its shutdown
   */
  report (models: readonly LoadedModel[], leaving: boolean, now: Instant): void {
    this.look(now)
    if (this.presence !== 'up') this.upSince = now
    this.presence = 'up'
    this.heardAt = now
    this.models = models
    this.leaving = leaving
  }

  /** Discards the current report and restarts the timeout; the failure count stays. */
  listenAnew (now: Instant): void {
    if (this.presence === 'up') this.presence = 'unknown'
    this.heardAt = now
    this.models = []
  }

  /** Updates the presence from the time since the last report. */
  look (now: Instant): RunnerPresence {
    if (this.presence !== 'down' && elapsedMs(this.heardAt, now) >= this.limits.downAfterMs + this.pace.stretchMs(now)) {
      this.presence = 'down'
      this.downs += 1
    }
    if (this.isForgiven(now)) this.downs = 0
    return this.presence
  }

  /** Whether the runner may get copies: it is up, and has been for long enough since its last failure. */
  isSteady (now: Instant): boolean {
    if (this.look(now) !== 'up' || this.upSince === undefined) return false
    if (this.downs === 0) return true
    const doublings = Math.min(this.downs - 1, this.limits.maxDoublings)
    return elapsedMs(this.upSince, now) >= this.limits.steadyMs * 2 ** doublings
  }

  private isForgiven (now: Instant): boolean {
    return this.presence === 'up' && this.upSince !== undefined && elapsedMs(this.upSince, now) >= this.limits.forgiveMs
  }
}
