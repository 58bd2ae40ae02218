/**
 * Guards against transactions applied twice or reported wrongly after lost, late and refused
 * responses. All sequences of outcomes of a fixed length are tried; faulty retry strategies must
 * violate the guarantee on some of them.
 */
import { Left, Right, type Either } from 'purify-ts'
import { expect } from 'chai'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { transactUntilKnown, type TransactionBuilder, type AppliedTransaction, type WasApplied } from './tableTransact.js'
import type { ReadAnswer, Row, RowKey, TableStore, Transaction } from './tableTypes.js'

/** Outcome of a transaction; a `late` one is applied only after the next read. */
const OUTCOMES = ['ok', 'lostAfter', 'lostBefore', 'late', 'raced', 'down'] as const
type Outcome = typeof OUTCOMES[number]

const ATTEMPTS = 3
const COUNTER = { table: 'budgets', key: 'one' }
const MARKER = { table: 'topups', key: 'op' }
const unknownOutcome = (): Failure => new Failure('platformOutcomeUnknown', 'lost', { ran: 'unknown' })
const unavailable = (): Failure => new Failure('platformUnavailable', 'down', { ran: 'no' })

/** In-memory table with scripted outcomes. */
class ScriptedTable implements TableStore {
  private readonly rows = new Map<string, Row>()
  private version = 0
  private late: Transaction[] = []
  private sent = 0
  private reads = 0

  constructor (private readonly script: readonly Outcome[], private readonly readsDown: readonly boolean[]) {
    this.apply({ checks: [], writes: [{ ...COUNTER, value: 0 }] })
  }

  async read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>> {
    if (this.readsDown[this.reads++] === true) return Left(unavailable())
    return Right({ rows: keys.map(key => this.row(key)), now: 0 })
  }

  async scan (): Promise<never> { throw new Error('not used') }

  async transact (tx: Transaction) {
    this.applyLate()
    const outcome = this.script[this.sent++] ?? 'ok'
    if (outcome === 'down') return Left(unavailable())
    if (outcome === 'lostBefore') return Left(unknownOutcome())
    if (outcome === 'late') {
      this.late.push(tx)
      return Left(unknownOutcome())
    }
    if (outcome === 'raced') this.apply({ checks: [], writes: [{ ...COUNTER, value: this.counter() }] })
    const applied = this.apply(tx)
    if (outcome === 'lostAfter') return Left(unknownOutcome())
    return applied ? Right({ version: this.version, now: 0 }) : Left(new Failure('platformConflict', 'raced', { ran: 'no' }))
  }

  /** Applies late transactions whose checks still hold. */
  applyLate (): void {
    this.late.forEach(tx => this.apply(tx))
    this.late = []
  }

  counter (): number {
    return this.row(COUNTER)?.value as number
  }

  private row (key: RowKey): Row | null {
    return this.rows.get(`${key.table}/${key.key}`) ?? null
  }

  private apply (tx: Transaction): boolean {
    if (tx.checks.some(check => check.version !== (this.row(check)?.version ?? null))) return false
    this.version++
    for (const { table, key, value } of tx.writes) {
      this.rows.set(`${table}/${key}`, { table, key, value, version: this.version, updatedAt: 0 })
    }
    return true
  }
}

const increment: TransactionBuilder = {
  keys: [COUNTER, MARKER],
  build: ({ rows: [counter, marker] }) => Right({
    checks: [{ ...COUNTER, version: counter?.version ?? null }, { ...MARKER, version: marker?.version ?? null }],
    writes: [{ ...COUNTER, value: (counter?.value as number) + 1 }, { ...MARKER, value: true }]
  })
}
const hasMarker: WasApplied = rows => rows[1] != null
const limits = { attempts: ATTEMPTS, pauseMs: 1, maxPauseMs: 4, pause: async (): Promise<void> => {} }

