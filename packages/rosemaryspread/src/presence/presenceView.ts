/**
 * Which other VMs are present, as one VM sees it. A VM counts as gone when its row did not change
 * for some heartbeats, but only as long as the feed works: silence of the store says nothing of VMs.
 */
import type { PresenceRow } from './presenceTypes.js'

/**
 * Milliseconds for which the list of VMs is kept while no news of any comes. It is asked for many times with each pass over the
 * budgets; a VM that falls silent is missed seconds later anyhow.
 */
const KEPT_MS = 100

interface Seen {
  readonly row: PresenceRow
  readonly at: number
}

/** The other VMs. Times are monotonic milliseconds. */
export class PresenceView {
  private seen = new Map<string, Seen>()
  private healthySince: number | undefined
  private kept: readonly PresenceRow[] | undefined
  private keptAt = -Infinity

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
    this.kept = undefined
  }

  /**
   * Other VMs that are present.
   * @param mono - present time
   */
  others (mono: number): readonly PresenceRow[] {
    if (this.kept !== undefined && mono - this.keptAt < KEPT_MS) return this.kept
    this.kept = [...this.seen.values()]
      .filter(({ row, at }) => row.vm !== this.self && !this.isSilent(at, mono))
      .map(({ row }) => row)
    this.keptAt = mono
    return this.kept
  }

  private feedWorks (mono: number): void {
    this.healthySince ??= mono
    this.kept = undefined
  }

  private isSilent (at: number, mono: number): boolean {
    if (this.healthySince === undefined) return false
    return mono - Math.max(at, this.healthySince) > this.expiryMs(this.seen.size)
  }
}
