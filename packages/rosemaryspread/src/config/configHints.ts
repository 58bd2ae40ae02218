/**
 * Heartbeats carry the configuration version of their sender. A higher one than the version in force triggers a
 * refresh from the table at once, so that a lost push costs a heartbeat period instead of a poll period.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'

/** Minimum time between two refreshes. */
const MIN_REFRESH_INTERVAL_MS = 500

/** Triggers refreshes by advertised versions. */
export class VersionHints {
  private refreshedAt = -Infinity
  private ask: () => void = () => {}

  /**
   * @param inForce - returns the version in force; undefined before the first
   */
  constructor (private readonly clock: Clock, private readonly inForce: () => number | undefined) {}

  /** Sets the callback for a higher version. */
  onHint (refresh: () => void): void {
    this.ask = refresh
  }

  /** Handles a version that is in force on another VM. */
  onAdvertised (version: number): void {
    const { mono } = this.clock.now()
    if (version <= (this.inForce() ?? -1) || mono - this.refreshedAt < MIN_REFRESH_INTERVAL_MS) return
    this.refreshedAt = mono
    this.ask()
  }
}
