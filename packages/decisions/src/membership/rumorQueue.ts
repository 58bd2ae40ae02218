/**
 * Selects the updates to pass on with heartbeats: changes first, each a bounded number of times; beyond that a share of all
 * members in rotation, so that every VM hears of every other in bounded time and every message has a bounded size.
 */

interface Rumor {
  readonly vm: string
  left: number
}

/** Selects the VMs whose updates a message contains. */
export class RumorQueue {
  private rumors: Rumor[] = []
  private cursor = 0

  /**
   * @param times - messages in which each change is passed on
   */
  constructor (private readonly times: number) {}

  /** Queues a change of a VM. */
  add (vm: string): void {
    this.rumors = [{ vm, left: this.times }, ...this.rumors.filter(rumor => rumor.vm !== vm)]
  }

  /** Changed VMs, those passed on least often first and of these the latest. */
  nextRumors (limit: number): readonly string[] {
    const chosen = [...this.rumors].sort((a, b) => b.left - a.left).slice(0, limit)
    for (const rumor of chosen) rumor.left -= 1
    this.rumors = this.rumors.filter(rumor => rumor.left > 0)
    return chosen.map(rumor => rumor.vm)
  }

  /**
   * The next VMs in rotation.
   * @param vms - all VMs, in a stable order
   */
  nextDigest (vms: readonly string[], limit: number): readonly string[] {
    if (vms.length <= limit) return vms
    const first = this.cursor % vms.length
    this.cursor = first + limit
    return [...vms.slice(first), ...vms.slice(0, first)].slice(0, limit)
  }
}
