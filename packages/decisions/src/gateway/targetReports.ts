/**
 * What targets said of themselves in their answers, kept by process. The register may say so later, or
 * never while its store is out of reach, and a heartbeat written before goes on to say that the target
 * serves. So only a later process of the target, or its absence for long, takes back that it is leaving.
 *
 * An answer does not say which process gave it. Where one began again under its id and the register does not
 * say so yet, the answer is taken for one of the process before, until the later one is listed.
 */
import type { Instant } from '../clock/clockTypes.js'

/**
 * Milliseconds for which a report is remembered whose target is not listed any more, or whose process is in doubt. Targets
 * that live are listed again within seconds, and those that leave are gone.
 */
const REMEMBERED_MS = 60_000

/** Longest time without requests that is kept to, in milliseconds. */
export const MOST_PAUSE_MS = 3_600_000

/** What one answer says of its target, besides answering. */
export interface TargetReport {
  readonly isLeaving: boolean
  /** Milliseconds for which the target wants no further request of this VM; absent where it names no time. */
  readonly pauseMs?: number
  /** The time as sent, where it cannot be read. */
  readonly flaw?: string
}

/** A process of a target. */
export interface TargetProcess {
  readonly id: string
  /** Unix milliseconds of its start; absent where it is not told. */
  readonly startedAt?: number
}

/** What is known of one process. */
interface Known {
  startedAt: number | undefined
  /** When it last said something: monotonic and Unix milliseconds. */
  said: Instant
  /** Set when a later process was listed that may have said it. */
  isInDoubt: boolean
  isLeaving: boolean
  /** Until when it wants no request. */
  pausedUntil: number
  listedAt: number
}

/** News in an answer. */
export type ReportNews = 'leaving' | 'paused'

/**
 * Whether a process of a target is a later one than another.
 * @param process - the process
 * @param than - the other one
 */
export function isLaterProcess ({ startedAt }: Pick<TargetProcess, 'startedAt'>, than: Pick<TargetProcess, 'startedAt'>): boolean {
  return startedAt !== undefined && than.startedAt !== undefined && startedAt > than.startedAt
}

/** Reports of all targets to one VM. Times are monotonic milliseconds. */
export class TargetReports {
  private readonly known = new Map<string, Known>()

  /**
   * Takes what a process said with an answer.
   * @param process - the process that answered
   * @param report - what it said
   * @param now - present time
   * @returns what was not known before
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

  /**
   * Milliseconds for which a target wants no request; 0 when it takes one.
   * @param id - id of the target
   * @param mono - present time
   */
  pauseMs (id: string, mono: number): number {
    return Math.max(0, (this.known.get(id)?.pausedUntil ?? mono) - mono)
  }

  /**
   * Whether a target said that it is leaving.
   * @param id - id of the target
   */
  isLeaving (id: string): boolean {
    return this.known.get(id)?.isLeaving === true
  }

  /**
   * Takes the entry of a process in the register: one of a later process ends what an earlier one said before it began.
   * @param process - the process
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
   * Forgets targets that are not listed any more, and reports in doubt; to be called several times a second.
   * @param isListed - whether a target is listed
   * @param mono - present time
   * @returns whether a target that is listed was forgotten
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

  /** Undefined for a process whose successor has answered. */
  private knownOf (process: TargetProcess, now: Instant): Known | undefined {
    const known = this.known.get(process.id)
    if (known !== undefined && isLaterProcess(known, process)) return undefined
    if (known !== undefined && !isLaterProcess(process, known)) return known
    const fresh = { startedAt: process.startedAt, said: now, isInDoubt: false, isLeaving: false, pausedUntil: -Infinity, listedAt: now.mono }
    this.known.set(process.id, fresh)
    return fresh
  }
}
