/**
 * Caches rows that only this holder writes while it runs, as last written. A transaction planned on them needs no read
 * before its write. Its write checks every row by version, so an outdated entry costs a conflict and a read, never a
 * wrong write.
 */
import type { PlanKey, PlanRow, PlanWrite } from '@rosemaryspread/decisions/budget/rowSet.js'

function cacheKey ({ table, key }: PlanKey): string {
  return `${table}\n${key}`
}

/** Cached rows; `null` stands for a row that is known not to exist. */
export class BudgetRowCache {
  private readonly rows = new Map<string, PlanRow | null>()

  /** @param isLocal - whether only this holder writes a row */
  constructor (private readonly isLocal: (key: PlanKey) => boolean) {}

  /** Returns a cached row; undefined when it has to be read. */
  get (key: PlanKey): PlanRow | null | undefined {
    return this.rows.get(cacheKey(key))
  }

  /** Records that a row does not exist, as this holder never wrote it. */
  setAbsent (key: PlanKey): void {
    this.rows.set(cacheKey(key), null)
  }

  /**
   * Caches those of the written rows that only this holder writes.
   * @param version - version that the transaction assigned to them
   * @param updatedAt - milliseconds of the table's clock
   */
  recordWritten (writes: readonly PlanWrite[], version: number, updatedAt: number): void {
    for (const write of writes) {
      if (!this.isLocal(write)) continue
      if (write.value === null) this.rows.delete(cacheKey(write))
      else this.rows.set(cacheKey(write), { ...write, version, updatedAt })
    }
  }

  /** Removes rows from the cache. */
  forget (keys: readonly PlanKey[]): void {
    for (const key of keys) this.rows.delete(cacheKey(key))
  }
}
