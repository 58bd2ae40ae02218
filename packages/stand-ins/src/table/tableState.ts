/**
 * Rows of the transactional table in memory: read, scan, and transact with version checks. Each committed transaction
 * gets a new version number, never reused, so that a row deleted and recreated differs from the old one.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { ReadAnswer, Row, RowCheck, RowKey, ScanAnswer, ScanRequest, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'

export const MAX_SCAN_ROWS = 1000

/** Receives the rows of a committed transaction; deleted rows have the value `null`. */
export type CommitListener = (rows: readonly Row[]) => void

/** The rows of one table, with sorted keys. */
class OrderedRows {
  readonly byKey = new Map<string, Row>()
  private readonly keys: string[] = []

  put (row: Row): void {
    if (!this.byKey.has(row.key)) this.keys.splice(this.lowerBound(row.key), 0, row.key)
    this.byKey.set(row.key, row)
  }

  delete (key: string): void {
    if (this.byKey.delete(key)) this.keys.splice(this.lowerBound(key), 1)
  }

  /** At most `limit` rows whose key starts with `prefix` and is greater than `after`. */
  range (prefix: string, after: string | undefined, limit: number): Row[] {
    const rows: Row[] = []
    const from = after !== undefined && after > prefix ? after : prefix
    for (let index = this.lowerBound(from); index < this.keys.length && rows.length < limit; index++) {
      const key = this.keys[index]!
      if (!key.startsWith(prefix)) break
      if (key !== after) rows.push(this.byKey.get(key)!)
    }
    return rows
  }

  /** Index of the first key that is not less than `key`. */
  private lowerBound (key: string): number {
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

/** All tables of the service. Returned rows are shared; callers copy a row before they change it. */
export class TableState {
  private readonly tables = new Map<string, OrderedRows>()
  private readonly listeners: CommitListener[] = []
  private lastVersion = 0

  /** @param now - clock of the service, in wall-clock milliseconds */
  constructor (private readonly now: () => number = Date.now) {}

  /** Rows in the order of `keys`. */
  read (keys: readonly RowKey[]): ReadAnswer {
    return { rows: keys.map(key => this.find(key) ?? null), now: this.now() }
  }

  /** One page of rows in key order. */
  scan (req: ScanRequest): ScanAnswer {
    const limit = Math.min(Math.max(req.limit, 1), MAX_SCAN_ROWS)
    const found = this.tables.get(req.table)?.range(req.prefix, req.after, limit + 1) ?? []
    const rows = found.slice(0, limit)
    const next = found.length > limit ? { next: rows[limit - 1]!.key } : {}
    return { rows, ...next, now: this.now() }
  }

  /** Commits a transaction, or returns the keys whose checks failed and writes nothing. */
  transact (tx: Transaction): Either<readonly RowKey[], TransactAnswer> {
    const conflicts = tx.checks.filter(check => !this.isSatisfied(check))
    if (conflicts.length > 0) return Left(conflicts.map(({ table, key }) => ({ table, key })))
    const now = this.now()
    const version = ++this.lastVersion
    const rows = tx.writes.map(({ table, key, value }): Row => ({ table, key, version, value: value ?? null, updatedAt: now }))
    for (const row of rows) this.store(row)
    for (const listener of this.listeners) listener(rows)
    return Right({ version, now })
  }

  /**
   * Registers a listener for commits.
   * @param listener - called in commit order, synchronously with the commit
   */
  onCommit (listener: CommitListener): void {
    this.listeners.push(listener)
  }

  /** All rows of a table in key order. */
  all (table: string): readonly Row[] {
    return this.tables.get(table)?.range('', undefined, Infinity) ?? []
  }

  /** Number of rows of each table. */
  rowCounts (): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.tables].map(([table, rows]) => [table, rows.byKey.size]))
  }

  private find (key: RowKey): Row | undefined {
    return this.tables.get(key.table)?.byKey.get(key.key)
  }

  private isSatisfied (check: RowCheck): boolean {
    return (this.find(check)?.version ?? null) === check.version
  }

  private store (row: Row): void {
    const rows = this.tables.get(row.table) ?? new OrderedRows()
    this.tables.set(row.table, rows)
    if (row.value === null) rows.delete(row.key)
    else rows.put(row)
  }
}
