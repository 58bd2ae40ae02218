/**
 * Rows of one optimistic transaction: read once, changed in memory, then sent with a check on the
 * version of each row that was read. The shapes equal those of the table service.
 */
import type { z } from 'zod'

/** Names one row. */
export interface PlanKey {
  readonly table: string
  readonly key: string
}

/** Condition on a row; `null` when it must not exist. */
export interface PlanCheck extends PlanKey {
  readonly version: number | null
}

/** New value of a row. */
export interface PlanWrite extends PlanKey {
  readonly value: unknown
}

/** A row as the table service answers it. */
export interface PlanRow extends PlanKey {
  readonly version: number
  readonly value: unknown
  readonly updatedAt: number
}

function nameOf (row: PlanKey): string {
  return `${row.table}\n${row.key}`
}

/** Buffer of one transaction. */
export class RowSet {
  private readonly found = new Map<string, PlanRow | null>()
  private readonly changed = new Map<string, PlanWrite>()

  /**
   * @param keys - rows asked for
   * @param rows - rows in the same order, `null` where there is none
   */
  constructor (private readonly keys: readonly PlanKey[], rows: readonly (PlanRow | null)[]) {
    keys.forEach((key, index) => this.found.set(nameOf(key), rows[index] ?? null))
  }

  /**
   * Value of a row with the changes made so far.
   * @param schema - schema of the row
   * @param table - table name
   * @param key - row key
   */
  get<T> (schema: z.ZodType<T>, table: string, key: string): T | undefined {
    const name = nameOf({ table, key })
    const write = this.changed.get(name)
    const value = write === undefined ? this.found.get(name)?.value : write.value
    return value === undefined || value === null ? undefined : schema.parse(value)
  }

  /**
   * Version of a row as read.
   * @param table - table name
   * @param key - row key
   */
  version (table: string, key: string): number | null {
    return this.found.get(nameOf({ table, key }))?.version ?? null
  }

  /**
   * Changes a row.
   * @param table - table name
   * @param key - row key
   * @param value - new value
   */
  set (table: string, key: string, value: unknown): void {
    this.changed.set(nameOf({ table, key }), { table, key, value })
  }

  /** Checks on every row that was read. */
  checks (): readonly PlanCheck[] {
    return this.keys.map(key => ({ ...key, version: this.version(key.table, key.key) }))
  }

  /** Writes of every row that was changed. */
  writes (): readonly PlanWrite[] {
    return [...this.changed.values()]
  }
}
