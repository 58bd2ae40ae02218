/**
 * Runs by request id, with the marks that seal ids, kept for two hours after their end.
 */
import type { RunRecord } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { EngineRun } from './engineRun.js'

/** How long a record is kept after the end of its run, in milliseconds. */
export const RECORD_KEPT_MS = 7_200_000

/** An id whose record ages. */
interface Ended {
  readonly requestId: string
  readonly at: number
}

/** All runs that the engine knows. */
export class RunRegistry {
  private readonly runs = new Map<string, EngineRun>()
  private readonly seals = new Set<string>()
  /** Oldest first. */
  private ended: Ended[] = []

  find (requestId: string): EngineRun | undefined {
    return this.runs.get(requestId)
  }

  isSealed (requestId: string): boolean {
    return this.seals.has(requestId)
  }

  add (run: EngineRun): void {
    this.runs.set(run.req.requestId, run)
  }

  /** Drops a run as if it had never been. */
  drop (run: EngineRun): void {
    this.runs.delete(run.req.requestId)
  }

  /**
   * Marks an id so that it cannot be submitted any more.
   * @param requestId - an id without a run
   * @param now - wall milliseconds
   */
  seal (requestId: string, now: number): void {
    if (this.seals.has(requestId)) return
    this.seals.add(requestId)
    this.noteEnd(requestId, now)
  }

  /**
   * Starts the time after which a record is forgotten.
   * @param requestId - id whose run ended
   * @param now - wall milliseconds
   */
  noteEnd (requestId: string, now: number): void {
    this.ended.push({ requestId, at: now })
  }

  /**
   * Forgets records whose time is over.
   * @param now - wall milliseconds
   */
  forget (now: number): void {
    const old = this.ended.findIndex(({ at }) => at > now - RECORD_KEPT_MS)
    const count = old === -1 ? this.ended.length : old
    for (const { requestId } of this.ended.slice(0, count)) {
      this.runs.delete(requestId)
      this.seals.delete(requestId)
    }
    if (count > 0) this.ended = this.ended.slice(count)
  }

  /**
   * The record of an id.
   * @param requestId - the id
   */
  record (requestId: string): RunRecord | undefined {
    if (this.seals.has(requestId)) return sealedRecord(requestId)
    return this.runs.get(requestId)?.record
  }

  /**
   * Records of one holder, or of all.
   * @param holder - holder id
   */
  records (holder?: string): readonly RunRecord[] {
    return [...this.runs.values()].filter(({ req }) => holder === undefined || req.holder === holder).map(run => run.record)
  }
}

function sealedRecord (requestId: string): RunRecord {
  return { requestId, digest: '', holder: '', team: '', budget: '', model: '', state: 'sealed', promptTokens: 0, completionTokens: 0 }
}
