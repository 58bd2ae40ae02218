/**
 * The number of live VMs, counted once a second: every request reads it, and counting iterates over
 * all members.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { MemberView } from '@rosemaryspread/decisions/membership/memberTypes.js'

const CACHE_MS = 1_000

/** Counts the VMs that accept work. */
export class FleetSize {
  private count = 1
  private countedAt = -Infinity

  /** @param members - returns all current members, this VM included */
  constructor (private readonly clock: Clock, private readonly members: () => readonly MemberView[]) {}

  /** Number of live VMs, at least 1. */
  live (): number {
    const { mono } = this.clock.now()
    if (mono - this.countedAt >= CACHE_MS) {
      this.count = Math.max(1, this.members().filter(({ state }) => state === 'live').length)
      this.countedAt = mono
    }
    return this.count
  }
}
