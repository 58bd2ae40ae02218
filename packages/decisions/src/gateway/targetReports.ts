/**
 * What targets said of themselves in their answers, kept by process. The register may say so later, or
 * never while its store is out of reach, and a heartbeat written before goes on to say that the target
 * serves. So only a later process of the target, or its absence for long, takes back that it is leaving.
 */

/** Milliseconds for which a target that is not listed any more is remembered; those that live are listed again within seconds. */
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
  readonly startedAt: number | undefined
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
   * @param mono - present time
   * @returns what was not known before
   */
  take (process: TargetProcess, { isLeaving, pauseMs = 0 }: TargetReport, mono: number): readonly ReportNews[] {
    const known = this.of(process, mono)
    if (known === undefined) return []
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
   * Takes the entry of a process in the register: one of a later process ends what an earlier one said.
   * @param process - the process
   */
  listed (process: TargetProcess): void {
    const known = this.known.get(process.id)
    if (known !== undefined && isLaterProcess(process, known)) this.known.delete(process.id)
  }

  /**
   * Forgets targets that are not listed any more; to be called several times a second.
   * @param isListed - whether a target is listed
   * @param mono - present time
   */
  tick (isListed: (id: string) => boolean, mono: number): void {
    for (const [id, known] of this.known) {
      if (isListed(id)) known.listedAt = mono
      else if (mono - known.listedAt > REMEMBERED_MS) this.known.delete(id)
    }
  }

  /** Undefined for a process whose successor has answered. */
  private of (process: TargetProcess, mono: number): Known | undefined {
    const known = this.known.get(process.id)
    if (known !== undefined && isLaterProcess(known, process)) return undefined
    if (known !== undefined && !isLaterProcess(process, known)) return known
    const fresh = { startedAt: process.startedAt, isLeaving: false, pausedUntil: -Infinity, listedAt: mono }
    this.known.set(process.id, fresh)
    return fresh
  }
}
