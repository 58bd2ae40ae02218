/**
 * Decides which share of its new connections an overloaded VM forwards to other VMs. The share answers the busy time of the event
 * loop: it rises fast while the loop is nearly saturated, stays while it is well used, and falls slowly, so that neither the
 * delay until open requests end nor that of the measurement makes it oscillate.
 */
import type { VmLoad } from './loadTypes.js'

/** Busy ratio above which more is forwarded. */
const HIGH_BUSY_RATIO = 0.8
/** Busy ratio below which less is forwarded. */
const LOW_BUSY_RATIO = 0.6
/** Rate per second at which the share that stays here shrinks while the loop is saturated. */
const SHRINK_RATE = 1
/** Rate per second at which the share that stays here grows again. */
const GROW_RATE = 0.15
/** Share that always stays here: without it the load of the VM would say nothing about its requests. */
const MIN_KEPT = 0.05
/** Share from which forwarding begins, and the one at which it ends. */
const BEGIN_SHARE = 0.1
const END_SHARE = 0.05
/** Time that one measurement counts for at most: a blocked event loop measures seldom. */
const MAX_STEP_MS = 500
const MS_PER_SECOND = 1_000

export class ForwardingShare {
  private kept = 1
  private isForwarding = false
  private updatedAt: number | undefined

  /** Share of new connections to forward, 0 to 1. */
  get share (): number {
    return this.isForwarding ? 1 - this.kept : 0
  }

  /**
   * To be called several times a second.
   * @param load - load of this VM in the latest window
   * @param mono - monotonic milliseconds
   */
  update ({ busyRatio }: Pick<VmLoad, 'busyRatio'>, mono: number): void {
    const seconds = Math.min(MAX_STEP_MS, mono - (this.updatedAt ?? mono)) / MS_PER_SECOND
    this.updatedAt = mono
    this.kept = Math.min(1, Math.max(MIN_KEPT, this.kept * Math.exp(seconds * growthRate(busyRatio))))
    const forwarded = 1 - this.kept
    this.isForwarding = this.isForwarding ? forwarded > END_SHARE : forwarded >= BEGIN_SHARE
  }
}

/** Rate per second at which the share that stays here grows; negative while it shrinks, in proportion to the overload. */
function growthRate (busyRatio: number): number {
  if (busyRatio > HIGH_BUSY_RATIO) return -SHRINK_RATE * (busyRatio - HIGH_BUSY_RATIO) / (1 - HIGH_BUSY_RATIO)
  return busyRatio < LOW_BUSY_RATIO ? GROW_RATE : 0
}
