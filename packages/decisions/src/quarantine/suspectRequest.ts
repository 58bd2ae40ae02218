/**
 * One request under which targets ended: which processes, which of their ends count, and since when it is quarantined.
 */
import { MOST_ENDS, processOf, type TargetEnd } from './quarantineTypes.js'

/** Processes that ended under a request, and none of them answered it, from which on it is not sent any more. */
export const QUARANTINE_ENDS = 3
/** Milliseconds of the first quarantine. Each further one takes twice as long: a request that was mended on the targets' side gets through within the hour. */
const QUARANTINE_MS = 3_600_000
/** Doublings at most: a day and eight hours. */
const MOST_DOUBLINGS = 5

/**
 * Milliseconds for which a request is quarantined.
 * @param level - how often it was, this time included
 */
export function quarantineMs (level: number): number {
  return QUARANTINE_MS * 2 ** Math.min(Math.max(0, level - 1), MOST_DOUBLINGS)
}

/** A request under suspicion. Times named `mono` are monotonic milliseconds. */
export class SuspectRequest {
  level = 0
  /** When something was last learned of it. */
  touchedAt = 0
  private readonly ends = new Map<string, TargetEnd>()
  private readonly cleared = new Set<string>()
  private quarantinedAt: number | undefined

  /** Ends that count, the earliest first. */
  get counted (): readonly TargetEnd[] {
    return [...this.ends.values()].filter(end => !this.cleared.has(processOf(end))).sort((a, b) => a.at - b.at)
  }

  /** All ends that were told, those included that do not count. */
  get processes (): readonly string[] {
    return [...this.ends.keys()]
  }

  /** Whether some end counts. */
  get isSuspected (): boolean {
    return this.counted.length > 0
  }

  /**
   * Whether it is quarantined.
   * @param mono - present time
   */
  isQuarantined (mono: number): boolean {
    return this.leftMs(mono) > 0
  }

  /**
   * Milliseconds until its quarantine ends; 0 where there is none.
   * @param mono - present time
   */
  leftMs (mono: number): number {
    if (this.quarantinedAt === undefined) return 0
    return Math.max(0, this.quarantinedAt + quarantineMs(this.level) - mono)
  }

  /**
   * Takes ends; several VMs tell of the same one.
   * @param ends - the ends
   */
  add (ends: readonly TargetEnd[]): void {
    for (const end of ends) {
      const known = this.ends.get(processOf(end))
      if (known === undefined || end.at < known.at) this.ends.set(processOf(end), end)
    }
    this.forgetEarliest()
  }

  /**
   * Leaves ends out of the count, also those that are told of later.
   * @param processes - names of the processes
   */
  clear (processes: readonly string[]): void {
    for (const name of processes) this.cleared.add(name)
    if (!this.isDue) this.quarantinedAt = undefined
  }

  /**
   * Quarantines it where enough ends count; answers whether that is new.
   * @param mono - present time
   * @param level - how often others quarantined it, this time included
   */
  judge (mono: number, level = 1): boolean {
    if (!this.isDue || this.isQuarantined(mono)) return false
    this.level = Math.max(this.level + 1, level)
    this.quarantinedAt = mono
    return true
  }

  /**
   * Whether a quarantine took its time and was not released yet.
   * @param mono - present time
   */
  isOver (mono: number): boolean {
    return this.quarantinedAt !== undefined && this.leftMs(mono) === 0
  }

  /** Ends a quarantine whose time is over: the next end brings it back. */
  release (): void {
    this.quarantinedAt = undefined
    for (const end of this.counted.slice(0, 1 - QUARANTINE_ENDS)) this.cleared.add(processOf(end))
  }

  /** With more ends than a row holds, other VMs could not read of a verdict or a clearance. */
  private forgetEarliest (): void {
    if (this.ends.size <= MOST_ENDS) return
    const names = [...this.ends].sort(([a, { at }], [b, other]) => at - other.at || (a < b ? -1 : 1)).map(([name]) => name)
    for (const name of names.slice(0, -MOST_ENDS)) this.ends.delete(name)
  }

  private get isDue (): boolean {
    return this.counted.length >= QUARANTINE_ENDS
  }
}
