/**
 * Leaving and pause reports that targets send with their responses, stored per process. The register may show them later, or never
 * while its store is unreachable, and heartbeats written earlier still list the target as serving. So only a later process of the
 * target, or a long absence from the register, clears a leaving report.
 *
 * A response does not name the process that sent it. If a target restarted under its id and the register does not list the new
 * process yet, a response is attributed to the previous process until the later one is listed.
 */
import type { Instant } from '../clock/clockTypes.js'

/**
 * Retention of reports whose target is no longer listed, or whose process is in doubt. Live targets are listed again within
 * seconds.
 */
const REMEMBERED_MS = 60_000

/** Longest pause that a target may request. */
export const MOST_PAUSE_MS = 3_600_000

/** What a response reports about its target. */
export interface TargetReport {
  readonly isLeaving: boolean
  /** Milliseconds for which this VM should send no further request; absent if no pause was requested. */
  readonly pauseMs?: number
  /** The pause as sent, if it could not be parsed. */
  readonly flaw?: string
}

/** One process of a target; a restart may reuse the id. */
export interface TargetProcess {
  readonly id: string
  /** Start time in Unix milliseconds; absent if not reported. */
  readonly startedAt?: number
}

/** Reports of one process. */
interface Known {
  startedAt: number | undefined
  /** Time of the last report. */
  said: Instant
  /** Set when a later process was listed that may have sent the last report. */
  isInDoubt: boolean
  isLeaving: boolean
  /** Monotonic time at which its pause ends. */
  pausedUntil: number
  listedAt: number
}

/** A state that a report changed. */
export type ReportNews = 'leaving' | 'paused'

/** Whether a process of a target started later than another; false if a start time is missing. */
export function isLaterProcess ({ startedAt }: Pick<TargetProcess, 'startedAt'>, than: Pick<TargetProcess, 'startedAt'>): boolean {
  return startedAt !== undefined && than.startedAt !== undefined && startedAt > than.startedAt
}

/** Reports of all targets to this VM. Times are monotonic milliseconds. */
export class TargetReports {
  private readonly known = new Map<string, Known>()

  /**
   * Records the report of a process.
   * @returns the states that it changed
   */
  take (process: TargetProcess, { isLeaving, pauseMs = 0 }: TargetReport, now: Instant): readonly ReportNews[] {
    const known = this.knownOf(process, now)
    if (known === undefined) return []
    const { mono } = now
    known.said = now
    known.isInDoubt = false
    const news: ReportNews[] = []
    if (isLeaving && !known.isLeaving) news.push('leaving')
    if (pauseMs > 0 && known.pausedUntil <= mono) news.push('paused')
    known.isLeaving ||= isLeaving
    known.pausedUntil = Math.max(known.pausedUntil, mono + Math.min(pauseMs, MOST_PAUSE_MS))
    return news
  }

  /** Milliseconds left of a target's pause; 0 if it accepts requests. */
  pauseMs (id: string, mono: number): number {
    return Math.max(0, (this.known.get(id)?.pausedUntil ?? mono) - mono)
  }

  /** Whether a target reported that it is leaving. */
  isLeaving (id: string): boolean {
    return this.known.get(id)?.isLeaving === true
  }

  /**
   * Handles a register entry: one of a later process clears what an earlier process reported before that start. A report from
   * after that start may be the later process's own and stays, in doubt.
   */
  listed (process: TargetProcess): void {
    const known = this.known.get(process.id)
    if (known === undefined || !isLaterProcess(process, known)) return
    if (isLaterProcess(process, { startedAt: known.said.wall })) {
      this.known.delete(process.id)
      return
    }
    known.startedAt = process.startedAt
    known.isInDoubt = true
  }

  /**
   * Drops reports of unlisted targets and reports in doubt after their retention; to be called several times a second.
   * @returns whether a report of a listed target was dropped
   */
  tick (isListed: (id: string) => boolean, mono: number): boolean {
    let isFreed = false
    for (const [id, known] of this.known) {
      const isKept = isListed(id)
      if (isKept) known.listedAt = mono
      const since = known.isInDoubt ? known.said.mono : known.listedAt
      if (mono - since <= REMEMBERED_MS) continue
      this.known.delete(id)
      isFreed ||= isKept
    }
    return isFreed
  }

  /** The reports of a process, created if missing; undefined if a later process of the target has already responded. */
  private knownOf (process: TargetProcess, now: Instant): Known | undefined {
    const known = this.known.get(process.id)
    if (known !== undefined && isLaterProcess(known, process)) return undefined
    if (known !== undefined && !isLaterProcess(process, known)) return known
    const fresh = { startedAt: process.startedAt, said: now, isInDoubt: false, isLeaving: false, pausedUntil: -Infinity, listedAt: now.mono }
    this.known.set(process.id, fresh)
    return fresh
  }
}
