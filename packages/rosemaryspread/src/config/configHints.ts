/**
 * Heartbeats name the configuration version of their sender. One that is higher than the version
 * in force here has the table asked at once, so that a lost push costs a heartbeat and not a poll.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'

/** Milliseconds between two asks for the same reason. */
const LEAST_MS = 500

/** Turns versions heard of into asks. */
export class VersionHints {
  private askedAt = -Infinity
  private ask: () => void = () => {}

  /**
   * @param clock - clocks of the VM
   * @param inForce - the version in force; undefined before the first
   */
  constructor (private readonly clock: Clock, private readonly inForce: () => number | undefined) {}

  /**
   * Sets what is done when a higher version is heard of.
   * @param ask - looks for the newest version
   */
  onHint (ask: () => void): void {
    this.ask = ask
  }

  /**
   * Takes a version that another VM has in force.
   * @param version - the version
   */
  heard (version: number): void {
    const { mono } = this.clock.now()
    if (version <= (this.inForce() ?? -1) || mono - this.askedAt < LEAST_MS) return
    this.askedAt = mono
    this.ask()
  }
}
