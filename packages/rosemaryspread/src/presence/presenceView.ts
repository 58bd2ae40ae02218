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
const CACHE_MS = 100

interface SeenRow {
  readonly row: PresenceRow
  readonly at: number
}

/** The other VMs present at one moment. */
interface PresentVms {
  readonly all: readonly PresenceRow[]
  /** The VMs that have not missed heartbeats. */
  readonly onTime: readonly PresenceRow[]
}

/** Last row and last change of each VM. Times are monotonic milliseconds. */
export class PresenceView {
  private seen = new Map<string, SeenRow>()
  private healthySince: number | undefined
  private isFromDigest = false
  private cached: PresentVms | undefined
  private cachedAt = -Infinity

  /**
   * @param self - name of this VM
   * @param expiryMs - time without a heartbeat after which a VM counts as terminated, by the size of the fleet
   * @param lateMs - time without a heartbeat after which it counts as late, by the size of the fleet
   */
  constructor (private readonly self: string, private readonly expiryMs: (vms: number) => number, private readonly lateMs: (vms: number) => number) {}

  /** Replaces the rows of all VMs; a VM without a row has left. */
  replaced (rows: readonly PresenceRow[], mono: number): void {
    const before = this.seen
    this.seen = new Map()
    for (const row of rows) {
      const previous = before.get(row.vm)
      this.seen.set(row.vm, { row, at: previous?.row.beat === row.beat ? previous.at : mono })
    }
    this.markFeedHealthy(mono)
  }

  /**
   * Updates the row of one VM.
   * @param row - the row; null when it was deleted
   */
  changed (vm: string, row: PresenceRow | null, mono: number): void {
    if (row === null) this.seen.delete(vm)
    else this.seen.set(vm, { row, at: mono })
    this.markFeedHealthy(mono)
  }

  /** Suspends expiry until the feed delivers rows again. */
  feedFailed (): void {
    this.healthySince = undefined
    this.cached = undefined
  }

  /** Sets whether rows come from a digest, which reports late and terminated VMs itself; expiry is then off. */
  sourceChanged (isFromDigest: boolean): void {
    this.isFromDigest = isFromDigest
    this.healthySince = undefined
    this.cached = undefined
  }

  /** Stage of a VM by its heartbeats; this VM always counts as present. */
  stageOf (vm: string, mono: number): DigestStage {
    const seen = this.seen.get(vm)
    if (vm === this.self || seen === undefined) return 'present'
    const silenceMs = this.silenceMs(seen.at, mono)
    if (silenceMs > this.expiryMs(this.seen.size)) return 'gone'
    return silenceMs > this.lateMs(this.seen.size) ? 'late' : 'present'
  }

  /** Other VMs that have not expired. */
  presentPeers (mono: number): readonly PresenceRow[] {
    return this.present(mono).all
  }

  /** Other VMs that are not late. */
  onTimePeers (mono: number): readonly PresenceRow[] {
    return this.present(mono).onTime
  }

  private present (mono: number): PresentVms {
    if (this.cached !== undefined && mono - this.cachedAt < CACHE_MS) return this.cached
    const peers = [...this.seen.values()].filter(({ row }) => row.vm !== this.self)
    const heardWithin = (ms: number): readonly PresenceRow[] => peers.filter(({ at }) => this.silenceMs(at, mono) <= ms).map(({ row }) => row)
    const onTime = heardWithin(this.lateMs(this.seen.size)).filter(({ isLate }) => isLate !== true)
    this.cached = { all: heardWithin(this.expiryMs(this.seen.size)), onTime }
    this.cachedAt = mono
    return this.cached
  }

  private markFeedHealthy (mono: number): void {
    this.healthySince ??= mono
    this.cached = undefined
  }

  /** Milliseconds without a change of the row while the feed worked. */
  private silenceMs (at: number, mono: number): number {
    return this.isFromDigest || this.healthySince === undefined ? 0 : mono - Math.max(at, this.healthySince)
  }
}
