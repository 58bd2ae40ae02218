/**
 * What to pass on with heartbeats: changes first, each a bounded number of times; beyond that
 * a part of all members in turn, so that every VM hears of every other in bounded time and
 * every message has a bounded size.
 */

interface Rumor {
  readonly vm: string
  left: number
}

/** Chooses the VMs of which a message tells. */
export class RumorQueue {
  private rumors: Rumor[] = []
  private cursor = 0

  /**
   * @param times - messages in which each change is passed on
   */
  constructor (private readonly times: number) {}

  /**
   * Notes that something changed at a VM.
   * @param vm - name of the VM
   */
  add (vm: string): void {
    this.rumors = [{ vm, left: this.times }, ...this.rumors.filter(rumor => rumor.vm !== vm)]
  }

  /**
   * The VMs that changed, those told least often first and of these the latest.
   * @param atMost - how many are wanted
   */
  takeRumors (atMost: number): readonly string[] {
    const taken = [...this.rumors].sort((a, b) => b.left - a.left).slice(0, atMost)
    for (const rumor of taken) rumor.left -= 1
    this.rumors = this.rumors.filter(rumor => rumor.left > 0)
    return taken.map(rumor => rumor.vm)
  }

  /**
   * The next VMs in turn.
   * @param vms - all of them, in a stable order
   * @param atMost - how many are wanted
   */
  takeDigest (vms: readonly string[], atMost: number): readonly string[] {
    if (vms.length <= atMost) return vms
    const first = this.cursor % vms.length
    this.cursor = first + atMost
    return [...vms.slice(first), ...vms.slice(0, first)].slice(0, atMost)
  }
}
