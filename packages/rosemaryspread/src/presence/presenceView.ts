/**
 * Which other VMs are present, as one VM sees it. A VM counts as gone when its row did not change
 * for some heartbeats, but only as long as the feed works: silence of the store says nothing of VMs.
 */
import type { DigestStage } from '@rosemaryspread/decisions/digest/digestEntry.js'
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

/** The other VMs at one moment. */
interface Present {
  readonly all: readonly PresenceRow[]
  /** Those of them that are not late. */
  readonly punctual: readonly PresenceRow[]
}

/** The other VMs. Times are monotonic milliseconds. */
export class PresenceView {
  private seen = new Map<string, Seen>()
  private healthySince: number | undefined
  private isVouched = false
  private kept: Present | undefined
  private keptAt = -Infinity

  /**
   * @param self - name of this VM
   * @param expiryMs - silence after which a VM counts as gone, in a fleet of so many VMs
   * @param lateMs - silence after which it counts as late
   */
  constructor (private readonly self: string, private readonly expiryMs: (vms: number) => number, private readonly lateMs: (vms: number) => number) {}

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
      this.seen.set(row.vm, { row, at: known?.row.beat === row.beat ? known.at : mono })
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
   * Takes whether others tell which VMs are late or gone: then silence says nothing.
   * @param isVouched - whether they do
   */
  vouched (isVouched: boolean): void {
    this.isVouched = isVouched
    this.healthySince = undefined
    this.kept = undefined
  }

  /**
   * How a VM is doing by its heartbeats; the VM itself counts as present.
   * @param vm - name of the VM
   * @param mono - present time
   */
  stageOf (vm: string, mono: number): DigestStage {
    const seen = this.seen.get(vm)
    if (vm === this.self || seen === undefined) return 'present'
    const silentMs = this.silentMs(seen.at, mono)
    if (silentMs > this.expiryMs(this.seen.size)) return 'gone'
    return silentMs > this.lateMs(this.seen.size) ? 'late' : 'present'
  }

  /**
   * Other VMs that are present.
   * @param mono - present time
   */
  others (mono: number): readonly PresenceRow[] {
    return this.present(mono).all
  }

  /**
   * Other VMs that are present and not late.
   * @param mono - present time
   */
  punctual (mono: number): readonly PresenceRow[] {
    return this.present(mono).punctual
  }

  private present (mono: number): Present {
    if (this.kept !== undefined && mono - this.keptAt < KEPT_MS) return this.kept
    const others = [...this.seen.values()].filter(({ row }) => row.vm !== this.self)
    const heardWithin = (ms: number): readonly PresenceRow[] => others.filter(({ at }) => this.silentMs(at, mono) <= ms).map(({ row }) => row)
    const punctual = heardWithin(this.lateMs(this.seen.size)).filter(({ isLate }) => isLate !== true)
    this.kept = { all: heardWithin(this.expiryMs(this.seen.size)), punctual }
    this.keptAt = mono
    return this.kept
  }

  private feedWorks (mono: number): void {
    this.healthySince ??= mono
    this.kept = undefined
  }

  /** Milliseconds for which a VM was silent while the feed worked. */
  private silentMs (at: number, mono: number): number {
    return this.isVouched || this.healthySince === undefined ? 0 : mono - Math.max(at, this.healthySince)
  }
}