type Strategy = (table: TableStore) => Promise<Either<Failure, unknown>>
const untilKnown: Strategy = table => transactUntilKnown(table, increment, hasMarker, limits)
/** Faulty: retries after a lost response as after a conflict, without reading back. */
const withoutReadBack: Strategy = table => transactUntilKnown(table, increment, () => false, limits)
/** Faulty: reads back once and treats a missing marker as proof that nothing will be written. */
const withSingleReadBack: Strategy = async table => {
  const before = (await table.read(increment.keys)).map(read => increment.build(read).unsafeCoerce())
  if (before.isLeft()) return before
  const answer = await table.transact(before.unsafeCoerce())
  if (answer.isRight() || (answer.extract() as Failure).code !== 'platformOutcomeUnknown') return answer
  const after = await table.read(increment.keys)
  return after.chain(({ rows }): Either<Failure, unknown> => hasMarker(rows) ? Right(rows) : Left(unavailable()))
}

function sequencesOf<T> (items: readonly T[], length: number): T[][] {
  if (length === 0) return [[]]
  return sequencesOf(items, length - 1).flatMap(rest => items.map(item => [item, ...rest]))
}

/** Runs a strategy on one script and describes the violation of the guarantee, if any. */
async function findViolation (strategy: Strategy, script: readonly Outcome[], readsDown: readonly boolean[]): Promise<string | undefined> {
  const table = new ScriptedTable(script, readsDown)
  const result = await strategy(table)
  table.applyLate()
  const applied = table.counter()
  if (applied > 1) return `applied ${applied} times`
  if (result.isRight()) return applied === 1 ? undefined : 'reported as applied but was not'
  return applied === 1 && (result.extract() as Failure).ran === 'no' ? 'reported as not applied but was' : undefined
}

async function findViolations (strategy: Strategy): Promise<string[]> {
  const violations: string[] = []
  for (const script of sequencesOf(OUTCOMES, ATTEMPTS)) {
    for (const readsDown of sequencesOf([false, true], ATTEMPTS + 1)) {
      const violation = await findViolation(strategy, script, readsDown)
      if (violation !== undefined) violations.push(violation)
    }
  }
  return violations
}

const cases: readonly [script: Outcome[], expected: string, applied: number][] = [
  [['ok'], 'answered', 1],
  [['lostAfter'], 'readBack', 1],
  [['lostBefore', 'ok'], 'answered', 1],
  [['late', 'ok'], 'readBack', 1],
  [['raced', 'raced', 'ok'], 'answered', 1],
  [['raced', 'raced', 'raced'], 'platformConflict', 0],
  [['lostBefore', 'raced', 'raced'], 'platformConflict', 0],
  [['lostBefore', 'lostBefore', 'late'], 'platformOutcomeUnknown', 1],
  [['lostBefore', 'down', 'down'], 'platformOutcomeUnknown', 0],
  [['down'], 'platformUnavailable', 0]
]

function describeResult (result: Either<Failure, AppliedTransaction>): string {
  return result.caseOf<string>({ Left: failure => failure.code, Right: transaction => transaction.detectedBy })
}

describe('transactUntilKnown', () => {
  for (const [script, expected, applied] of cases) {
    it(`${script.join(', ')}: ${expected}`, async () => {
      const table = new ScriptedTable(script, [])
      const result = await transactUntilKnown(table, increment, hasMarker, limits)
      table.applyLate()
      expect(describeResult(result)).to.equal(expected)
      expect(table.counter()).to.equal(applied)
    })
  }

  it('detects a transaction applied by an earlier run', async () => {
    const table = new ScriptedTable([], [])
    await untilKnown(table)
    expect(describeResult(await transactUntilKnown(table, increment, hasMarker, limits))).to.equal('before')
    expect(table.counter()).to.equal(1)
  })

  it('rejects a transaction whose copies could both be applied', async () => {
    const table = new ScriptedTable([], [])
    const unguarded: TransactionBuilder = { ...increment, build: () => Right({ checks: [], writes: [{ ...COUNTER, value: 9 }] }) }
    expect(describeResult(await transactUntilKnown(table, unguarded, hasMarker, limits))).to.equal('internal')
    expect(table.counter()).to.equal(0)
  })

  it('reports the correct outcome for all sequences of outcomes', async () => {
    expect(await findViolations(untilKnown)).to.deep.equal([])
  })

  it('would apply twice without reading back (counter-example)', async () => {
    expect(await findViolations(withoutReadBack)).to.include('applied 2 times')
  })

  it('would report a late write as not applied after a single read back (counter-example)', async () => {
    expect(await findViolations(withSingleReadBack)).to.include('reported as not applied but was')
  })
})
