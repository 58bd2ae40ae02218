/**
 * Rows of one optimistic transaction: read once, changed in memory, then written with a version check on each row read.
 * The types match those of the table service.
 */
import type { z } from 'zod'

/** Table and key of a row. */
export interface PlanKey {
  readonly table: string
  readonly key: string
}

/** Version check on a row; `null` if it must not exist. */
export interface PlanCheck extends PlanKey {
  readonly version: number | null
}

/** New value of a row; null deletes it. */
export interface PlanWrite extends PlanKey {
  readonly value: unknown
}

/** A row as returned by the table service. */
export interface PlanRow extends PlanKey {
  readonly version: number
  readonly value: unknown
  readonly updatedAt: number
}

function rowId (row: PlanKey): string {
  return `${row.table}\n${row.key}`
}

/** Buffer of one transaction. */
export class RowSet {
  private readonly rows = new Map<string, PlanRow | null>()
  private readonly changes = new Map<string, PlanWrite>()

  /**
   * @param keys - rows read
   * @param rows - rows in the same order, `null` for absent ones
   */
  constructor (private readonly keys: readonly PlanKey[], rows: readonly (PlanRow | null)[]) {
    keys.forEach((key, index) => this.rows.set(rowId(key), rows[index] ?? null))
  }

  /** Value of a row including the changes made so far. */
  get<T> (schema: z.ZodType<T>, table: string, key: string): T | undefined {
    const name = rowId({ table, key })
    const write = this.changes.get(name)
    const value = write === undefined ? this.rows.get(name)?.value : write.value
    return value === undefined || value === null ? undefined : schema.parse(value)
  }

  /** Version of a row as read; `null` if absent. */
  version (table: string, key: string): number | null {
    return this.rows.get(rowId({ table, key }))?.version ?? null
  }

  /** Changes a row; null deletes it. */
  set (table: string, key: string, value: unknown): void {
    this.changes.set(rowId({ table, key }), { table, key, value })
  }

  /** Version checks on all rows read. */
  checks (): readonly PlanCheck[] {
    return this.keys.map(key => ({ ...key, version: this.version(key.table, key.key) }))
  }

  /** Writes of all changed rows. */
  writes (): readonly PlanWrite[] {
    return [...this.changes.values()]
  }
}
