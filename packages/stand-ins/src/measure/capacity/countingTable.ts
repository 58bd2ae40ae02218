/**
 * Table store wrapper that counts calls, rows and bytes of the JSON bodies.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ReadAnswer, RowKey, ScanAnswer, ScanRequest, TableStore, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'

/** Totals since the last reset. */
export interface TableCounts {
  /** Number of reads and scans. */
  reads: number
  rowsRead: number
  /** Number of transactions, including those that conflicted. */
  writes: number
  rowsWritten: number
  /** Bytes of JSON in both directions. */
  bytes: number
}

/** Counts the calls of the wrapped store. */
export class CountingTable implements TableStore {
  counts: TableCounts = { reads: 0, rowsRead: 0, writes: 0, rowsWritten: 0, bytes: 0 }

  constructor (private readonly store: TableStore) {}

  /** Sets all counts to zero. */
  reset (): void {
    this.counts = { reads: 0, rowsRead: 0, writes: 0, rowsWritten: 0, bytes: 0 }
  }

  async read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>> {
    this.counts.reads++
    this.counts.rowsRead += keys.length
    return this.countBytes({ keys }, await this.store.read(keys))
  }

  async scan (req: ScanRequest): Promise<Either<Failure, ScanAnswer>> {
    const answer = this.countBytes(req, await this.store.scan(req))
    this.counts.reads++
    this.counts.rowsRead += answer.map(({ rows }) => rows.length).orDefault(0)
    return answer
  }

  async transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>> {
    this.counts.writes++
    this.counts.rowsWritten += tx.writes.length
    return this.countBytes(tx, await this.store.transact(tx))
  }

  private countBytes<T> (sent: unknown, answer: Either<Failure, T>): Either<Failure, T> {
    this.counts.bytes += JSON.stringify(sent).length + JSON.stringify(answer.extract()).length
    return answer
  }
}
