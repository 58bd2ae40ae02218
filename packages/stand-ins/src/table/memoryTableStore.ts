/**
 * An in-process table store with fault injection. Several stores may share one {@link TableState}: each is the table
 * as one VM reaches it, with its own faults.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { transactionSchema, type ReadAnswer, type RowKey, type ScanAnswer, type ScanRequest, type TableStore, type TransactAnswer, type Transaction } from '@rosemaryspread/infra/table/tableTypes.js'
import { TableState } from './tableState.js'

export type TableOperation = 'read' | 'scan' | 'transact'

export class MemoryTableStore implements TableStore {
  /** While true, every call fails with `platformUnavailable` and has no effect. */
  outage = false
  /** Number of upcoming transactions that take effect but whose answer is lost. */
  loseAnswers = 0
  /** Number of upcoming transactions that are lost without effect; the outcome is unknown to the caller. */
  loseRequests = 0
  /** Awaited before each call takes effect; lets a test delay or order calls. */
  beforeCall: (operation: TableOperation) => Promise<void> = async () => {}
  /** Number of calls, including failed ones. */
  readonly calls: Record<TableOperation, number> = { read: 0, scan: 0, transact: 0 }

  /** @param state - shared by the stores of a test with several VMs */
  constructor (readonly state: TableState = new TableState()) {}

  async read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>> {
    return await this.call('read', () => Right(this.state.read(keys)))
  }

  async scan (req: ScanRequest): Promise<Either<Failure, ScanAnswer>> {
    return await this.call('scan', () => Right(this.state.scan(req)))
  }

  async transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>> {
    const sent = structuredClone(tx)
    return await this.call('transact', () => this.commit(sent))
  }

  private async call<T> (operation: TableOperation, effect: () => Either<Failure, T>): Promise<Either<Failure, T>> {
    this.calls[operation]++
    await this.beforeCall(operation)
    if (this.outage) return Left(new Failure('platformUnavailable', 'simulated outage of the table', { ran: 'no' }))
    return cloneOutcome(effect())
  }

  private commit (tx: Transaction): Either<Failure, TransactAnswer> {
    const checked = transactionSchema.safeParse(tx)
    if (!checked.success) return Left(new Failure('badRequest', checked.error.message, { ran: 'no' }))
    if (consumeFault(this, 'loseRequests')) return Left(outcomeUnknown())
    const outcome = this.state.transact(tx)
    if (outcome.isRight() && consumeFault(this, 'loseAnswers')) return Left(outcomeUnknown())
    return outcome.mapLeft(conflicts => new Failure('platformConflict', conflicts.map(({ table, key }) => `${table}/${key}`).join(', '), { ran: 'no' }))
  }
}

/** Decrements the counter of a fault; returns whether the fault applies now. */
function consumeFault (store: MemoryTableStore, name: 'loseAnswers' | 'loseRequests'): boolean {
  if (store[name] <= 0) return false
  store[name]--
  return true
}

function outcomeUnknown (): Failure {
  return new Failure('platformOutcomeUnknown', 'the answer of the transaction was lost', { ran: 'unknown' })
}

function cloneOutcome<T> (outcome: Either<Failure, T>): Either<Failure, T> {
  return outcome.map(answer => structuredClone(answer))
}
