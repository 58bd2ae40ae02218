/**
 * State of one request during which targets terminated: the processes, which of their ends count, and the quarantine.
 */
import { MAX_ENDS, processKey, type TargetEnd } from './quarantineTypes.js'

/** Processes that have to terminate during a request, without an answer to it, before it is quarantined. */
export const QUARANTINE_THRESHOLD = 3
/** Duration of the first quarantine, doubled for each further one. A request whose cause was fixed in the targets is forwarded again within the hour. */
const BASE_QUARANTINE_MS = 3_600_000
/** Bounds a quarantine to 32 hours. */
const MAX_DOUBLINGS = 5

/**
 * Duration of a quarantine in milliseconds.
 * @param level - how often the request has been quarantined, including this time
 */
export function quarantineMs (level: number): number {
  return BASE_QUARANTINE_MS * 2 ** Math.min(Math.max(0, level - 1), MAX_DOUBLINGS)
}

/** Times are monotonic milliseconds, except `at` of an end. */
export class SuspectRequest {
  level = 0
  lastUpdatedAt = 0
  private readonly ends = new Map<string, TargetEnd>()
  private readonly cleared = new Set<string>()
  private quarantinedAt: number | undefined

  /** Ends that were not cleared, earliest first. */
  get countedEnds (): readonly TargetEnd[] {
    return [...this.ends.values()].filter(end => !this.cleared.has(processKey(end))).sort((a, b) => a.at - b.at)
  }

  /** Process keys of all reported ends, including cleared ones. */
  get processes (): readonly string[] {
    return [...this.ends.keys()]
  }

  get isSuspected (): boolean {
    return this.countedEnds.length > 0
  }

  isQuarantined (mono: number): boolean {
    return this.leftMs(mono) > 0
  }

  /**
   * Whether enough ends count for a quarantine.
   * @param explained - process keys of ends that have another cause
   */
  hasReachedThreshold (explained: ReadonlySet<string> = new Set()): boolean {
    return this.countedEnds.filter(end => !explained.has(processKey(end))).length >= QUARANTINE_THRESHOLD
  }

  /** Milliseconds until its quarantine expires; 0 when there is none. */
  leftMs (mono: number): number {
    if (this.quarantinedAt === undefined) return 0
    return Math.max(0, this.quarantinedAt + quarantineMs(this.level) - mono)
  }

  /** Adds ends. Several VMs may report the same one, of which the earliest time counts. */
  add (ends: readonly TargetEnd[]): void {
    for (const end of ends) {
      const existing = this.ends.get(processKey(end))
      if (existing === undefined || end.at < existing.at) this.ends.set(processKey(end), end)
    }
    this.dropEarliestEnds()
  }

  /**
   * Excludes ends from the count, also those that are reported later.
   * @param processes - process keys of the ends
   */
  clear (processes: readonly string[]): void {
    for (const name of processes) this.cleared.add(name)
    if (!this.hasReachedThreshold()) this.quarantinedAt = undefined
  }

  /**
   * Quarantines the request if enough ends count; returns whether that is new.
   * @param level - how often other VMs have quarantined it, including this time
   */
  quarantineIfDue (mono: number, level = 1): boolean {
    if (!this.hasReachedThreshold() || this.isQuarantined(mono)) return false
    this.level = Math.max(this.level + 1, level)
    this.quarantinedAt = mono
    return true
  }

  /** Whether a quarantine has expired and was not released yet. */
  hasExpired (mono: number): boolean {
    return this.quarantinedAt !== undefined && this.leftMs(mono) === 0
  }

  /** Releases an expired quarantine and clears all but two ends, so that the next end starts it again. */
  release (): void {
    this.quarantinedAt = undefined
    for (const end of this.countedEnds.slice(0, 1 - QUARANTINE_THRESHOLD)) this.cleared.add(processKey(end))
  }

  /** With more ends than a row may have, other VMs would reject a verdict or a clearance. */
  private dropEarliestEnds (): void {
    if (this.ends.size <= MAX_ENDS) return
    const names = [...this.ends].sort(([a, { at }], [b, other]) => at - other.at || (a < b ? -1 : 1)).map(([name]) => name)
    for (const name of names.slice(0, -MAX_ENDS)) this.ends.delete(name)
  }
}
