/**
 * Retries a transaction until its outcome is known. The caller names the rows to read, builds the
 * transaction from them and detects from them whether it was applied, usually by a marker row that
 * the transaction inserts.
 *
 * After a lost response the rows are read back first. Without the marker, the transaction may still
 * be in flight; it is rebuilt from the current rows. All copies check and write a common row, so at
 * most one can be applied. When the attempts are used up, "nothing was written" is reported only if
 * no earlier copy can still be applied, i.e. each one checks a row whose version has changed.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ReadAnswer, Row, RowKey, TableStore, Transaction } from './tableTypes.js'

const BACKOFF_FACTOR = 2

export interface TransactionBuilder {
  /** Rows to read before each attempt: all checked rows and the marker. */
  readonly keys: readonly RowKey[]
  /**
   * Builds the transaction. At least one row must be both checked and written.
   * @param read - rows in the order of `keys`, and the service's clock
   */
  build (read: ReadAnswer): Either<Failure, Transaction>
}

/** Detects from the rows, in the order of `keys`, whether the transaction was applied. */
export type WasApplied = (rows: readonly (Row | null)[]) => boolean

export interface TransactLimits {
  /** Maximum number of transactions sent. */
  readonly attempts: number
  /** Backoff before the second attempt; doubled before each further one. */
  readonly pauseMs: number
  readonly maxPauseMs: number
  readonly pause: (ms: number) => Promise<void>
  /** Random numbers in [0, 1) for backoff jitter; no jitter without it. */
  readonly random?: () => number
}

/** A transaction that is known to be applied. */
export interface AppliedTransaction {
  /** `answered`: confirmed by the service; `readBack`: detected after an attempt; `before`: applied before the first attempt. */
  readonly detectedBy: 'answered' | 'readBack' | 'before'
  /** When `answered`, the rows from which the transaction was built, else the rows that show that it was applied. */
  readonly read: ReadAnswer
  /** The transaction sent, when `answered`. */
  readonly tx?: Transaction
}

function isSameRow (one: RowKey, other: RowKey): boolean {
  return one.table === other.table && one.key === other.key
}

function writesCheckedRow (tx: Transaction): boolean {
  return tx.checks.some(check => tx.writes.some(write => isSameRow(check, write)))
}

function mayStillApply (tx: Transaction, keys: readonly RowKey[], rows: readonly (Row | null)[]): boolean {
  return tx.checks.every(check => {
    const index = keys.findIndex(key => isSameRow(key, check))
    return index < 0 || check.version === (rows[index]?.version ?? null)
  })
}

/** One run of {@link transactUntilKnown}. */
class TransactionRun {
  /** Attempts without a response that may still be applied. */
  private unresolved: Transaction[] = []
  private sent = 0

  constructor (
    private readonly store: TableStore,
    private readonly builder: TransactionBuilder,
    private readonly wasApplied: WasApplied,
    private readonly limits: TransactLimits
  ) {}

  async run (): Promise<Either<Failure, AppliedTransaction>> {
    let lastFailure = new Failure('platformUnavailable', 'the limit allows no attempt', { ran: 'no' })
    for (let round = 0; round <= this.limits.attempts; round++) {
      if (round > 0) await this.limits.pause(this.pauseMs(round))
      const mayWrite = round < this.limits.attempts
      const result = await this.round(mayWrite)
      if (result.isRight()) return result
      lastFailure = result.extract() as Failure
      const isRetryable = lastFailure.code === 'platformConflict' ? mayWrite : this.unresolved.length > 0
      if (!isRetryable) break
    }
    return Left(this.toFinalFailure(lastFailure))
  }

  private async round (mayWrite: boolean): Promise<Either<Failure, AppliedTransaction>> {
    const answer = await this.store.read(this.builder.keys)
    if (answer.isLeft()) return Left(answer.extract() as Failure)
    const read = answer.unsafeCoerce()
    if (this.wasApplied(read.rows)) return Right({ detectedBy: this.sent > 0 ? 'readBack' : 'before', read })
    this.unresolved = this.unresolved.filter(tx => mayStillApply(tx, this.builder.keys, read.rows))
    if (!mayWrite) return Left(new Failure('platformConflict', 'all attempts are used up', { ran: 'no' }))
    return await this.attempt(read)
  }

  private async attempt (read: ReadAnswer): Promise<Either<Failure, AppliedTransaction>> {
    const built = this.builder.build(read)
    if (built.isLeft()) return Left(built.extract() as Failure)
    const tx = built.unsafeCoerce()
    if (!writesCheckedRow(tx)) return Left(new Failure('internal', 'a transaction must check a row that it writes', { ran: 'no' }))
    this.sent++
    const answer = await this.store.transact(tx)
    if (answer.isRight()) return Right({ detectedBy: 'answered', read, tx })
    const failure = answer.extract() as Failure
    if (failure.code === 'platformOutcomeUnknown') this.unresolved.push(tx)
    return Left(failure)
  }

  private toFinalFailure (failure: Failure): Failure {
    if (this.unresolved.length === 0) return failure
    return new Failure('platformOutcomeUnknown', `an attempt without a response may still take effect; last failure: ${failure.message}`, { ran: 'unknown' })
  }

  private pauseMs (round: number): number {
    const maxBackoffMs = Math.min(this.limits.pauseMs * BACKOFF_FACTOR ** (round - 1), this.limits.maxPauseMs)
    const jitter = this.limits.random?.() ?? 0
    return maxBackoffMs * (1 - jitter / 2)
  }
}

/**
 * Reads, builds and sends the transaction until its outcome is known or the attempts are used up.
 * Failures: those of `build`; `platformConflict` and `platformUnavailable` if nothing was or will
 * be written; `platformOutcomeUnknown` if an attempt may have been applied or still may be.
 */
export async function transactUntilKnown (
  store: TableStore, builder: TransactionBuilder, wasApplied: WasApplied, limits: TransactLimits
): Promise<Either<Failure, AppliedTransaction>> {
  return await new TransactionRun(store, builder, wasApplied, limits).run()
}
