/**
 * Rows that this holder alone writes while it lives, as it last wrote them. A transaction planned on
 * them needs no read before its write. Every row of a transaction is checked by its version, so an
 * outdated one costs a conflict and a read, never a wrong write.
 */
import type { PlanKey, PlanRow, PlanWrite } from '@rosemaryspread/decisions/budget/rowSet.js'

function nameOf ({ table, key }: PlanKey): string {
  return `${table}\n${key}`
}

/** Known rows; `null` stands for a row that is known not to exist. */
export class BudgetRowCache {
  private readonly rows = new Map<string, PlanRow | null>()

  /** @param isOwn - whether a row is written by this holder alone */
  constructor (private readonly isOwn: (key: PlanKey) => boolean) {}

  /**
   * A row as far as it is known; undefined when it has to be read.
   * @param key - the row
   */
  get (key: PlanKey): PlanRow | null | undefined {
    return this.rows.get(nameOf(key))
  }

  /**
   * Notes that a row does not exist: this holder never wrote it.
   * @param key - the row
   */
  absent (key: PlanKey): void {
    this.rows.set(nameOf(key), null)
  }

  /**
   * Keeps the own ones of rows that were written.
   * @param writes - the rows
   * @param version - version that the transaction gave them
   * @param updatedAt - milliseconds of the table's clock
   */
  written (writes: readonly PlanWrite[], version: number, updatedAt: number): void {
    for (const write of writes) {
      if (!this.isOwn(write)) continue
      if (write.value === null) this.rows.delete(nameOf(write))
      else this.rows.set(nameOf(write), { ...write, version, updatedAt })
    }
  }

  /**
   * Forgets rows.
   * @param keys - the rows
   */
  forget (keys: readonly PlanKey[]): void {
    for (const key of keys) this.rows.delete(nameOf(key))
  }
}
