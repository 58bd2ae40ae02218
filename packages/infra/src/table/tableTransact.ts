/**
 * Runs a transaction until its outcome is known. The caller names the rows, builds the
 * transaction from them and can tell from them whether it took effect, usually by a marker row
 * that the transaction inserts.
 *
 * After a lost answer the rows are read back before anything else. If the marker is there, the
 * transaction was applied. If not, it may still be under way; it is built again from fresh rows,
 * and because both copies check and write a common row, at most one of them can take effect.
 * When the attempts run out, "nothing was written" is said only if no earlier copy can still
 * land, that is if every copy checks a row that has moved on.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ReadAnswer, Row, RowKey, TableStore, Transaction } from './tableTypes.js'

const BACKOFF_FACTOR = 2

/** How the transaction is made. */
export interface TransactBuild {
  /** The rows that are read before each attempt: all that are checked, and the marker. */
  readonly keys: readonly RowKey[]
  /**
   * Makes the transaction. At least one row has to be both checked and written.
   * @param read - the rows in the order of `keys`, and the service's clock
   */
  build (read: ReadAnswer): Either<Failure, Transaction>
}

/** Tells from the rows of `keys`, in their order, whether the transaction took effect. */
export type WasApplied = (rows: readonly (Row | null)[]) => boolean

/** Bounds and waiting. */
export interface TransactLimits {
  /** Most transactions sent. */
  readonly attempts: number
  /** Milliseconds before the second attempt; doubled before each further one. */
  readonly pauseMs: number
  readonly maxPauseMs: number
  /** Waits; bound to a timer by the daemon. */
  readonly pause: (ms: number) => Promise<void>
  /** Numbers in [0, 1) that spread the pauses; without it they are not spread. */
  readonly random?: () => number
}

/** A transaction that is known to have taken effect. */
export interface TransactSettled {
  /** `answered` by the service, `readBack` after an attempt, or `before` the first attempt. */
  readonly how: 'answered' | 'readBack' | 'before'
  /** The rows from which it was built when `answered`, else the rows that show it. */
  readonly read: ReadAnswer
  /** What was sent, when `answered`. */
  readonly tx?: Transaction
}

function sameRow (one: RowKey, other: RowKey): boolean {
  return one.table === other.table && one.key === other.key
}

function isGuarded (tx: Transaction): boolean {
  return tx.checks.some(check => tx.writes.some(write => sameRow(check, write)))
}

function canStillLand (tx: Transaction, keys: readonly RowKey[], rows: readonly (Row | null)[]): boolean {
  return tx.checks.every(check => {
    const index = keys.findIndex(key => sameRow(key, check))
    return index < 0 || check.version === (rows[index]?.version ?? null)
  })
}

/** One run of {@link transactUntilKnown}. */
class TransactRun {
  /** Attempts without an answer that may still take effect. */
  private underWay: Transaction[] = []
  private sent = 0

  constructor (
    private readonly store: TableStore,
    private readonly make: TransactBuild,
    private readonly wasApplied: WasApplied,
    private readonly limits: TransactLimits
  ) {}

  async run (): Promise<Either<Failure, TransactSettled>> {
    let last = new Failure('platformUnavailable', 'no attempt was allowed')
    for (let round = 0; round <= this.limits.attempts; round++) {
      if (round > 0) await this.limits.pause(this.pauseMs(round))
      const mayWrite = round < this.limits.attempts
      const result = await this.round(mayWrite)
      if (result.isRight()) return result
      last = result.extract() as Failure
      const goesOn = last.code === 'platformConflict' ? mayWrite : this.underWay.length > 0
      if (!goesOn) break
    }
    return Left(this.conclude(last))
  }

  private async round (mayWrite: boolean): Promise<Either<Failure, TransactSettled>> {
    const answer = await this.store.read(this.make.keys)
    if (answer.isLeft()) return Left(answer.extract() as Failure)
    const read = answer.unsafeCoerce()
    if (this.wasApplied(read.rows)) return Right({ how: this.sent > 0 ? 'readBack' : 'before', read })
    this.underWay = this.underWay.filter(tx => canStillLand(tx, this.make.keys, read.rows))
    if (!mayWrite) return Left(new Failure('platformConflict', 'all attempts are used up'))
    return await this.attempt(read)
  }

  private async attempt (read: ReadAnswer): Promise<Either<Failure, TransactSettled>> {
    const built = this.make.build(read)
    if (built.isLeft()) return Left(built.extract() as Failure)
    const tx = built.unsafeCoerce()
    if (!isGuarded(tx)) return Left(new Failure('internal', 'a transaction must check a row that it writes'))
    this.sent++
    const answer = await this.store.transact(tx)
    if (answer.isRight()) return Right({ how: 'answered', read, tx })
    const failure = answer.extract() as Failure
    if (failure.code === 'platformOutcomeUnknown') this.underWay.push(tx)
    return Left(failure)
  }

  private conclude (failure: Failure): Failure {
    if (this.underWay.length === 0) return failure
    return new Failure('platformOutcomeUnknown', `an attempt without an answer may still take effect; then: ${failure.message}`, { ran: 'unknown' })
  }

  private pauseMs (round: number): number {
    const full = Math.min(this.limits.pauseMs * BACKOFF_FACTOR ** (round - 1), this.limits.maxPauseMs)
    const spread = this.limits.random?.() ?? 0
    return full * (1 - spread / 2)
  }
}

/**
 * Reads, builds and transacts until the outcome is known or the attempts are used up.
 * Failures: those of `build`; `platformConflict` and `platformUnavailable` when nothing was or
 * will be written; `platformOutcomeUnknown` when an attempt may have taken effect or still may.
 * @param store - the table service
 * @param make - the rows to read and how the transaction is made from them
 * @param wasApplied - tells from the rows whether it took effect
 * @param limits - bounds and waiting
 */
export async function transactUntilKnown (
  store: TableStore, make: TransactBuild, wasApplied: WasApplied, limits: TransactLimits
): Promise<Either<Failure, TransactSettled>> {
  return await new TransactRun(store, make, wasApplied, limits).run()
}
