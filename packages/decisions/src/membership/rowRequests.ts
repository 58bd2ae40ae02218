/**
 * VMs whose current holder has no row here yet. Their rows are requested in bounded batches and not again for a while, so that
 * updates about a holder that terminated long ago cost little.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'

/** Maximum rows in one request. */
const MAX_BATCH_ROWS = 50
/** Delay before the row of a VM is requested again. */
const REQUEST_AGAIN_MS = 5_000

/** Selects the rows to request. */
export class RowRequests {
  private readonly wanted = new Set<string>()
  private readonly requestedAt = new Map<string, Instant>()

  /** Marks the row of a VM as needed. */
  markNeeded (vm: string): void {
    this.wanted.add(vm)
  }

  /** Marks the row of a VM as read. */
  answered (vm: string): void {
    this.wanted.delete(vm)
  }

  /** The VMs whose rows to request now. */
  nextBatch (now: Instant): readonly string[] {
    const vms = [...this.wanted].filter(vm => this.mayRequest(vm, now)).slice(0, MAX_BATCH_ROWS)
    for (const vm of vms) {
      this.wanted.delete(vm)
      this.requestedAt.set(vm, now)
    }
    return vms
  }

  private mayRequest (vm: string, now: Instant): boolean {
    const lastRequestAt = this.requestedAt.get(vm)
    if (lastRequestAt === undefined) return true
    if (elapsedMs(lastRequestAt, now) < REQUEST_AGAIN_MS) return false
    this.requestedAt.delete(vm)
    return true
  }
}
