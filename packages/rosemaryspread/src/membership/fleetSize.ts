/**
 * The number of VMs, counted once a second: it is asked with each request, and counting walks all
 * members.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { MemberView } from '@rosemaryspread/decisions/membership/memberTypes.js'

const KEEP_MS = 1_000

/** Counts the VMs that take work. */
export class FleetSize {
  private count = 1
  private countedAt = -Infinity

  /**
   * @param clock - clocks of the VM
   * @param members - every known VM, this one included
   */
  constructor (private readonly clock: Clock, private readonly members: () => readonly MemberView[]) {}

  /** VMs that are live, at least this one. */
  live (): number {
    const { mono } = this.clock.now()
    if (mono - this.countedAt >= KEEP_MS) {
      this.count = Math.max(1, this.members().filter(({ state }) => state === 'live').length)
      this.countedAt = mono
    }
    return this.count
  }
}
