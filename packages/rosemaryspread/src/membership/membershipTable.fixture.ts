/**
 * In-memory table service for specs: row checks, versions, its own clock, and injected faults.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ReadAnswer, Row, RowCheck, RowKey, RowWrite, ScanAnswer, ScanRequest, TableStore, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'

export class FixtureTable implements TableStore {
  now = 5_000_000
  down = false
  /** Number of next writes that take effect but whose responses are lost. */
  loseAnswers = 0
  private version = 0
  private readonly rows = new Map<string, Row>()

  async read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>> {
    return this.whenUp(() => ({ rows: keys.map(key => this.find(key)), now: this.now }))
  }

  async scan ({ table, prefix }: ScanRequest): Promise<Either<Failure, ScanAnswer>> {
    const rows = [...this.rows.values()].filter(row => row.table === table && row.key.startsWith(prefix))
    return this.whenUp(() => ({ rows, now: this.now }))
  }

  async transact ({ checks, writes }: Transaction): Promise<Either<Failure, TransactAnswer>> {
    if (this.down) return Left(new Failure('platformUnavailable', 'down', { ran: 'no' }))
    if (!checks.every(check => this.holds(check))) return Left(new Failure('platformConflict', 'conflict', { ran: 'no' }))
    this.version += 1
    for (const write of writes) this.put(write)
    if (this.loseAnswers === 0) return Right({ version: this.version, now: this.now })
    this.loseAnswers -= 1
    return Left(new Failure('platformOutcomeUnknown', 'lost', { ran: 'unknown' }))
  }

  find ({ table, key }: RowKey): Row | null {
    return this.rows.get(`${table}/${key}`) ?? null
  }

  private whenUp<T> (answer: () => T): Either<Failure, T> {
    return this.down ? Left(new Failure('platformUnavailable', 'down', { ran: 'no' })) : Right(answer())
  }

  private holds (check: RowCheck): boolean {
    return (this.find(check)?.version ?? null) === check.version
  }

  private put ({ table, key, value }: RowWrite): void {
    this.rows.set(`${table}/${key}`, { table, key, value: structuredClone(value), version: this.version, updatedAt: this.now })
  }
}
