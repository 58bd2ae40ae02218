/**
 * VMs whose current holder has no row here yet. Their rows are requested in bounded batches and not again for a while, so that
 * updates about a holder that terminated long ago cost little.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'

/** Most rows in one request. */
const MAX_ASKED = 50
/** Delay before the row of a VM is requested again. */
const ASK_AGAIN_MS = 5_000

/** Selects the rows to request. */
export class RowQuestions {
  private readonly wanted = new Set<string>()
  private readonly askedAt = new Map<string, Instant>()

  /** Marks the row of a VM as needed. */
  need (vm: string): void {
    this.wanted.add(vm)
  }

  /** Marks the row of a VM as read. */
  answered (vm: string): void {
    this.wanted.delete(vm)
  }

  /** The VMs whose rows to request now. */
  due (now: Instant): readonly string[] {
    const vms = [...this.wanted].filter(vm => this.mayAsk(vm, now)).slice(0, MAX_ASKED)
    for (const vm of vms) {
      this.wanted.delete(vm)
      this.askedAt.set(vm, now)
    }
    return vms
  }

  private mayAsk (vm: string, now: Instant): boolean {
    const askedAt = this.askedAt.get(vm)
    if (askedAt === undefined) return true
    if (elapsedMs(askedAt, now) < ASK_AGAIN_MS) return false
    this.askedAt.delete(vm)
    return true
  }
}
