/**
 * Runs and sealed request ids, retained for two hours after the end or the seal.
 */
import type { RunRecord } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { EngineRun } from './engineRun.js'

export const RECORD_RETENTION_MS = 7_200_000

/** A record that expires; `at` is the end of the run or the time of the seal. */
interface ExpiringRecord {
  readonly requestId: string
  readonly at: number
}

export class RunRegistry {
  private readonly runs = new Map<string, EngineRun>()
  private readonly seals = new Set<string>()
  /** Oldest first. */
  private ended: ExpiringRecord[] = []

  find (requestId: string): EngineRun | undefined {
    return this.runs.get(requestId)
  }

  isSealed (requestId: string): boolean {
    return this.seals.has(requestId)
  }

  add (run: EngineRun): void {
    this.runs.set(run.req.requestId, run)
  }

  /** Removes a run and its record. */
  drop (run: EngineRun): void {
    this.runs.delete(run.req.requestId)
  }

  /** Refuses later submissions of an id that has no run. */
  seal (requestId: string, now: number): void {
    if (this.seals.has(requestId)) return
    this.seals.add(requestId)
    this.startExpiry(requestId, now)
  }

  /** Starts the retention time of a record. */
  startExpiry (requestId: string, now: number): void {
    this.ended.push({ requestId, at: now })
  }

  /** Removes records whose retention time has passed. */
  expireRecords (now: number): void {
    const firstCurrent = this.ended.findIndex(({ at }) => at > now - RECORD_RETENTION_MS)
    const count = firstCurrent === -1 ? this.ended.length : firstCurrent
    for (const { requestId } of this.ended.slice(0, count)) {
      this.runs.delete(requestId)
      this.seals.delete(requestId)
    }
    if (count > 0) this.ended = this.ended.slice(count)
  }

  /** The record of a run or of a sealed id. */
  record (requestId: string): RunRecord | undefined {
    if (this.seals.has(requestId)) return sealedRecord(requestId)
    return this.runs.get(requestId)?.record
  }

  /** Records of one holder, or of all holders. */
  records (holder?: string): readonly RunRecord[] {
    return [...this.runs.values()].filter(({ req }) => holder === undefined || req.holder === holder).map(run => run.record)
  }
}

function sealedRecord (requestId: string): RunRecord {
  return { requestId, digest: '', holder: '', team: '', budget: '', model: '', state: 'sealed', promptTokens: 0, completionTokens: 0 }
}
