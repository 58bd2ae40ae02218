/**
 * A table that counts what goes through it: calls, rows and bytes of the JSON texts.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ReadAnswer, RowKey, ScanAnswer, ScanRequest, TableStore, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'

/** Counts of a table. */
export interface TableCounts {
  /** Reads and scans. */
  reads: number
  rowsRead: number
  /** Transactions, also those that conflicted. */
  writes: number
  rowsWritten: number
  /** Bytes of the JSON texts both ways. */
  bytes: number
}

/** Counts calls of a store. */
export class CountingTable implements TableStore {
  counts: TableCounts = { reads: 0, rowsRead: 0, writes: 0, rowsWritten: 0, bytes: 0 }

  constructor (private readonly inner: TableStore) {}

  /** Starts to count anew. */
  reset (): void {
    this.counts = { reads: 0, rowsRead: 0, writes: 0, rowsWritten: 0, bytes: 0 }
  }

  async read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>> {
    this.counts.reads++
    this.counts.rowsRead += keys.length
    return this.weigh({ keys }, await this.inner.read(keys))
  }

  async scan (req: ScanRequest): Promise<Either<Failure, ScanAnswer>> {
    const answer = this.weigh(req, await this.inner.scan(req))
    this.counts.reads++
    this.counts.rowsRead += answer.map(({ rows }) => rows.length).orDefault(0)
    return answer
  }

  async transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>> {
    this.counts.writes++
    this.counts.rowsWritten += tx.writes.length
    return this.weigh(tx, await this.inner.transact(tx))
  }

  private weigh<T> (sent: unknown, answer: Either<Failure, T>): Either<Failure, T> {
    this.counts.bytes += JSON.stringify(sent).length + JSON.stringify(answer.extract()).length
    return answer
  }
}
