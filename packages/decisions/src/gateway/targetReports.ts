/**
 * What targets said of themselves in their answers, kept by process. The register may say so later, or
 * never while its store is out of reach, and a heartbeat written before goes on to say that the target
 * serves. So only a later process of the target, or its absence for long, takes back that it is leaving.
 */
import type { TargetReport } from './targetReport.js'

/** Milliseconds for which a target that is not listed any more is remembered; those that live are listed again within seconds. */
const REMEMBERED_MS = 60_000

/** A process of a target. */
export interface TargetProcess {
  readonly id: string
  /** Unix milliseconds of its start; absent where it is not told. */
  readonly startedAt?: number
}

interface Known {
  readonly startedAt: number | undefined
  isLeaving: boolean
  listedAt: number
}

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
   * @returns whether it is news that the target is leaving
   */
  take (process: TargetProcess, { isLeaving }: TargetReport, mono: number): boolean {
    const known = this.of(process, mono)
    if (!isLeaving || known.isLeaving) return false
    known.isLeaving = true
    return true
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

  private of (process: TargetProcess, mono: number): Known {
    const known = this.known.get(process.id)
    if (known !== undefined && !isLaterProcess(process, known)) return known
    const fresh = { startedAt: process.startedAt, isLeaving: false, listedAt: mono }
    this.known.set(process.id, fresh)
    return fresh
  }
}
