/**
 * What is known of one runner: its newest report, whether it is down, and how often it was. A
 * runner that fails again and again has to be up for longer each time before it gets copies, as
 * with the growing ejection time of outlier detection.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { LoadedModel, PlacementLimits } from './placementTypes.js'
import { ReportPace } from './reportPace.js'

/** Whether a runner answers; `unknown` until it has or its time is up. */
export type RunnerPresence = 'unknown' | 'up' | 'down'

/** One runner as reported. */
export class RunnerRecord {
  models: readonly LoadedModel[] = []
  leaving = false
  /** Times the runner went down, since the last long time without. */
  downs = 0
  private presence: RunnerPresence = 'unknown'
  private heardAt: Instant
  private upSince: Instant | undefined

  /**
   * @param since - when the planner began to listen for it
   * @param limits - times
   * @param pace - how often runners are asked
   */
  constructor (since: Instant, private readonly limits: PlacementLimits, private readonly pace: ReportPace = new ReportPace()) {
    this.heardAt = since
  }

  /**
   * Takes a load report.
   * @param models - what is loaded
   * @param leaving - whether the runner says that it leaves
   * @param now - both clocks
   */
  report (models: readonly LoadedModel[], leaving: boolean, now: Instant): void {
    this.look(now)
    if (this.presence !== 'up') this.upSince = now
    this.presence = 'up'
    this.heardAt = now
    this.models = models
    this.leaving = leaving
  }

  /**
   * Forgets the present report but not the failures; counting of silence begins anew.
   * @param now - both clocks
   */
  listenAnew (now: Instant): void {
    if (this.presence === 'up') this.presence = 'unknown'
    this.heardAt = now
    this.models = []
  }

  /**
   * Whether the runner answers, by how long it was silent.
   * @param now - both clocks
   */
  look (now: Instant): RunnerPresence {
    if (this.presence !== 'down' && elapsedMs(this.heardAt, now) >= this.limits.downAfterMs + this.pace.stretchMs(now)) {
      this.presence = 'down'
      this.downs += 1
    }
    if (this.isForgiven(now)) this.downs = 0
    return this.presence
  }

  /**
   * Whether the runner may get copies: it is up and was so for long enough since it last failed.
   * @param now - both clocks
   */
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
