/**
 * VMs of whose present holder no row is known. Each is asked for in bounded batches and not
 * again for a while, so that news of a holder that ended long ago costs little.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'

/** Rows asked for at once. */
const MAX_ASKED = 50
/** Milliseconds before the row of a VM is asked for again. */
const ASK_AGAIN_MS = 5_000

/** Which rows to ask for. */
export class RowQuestions {
  private readonly wanted = new Set<string>()
  private readonly askedAt = new Map<string, Instant>()

  /** Notes that the row of a VM is needed. */
  need (vm: string): void {
    this.wanted.add(vm)
  }

  /** Notes that the row of a VM was read. */
  answered (vm: string): void {
    this.wanted.delete(vm)
  }

  /**
   * The VMs to ask for now.
   * @param now - the present time
   */
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
