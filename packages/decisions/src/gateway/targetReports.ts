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
const REPORT_RETENTION_MS = 60_000

/** Longest pause that a target may request. */
export const MAX_PAUSE_MS = 3_600_000

/** What a response reports about its target. */
export interface TargetReport {
  readonly isLeaving: boolean
  /** Milliseconds for which this VM should send no further request; absent if no pause was requested. */
  readonly pauseMs?: number
  /** The value as sent, if it could not be parsed. */
  readonly flaw?: string
  /** Refusals for want of room within a second beyond which the target terminates; absent if it does not limit them. */
  readonly refusalLimit?: number
}

/** One process of a target; a restart may reuse the id. */
export interface TargetProcess {
  readonly id: string
  /** Start time in Unix milliseconds; absent if not reported. */
  readonly startedAt?: number
}

/** Reports of one process. */
interface ProcessReport {
  startedAt: number | undefined
  /** Time of the last report. */
  reportedAt: Instant
  /** Set when a later process was listed that may have sent the last report. */
  isInDoubt: boolean
  isLeaving: boolean
  /** Monotonic time at which its pause ends. */
  pausedUntil: number
  lastListedAt: number
}

/** A state that a report changed. */
export type ReportChange = 'leaving' | 'paused'

/** Whether a process of a target started later than another; false if a start time is missing. */
export function isLaterProcess ({ startedAt }: Pick<TargetProcess, 'startedAt'>, other: Pick<TargetProcess, 'startedAt'>): boolean {
  return startedAt !== undefined && other.startedAt !== undefined && startedAt > other.startedAt
}

/** Reports of all targets to this VM. Times are monotonic milliseconds. */
export class TargetReports {
  private readonly reports = new Map<string, ProcessReport>()

  /**
   * Records the report of a process.
   * @returns the states that it changed
   */
  record (process: TargetProcess, { isLeaving, pauseMs = 0 }: TargetReport, now: Instant): readonly ReportChange[] {
    const stored = this.reportOf(process, now)
    if (stored === undefined) return []
    const { mono } = now
    stored.reportedAt = now
    stored.isInDoubt = false
    const changes: ReportChange[] = []
    if (isLeaving && !stored.isLeaving) changes.push('leaving')
    if (pauseMs > 0 && stored.pausedUntil <= mono) changes.push('paused')
    stored.isLeaving ||= isLeaving
    stored.pausedUntil = Math.max(stored.pausedUntil, mono + Math.min(pauseMs, MAX_PAUSE_MS))
    return changes
  }

  /** Milliseconds left of a target's pause; 0 if it accepts requests. */
  pauseMs (id: string, mono: number): number {
    return Math.max(0, (this.reports.get(id)?.pausedUntil ?? mono) - mono)
  }

  /** Whether a target reported that it is leaving. */
  isLeaving (id: string): boolean {
    return this.reports.get(id)?.isLeaving === true
  }

  /**
   * Handles a register entry: one of a later process clears what an earlier process reported before that start. A report from
   * after that start may be the later process's own and stays, in doubt.
   */
  handleListing (process: TargetProcess): void {
    const stored = this.reports.get(process.id)
    if (stored === undefined || !isLaterProcess(process, stored)) return
    if (isLaterProcess(process, { startedAt: stored.reportedAt.wall })) {
      this.reports.delete(process.id)
      return
    }
    stored.startedAt = process.startedAt
    stored.isInDoubt = true
  }

  /**
   * Drops reports of unlisted targets and reports in doubt after their retention; to be called several times a second.
   * @returns whether a report of a listed target was dropped
   */
  tick (isListed: (id: string) => boolean, mono: number): boolean {
    let hasDroppedListed = false
    for (const [id, stored] of this.reports) {
      const isStillListed = isListed(id)
      if (isStillListed) stored.lastListedAt = mono
      const since = stored.isInDoubt ? stored.reportedAt.mono : stored.lastListedAt
      if (mono - since <= REPORT_RETENTION_MS) continue
      this.reports.delete(id)
      hasDroppedListed ||= isStillListed
    }
    return hasDroppedListed
  }

  /** The reports of a process, created if missing; undefined if a later process of the target has already responded. */
  private reportOf (process: TargetProcess, now: Instant): ProcessReport | undefined {
    const stored = this.reports.get(process.id)
    if (stored !== undefined && isLaterProcess(stored, process)) return undefined
    if (stored !== undefined && !isLaterProcess(process, stored)) return stored
    const fresh = { startedAt: process.startedAt, reportedAt: now, isInDoubt: false, isLeaving: false, pausedUntil: -Infinity, lastListedAt: now.mono }
    this.reports.set(process.id, fresh)
    return fresh
  }
}
