/**
 * Optimistic transactions on budget rows: read uncached rows, plan, and write if unchanged. A conflict is read and
 * planned again; a lost answer is resolved by the plan itself, which finds its earlier effect.
 */
import { Either, Left, Right } from 'purify-ts'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, failureOf, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import { RowSet, type PlanKey, type PlanRow } from '@rosemaryspread/decisions/budget/rowSet.js'
import type { TableStore, TransactAnswer } from '@rosemaryspread/infra/table/tableTypes.js'
import type { BudgetRowCache } from './budgetRowCache.js'

/** Attempts of one transaction before the caller has to retry. */
const MAX_ATTEMPTS = 8

/** A plan that is done, or whose writes are in the row set. */
interface Planned {
  readonly kind: string
}

/** Outcome of a transaction; `sentAt` is not later than the instant at which the write was sent. */
export interface Committed<P> {
  readonly plan: P
  readonly sentAt: Instant
}

export class BudgetTable {
  /** Table writes that took effect, for metrics. */
  writes = 0
  conflicts = 0
  /** Table's clock minus the local monotonic clock, by the last answer; undefined before the first. */
  private clockOffsetMs: number | undefined

  /** Start of the first attempt of each operation whose outcome is unknown. */
  private readonly firstSent = new Map<string, Instant>()

  /** @param cache - rows that need not be read before they are written */
  constructor (readonly store: TableStore, private readonly clock: Clock, private readonly cache?: BudgetRowCache) {}

  /**
   * Reads rows, plans on them and writes the result. A plan of a kind other than `write` ends it without a write.
   * @param operationIds - ids under which a later run finds its effects
   * @param keys - rows to read
   * @param plan - changes the row set, or returns why not
   */
  async run<P extends Planned> (
    operationIds: string | readonly string[], keys: readonly PlanKey[], plan: (rows: RowSet) => Either<Failure, P>
  ): Promise<Either<Failure, Committed<P>>> {
    const ids = typeof operationIds === 'string' ? [operationIds] : operationIds
    const startedAt = this.clock.now()
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const uncached = attempt === 1 ? keys.filter(key => this.cache?.get(key) === undefined) : keys
      const read = await this.read(keys, uncached)
      if (read.isLeft()) return Left(read.extract())
      const rows = new RowSet(keys, read.unsafeCoerce())
      const planned = Either.encase(() => plan(rows)).mapLeft(toFailure).chain(result => result)
      // A write checks the versions of cached rows; any other result needs rows that were read.
      if (uncached.length < keys.length && !isWrite(planned)) continue
      if (planned.isLeft()) return Left(planned.extract())
      const value = planned.unsafeCoerce()
      if (value.kind !== 'write') return Right({ plan: value, sentAt: this.resolveSentAt(ids, startedAt) })
      const sentAt = this.clock.now()
      const written = await this.write(keys, rows)
      const failure = failureOf(written)
      if (failure === undefined) {
        // Some writes of a batch may have taken effect earlier, so the lease counts from the first of them.
        return Right({ plan: value, sentAt: this.resolveSentAt(ids, sentAt) })
      }
      if (failure.code === 'platformUnavailable') return Left(failure)
      if (failure.code !== 'platformConflict') this.recordUnknownOutcome(ids, startedAt)
    }
    return Left(new Failure('platformUnavailable', 'the transaction conflicted too often', { ran: 'no' }))
  }

  /** Whether a write of an operation may have taken effect without an answer. */
  isOutcomeUnknown (operationId: string): boolean {
    return this.firstSent.has(operationId)
  }

  /** Milliseconds of the table's clock; never ahead of it, as an answer takes time to arrive. 0 before the first answer. */
  get tableNow (): number {
    return this.clockOffsetMs === undefined ? 0 : Math.floor(this.clock.now().mono + this.clockOffsetMs)
  }

  /** Records that a row written only by this holder does not exist yet. */
  assumeAbsent (key: PlanKey): void {
    this.cache?.setAbsent(key)
  }

  /** Current time on the monotonic and the wall clock. */
  now (): Instant {
    return this.clock.now()
  }

  /**
   * Instant of the earliest attempt that may have taken effect: an effect found later was sent no earlier than the first
   * attempt with an unknown outcome.
   */
  private resolveSentAt (ids: readonly string[], startedAt: Instant): Instant {
    let first = startedAt
    for (const id of ids) {
      const sentAt = this.firstSent.get(id) ?? startedAt
      if (sentAt.mono < first.mono) first = sentAt
      this.firstSent.delete(id)
    }
    return first
  }

  private recordClock (now: number): void {
    this.clockOffsetMs = now - this.clock.now().mono
  }

  private recordUnknownOutcome (ids: readonly string[], startedAt: Instant): void {
    for (const id of ids) if (!this.firstSent.has(id)) this.firstSent.set(id, startedAt)
  }

  /** Rows in the order of the keys; uncached ones are read. */
  private async read (keys: readonly PlanKey[], uncached: readonly PlanKey[]): Promise<Either<Failure, ReadonlyArray<PlanRow | null>>> {
    const cached = keys.map(key => uncached.includes(key) ? undefined : this.cache?.get(key))
    if (uncached.length === 0) return Right(cached.map(row => row ?? null))
    return (await this.store.read(uncached)).map(({ rows, now }) => {
      this.recordClock(now)
      let next = 0
      return keys.map((key, index) => uncached.includes(key) ? rows[next++] ?? null : cached[index] ?? null)
    })
  }

  private async write (keys: readonly PlanKey[], rows: RowSet): Promise<Either<Failure, TransactAnswer>> {
    const writes = rows.writes()
    this.cache?.forget([...keys, ...writes])
    const result = await this.store.transact({ checks: [...rows.checks()], writes: [...writes] })
    result.ifRight(({ now, version }) => {
      this.cache?.recordWritten(writes, version, now)
      this.writes += 1
      this.recordClock(now)
    })
    result.ifLeft(failure => { if (failure.code === 'platformConflict') this.conflicts += 1 })
    return result
  }
}

function isWrite (planned: Either<Failure, Planned>): boolean {
  return planned.map(({ kind }) => kind === 'write').orDefault(false)
}
