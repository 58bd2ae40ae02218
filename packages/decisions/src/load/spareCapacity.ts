/**
 * Decides whether a VM accepts connections that overloaded VMs forward. It accepts them only while it is clearly idle on the average: where
 * all VMs are busy, forwarding would only add to the load of all. Hysteresis keeps the published state from following every burst.
 */
import type { VmLoad } from './loadTypes.js'

/** Average busy ratio below which a VM begins to accept forwarded connections. */
const BEGIN_BUSY_RATIO = 0.4
/** Average busy ratio above which it stops. */
const END_BUSY_RATIO = 0.65
/** Time over which the busy ratio is averaged. */
const AVERAGING_MS = 1_000

export class SpareCapacity {
  /** A VM that has just started has not shown yet that it idles. */
  private averageBusyRatio = 1
  private isSpare = false
  private updatedAt: number | undefined

  /** Whether the VM accepts forwarded connections. */
  get hasSpare (): boolean {
    return this.isSpare
  }

  /**
   * To be called several times a second.
   * @param load - load of this VM in the latest window
   * @param mono - monotonic milliseconds
   */
  update ({ busyRatio }: Pick<VmLoad, 'busyRatio'>, mono: number): void {
    const weight = 1 - Math.exp(-(mono - (this.updatedAt ?? mono)) / AVERAGING_MS)
    this.updatedAt = mono
    this.averageBusyRatio += weight * (busyRatio - this.averageBusyRatio)
    this.isSpare = this.averageBusyRatio < (this.isSpare ? END_BUSY_RATIO : BEGIN_BUSY_RATIO)
  }
}
