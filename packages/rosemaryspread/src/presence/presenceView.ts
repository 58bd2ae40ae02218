/**
 * Which other VMs are present, as one VM sees it. A VM counts as gone when its row did not change
 * for some heartbeats, but only as long as the feed works: silence of the store says nothing of VMs.
 */
import type { PresenceRow } from './presenceTypes.js'

interface Seen {
  readonly row: PresenceRow
  readonly at: number
}

/** The other VMs. Times are monotonic milliseconds. */
export class PresenceView {
  private seen = new Map<string, Seen>()
  private healthySince: number | undefined

  /**
   * @param self - name of this VM
   * @param expiryMs - silence after which a VM counts as gone, in a fleet of so many VMs
   */
  constructor (private readonly self: string, private readonly expiryMs: (vms: number) => number) {}

  /**
   * Takes the rows of all VMs. Rows that are not there any more belong to VMs that left.
   * @param rows - all rows
   * @param mono - present time
   */
  replaced (rows: readonly PresenceRow[], mono: number): void {
    const before = this.seen
    this.seen = new Map()
    for (const row of rows) {
      const known = before.get(row.vm)
      this.seen.set(row.vm, known?.row.beat === row.beat ? known : { row, at: mono })
    }
    this.feedWorks(mono)
  }

  /**
   * Takes the row of one VM.
   * @param vm - name of the VM
   * @param row - its row; null when it was deleted
   * @param mono - present time
   */
  changed (vm: string, row: PresenceRow | null, mono: number): void {
    if (row === null) this.seen.delete(vm)
    else this.seen.set(vm, { row, at: mono })
    this.feedWorks(mono)
  }

  /** Notes that the feed does not work. */
  feedFailed (): void {
    this.healthySince = undefined
  }

  /**
   * Other VMs that are present.
   * @param mono - present time
   */
  others (mono: number): readonly PresenceRow[] {
    return [...this.seen.values()]
      .filter(({ row, at }) => row.vm !== this.self && !this.isSilent(at, mono))
      .map(({ row }) => row)
  }

  private feedWorks (mono: number): void {
    this.healthySince ??= mono
  }

  private isSilent (at: number, mono: number): boolean {
    if (this.healthySince === undefined) return false
    return mono - Math.max(at, this.healthySince) > this.expiryMs(this.seen.size)
  }
}
