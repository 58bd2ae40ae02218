/**
 * Tracks which other VMs are present. A VM counts as terminated when its row has not changed for several
 * heartbeats, but only while the feed works: an unreachable store says nothing about the VMs.
 */
import type { DigestStage } from '@rosemaryspread/decisions/digest/digestEntry.js'
import type { PresenceRow } from './presenceTypes.js'

/**
 * Milliseconds for which the list of VMs is cached while no row changes. Each pass over the budgets reads it many times, and
 * an unresponsive VM is only detected after seconds anyway.
 */
const KEPT_MS = 100

interface Seen {
  readonly row: PresenceRow
  readonly at: number
}

/** The other VMs present at one moment. */
interface Present {
  readonly all: readonly PresenceRow[]
  /** The VMs that have not missed heartbeats. */
  readonly punctual: readonly PresenceRow[]
}

/** Last row and last change of each VM. Times are monotonic milliseconds. */
export class PresenceView {
  private seen = new Map<string, Seen>()
  private healthySince: number | undefined
  private isVouched = false
  private kept: Present | undefined
  private keptAt = -Infinity

  /**
   * @param self - name of this VM
   * @param expiryMs - silence after which a VM counts as terminated, by the size of the fleet
   * @param lateMs - silence after which it counts as late, by the size of the fleet
   */
  constructor (private readonly self: string, private readonly expiryMs: (vms: number) => number, private readonly lateMs: (vms: number) => number) {}

  /** Replaces the rows of all VMs; a VM without a row has left. */
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
   * Updates the row of one VM.
   * @param row - the row; null when it was deleted
   */
  changed (vm: string, row: PresenceRow | null, mono: number): void {
    if (row === null) this.seen.delete(vm)
    else this.seen.set(vm, { row, at: mono })
    this.feedWorks(mono)
  }

  /** Suspends expiry until the feed delivers rows again. */
  feedFailed (): void {
    this.healthySince = undefined
    this.kept = undefined
  }

  /** Sets whether rows come from a digest, which reports late and terminated VMs itself; expiry is then off. */
  vouched (isVouched: boolean): void {
    this.isVouched = isVouched
    this.healthySince = undefined
    this.kept = undefined
  }

  /** Stage of a VM by its heartbeats; this VM always counts as present. */
  stageOf (vm: string, mono: number): DigestStage {
    const seen = this.seen.get(vm)
    if (vm === this.self || seen === undefined) return 'present'
    const silentMs = this.silentMs(seen.at, mono)
    if (silentMs > this.expiryMs(this.seen.size)) return 'gone'
    return silentMs > this.lateMs(this.seen.size) ? 'late' : 'present'
  }

  /** Other VMs that have not expired. */
  others (mono: number): readonly PresenceRow[] {
    return this.present(mono).all
  }

  /** Other VMs that are not late. */
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

  /** Milliseconds without a change of the row while the feed worked. */
  private silentMs (at: number, mono: number): number {
    return this.isVouched || this.healthySince === undefined ? 0 : mono - Math.max(at, this.healthySince)
  }
}
