/**
 * Rows of the transactional table in memory: read, scan and transact with version checks. One
 * version number is given to each committed transaction and never again, so a row that was
 * deleted and written anew is told from the old one.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { ReadAnswer, Row, RowCheck, RowKey, ScanAnswer, ScanRequest, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'

/** Most rows that one scan answers. */
export const SCAN_LIMIT = 1000

/** What a committed transaction wrote; deleted rows have the value `null`. */
export type CommitListener = (rows: readonly Row[]) => void

/** The rows of one table with their keys in order. */
class OrderedRows {
  readonly byKey = new Map<string, Row>()
  private readonly keys: string[] = []

  put (row: Row): void {
    if (!this.byKey.has(row.key)) this.keys.splice(this.firstFrom(row.key), 0, row.key)
    this.byKey.set(row.key, row)
  }

  delete (key: string): void {
    if (this.byKey.delete(key)) this.keys.splice(this.firstFrom(key), 1)
  }

  /** Rows whose key begins with `prefix` and comes after `after`, at most `limit` of them. */
  range (prefix: string, after: string | undefined, limit: number): Row[] {
    const rows: Row[] = []
    const from = after !== undefined && after > prefix ? after : prefix
    for (let index = this.firstFrom(from); index < this.keys.length && rows.length < limit; index++) {
      const key = this.keys[index]!
      if (!key.startsWith(prefix)) break
      if (key !== after) rows.push(this.byKey.get(key)!)
    }
    return rows
  }

  /** Index of the first key that is not less than `key`. */
  private firstFrom (key: string): number {
    let low = 0
    let high = this.keys.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.keys[middle]! < key) low = middle + 1
      else high = middle
    }
    return low
  }
}

/** All tables of the service. Rows handed out are shared; callers copy before they change one. */
export class TableState {
  private readonly tables = new Map<string, OrderedRows>()
  private readonly listeners: CommitListener[] = []
  private lastVersion = 0

  /**
   * @param now - the service's clock, in wall milliseconds
   */
  constructor (private readonly now: () => number = Date.now) {}

  /**
   * Rows in the order asked.
   * @param keys - rows wanted
   */
  read (keys: readonly RowKey[]): ReadAnswer {
    return { rows: keys.map(key => this.find(key) ?? null), now: this.now() }
  }

  /**
   * One page of rows by key order.
   * @param req - table, prefix and page
   */
  scan (req: ScanRequest): ScanAnswer {
    const limit = Math.min(Math.max(req.limit, 1), SCAN_LIMIT)
    const found = this.tables.get(req.table)?.range(req.prefix, req.after, limit + 1) ?? []
    const rows = found.slice(0, limit)
    const next = found.length > limit ? { next: rows[limit - 1]!.key } : {}
    return { rows, ...next, now: this.now() }
  }

  /**
   * Carries out a transaction, or answers the checks that failed and writes nothing.
   * @param tx - checks and writes
   */
  transact (tx: Transaction): Either<readonly RowKey[], TransactAnswer> {
    const conflicts = tx.checks.filter(check => !this.holds(check))
    if (conflicts.length > 0) return Left(conflicts.map(({ table, key }) => ({ table, key })))
    const now = this.now()
    const version = ++this.lastVersion
    const rows = tx.writes.map(({ table, key, value }): Row => ({ table, key, version, value: value ?? null, updatedAt: now }))
    for (const row of rows) this.store(row)
    for (const listener of this.listeners) listener(rows)
    return Right({ version, now })
  }

  /**
   * Registers for committed writes, in commit order.
   * @param listener - called in the same turn as the commit
   */
  onCommit (listener: CommitListener): void {
    this.listeners.push(listener)
  }

  /**
   * All rows of a table by key order.
   * @param table - name of the table
   */
  all (table: string): readonly Row[] {
    return this.tables.get(table)?.range('', undefined, Infinity) ?? []
  }

  /** Names and sizes of all tables. */
  sizes (): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.tables].map(([table, rows]) => [table, rows.byKey.size]))
  }

  private find (key: RowKey): Row | undefined {
    return this.tables.get(key.table)?.byKey.get(key.key)
  }

  private holds (check: RowCheck): boolean {
    return (this.find(check)?.version ?? null) === check.version
  }

  private store (row: Row): void {
    const rows = this.tables.get(row.table) ?? new OrderedRows()
    this.tables.set(row.table, rows)
    if (row.value === null) rows.delete(row.key)
    else rows.put(row)
  }
}
