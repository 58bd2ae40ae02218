/**
 * Transactions of draws and top-ups, repeated and in conflict.
 */
import { expect } from 'chai'
import { Right, type Either } from 'purify-ts'
import type { Failure } from '../codes/failure.js'
import { budgetOf, drawKeys, planDraw, planTopUp, putBudget, topUpKeys, type DrawRequest } from './budgetPlans.js'
import { applyTopUp } from './budgetRows.js'
import { flushKeys, planFlush } from './flushPlan.js'
import { RowSet, type PlanKey, type PlanRow } from './rowSet.js'

/** Minimal table: rows, versions, and transactions that check them. */
class Rows {
  private readonly rows = new Map<string, PlanRow>()
  private version = 0

  run<P extends { readonly kind: string, readonly isRowChanged?: true }> (keys: readonly PlanKey[], plan: (rows: RowSet) => Either<Failure, P>): Either<Failure, P> {
    const set = new RowSet(keys, keys.map(({ table, key }) => this.rows.get(`${table}/${key}`) ?? null))
    return plan(set).ifRight(({ kind, isRowChanged }) => {
      this.version += 1
      if (kind !== 'write' && isRowChanged !== true) return
      for (const { table, key, value } of set.writes()) this.rows.set(`${table}/${key}`, { table, key, value, version: this.version, updatedAt: 0 })
    })
  }

  topUp (operationId: string, tokens: number): string {
    const done = this.run(topUpKeys(operationId, 'b'), rows => planTopUp(rows, { operationId, budget: 'b', tokens, author: 'ana' }))
    return done.caseOf({ Left: failure => failure.code, Right: plan => plan.kind })
  }

  draw (order: Partial<DrawRequest>, holder = 'vm1~a'): unknown {
    const whole = { drawId: 'd1', budget: 'b', tokens: 600, atLeast: 0, ...order }
    const drawer = { holder, domain: 'd', holders: 2, shareDivisor: 1, fairShareRatio: 0 }
    return this.run(drawKeys(holder, whole.budget), rows => planDraw(rows, whole, drawer)).extract()
  }

  returnTokens (tokens: number): void {
    const order = { seq: this.version, bills: [], returns: [{ budget: 'b', tokens }], transfers: [] }
    const flusher = { holder: 'vm1~a', domain: 'd' }
    this.run(flushKeys(order, flusher), rows => planFlush(rows, order, flusher))
  }

  get paid (): number | undefined {
    let paid: number | undefined
    this.run(topUpKeys('', 'b'), rows => {
      paid = budgetOf(rows, 'b')?.paid
      return Right({ kind: 'done' })
    })
    return paid
  }

  /** Counterexample: a top-up without an operation id. */
  topUpWithoutId (tokens: number): void {
    this.run(topUpKeys('', 'b'), rows => applyTopUp(budgetOf(rows, 'b'), 'b', tokens).map(row => {
      putBudget(rows, row)
      return { kind: 'write' }
    }))
  }
}

describe('budget transactions', () => {
  it('count a repeated top-up once, where a top-up without an id counts twice', () => {
    const rows = new Rows()
    expect([rows.topUp('a', 10), rows.topUp('a', 10), rows.topUp('a', 11)]).to.deep.equal(['write', 'done', 'topUpConflict'])
    expect(rows.paid).to.equal(10)
    const rowsWithoutIds = new Rows()
    rowsWithoutIds.topUpWithoutId(10)
    rowsWithoutIds.topUpWithoutId(10)
    expect(rowsWithoutIds.paid).to.equal(20)
  })

  const draws: ReadonlyArray<{ title: string, order: Partial<DrawRequest>, holder?: string, expected: object }> = [
    { title: 'grant a share of what is left ahead of need', order: {}, expected: { kind: 'write', tokens: 500, left: 500, spent: 0, paid: 1000 } },
    { title: 'grant more than the share if it is needed now', order: { atLeast: 700 }, expected: { kind: 'write', tokens: 700, left: 300, spent: 0, paid: 1000 } },
    { title: 'grant all that is left if that serves a request', order: { atLeast: 1200, minUseful: 900 }, expected: { kind: 'write', tokens: 1000, left: 0, spent: 0, paid: 1000 } },
    { title: 'grant nothing if that serves no request', order: { atLeast: 1200 }, expected: { kind: 'short', left: 1000 } },
    { title: 'grant no small remainder ahead of need', order: { tokens: 10_000 }, expected: { kind: 'short', left: 1000 } },
    { title: 'report an unknown budget', order: { budget: 'x' }, expected: { kind: 'unknownBudget' } },
    { title: 'detect that the expected row was removed', order: { expectsRow: true }, expected: { kind: 'closed' } }
  ]
  for (const { title, order, expected } of draws) {
    it(`draws ${title}`, () => {
      const rows = new Rows()
      rows.topUp('a', 1000)
      expect(rows.draw(order)).to.deep.equal(expected)
    })
  }

  it('count a repeated draw once', () => {
    const rows = new Rows()
    rows.topUp('a', 1000)
    expect(rows.draw({ atLeast: 300, tokens: 300 })).to.include({ kind: 'write', tokens: 300 })
    expect(rows.draw({ atLeast: 900, tokens: 900 })).to.include({ kind: 'done', tokens: 300, left: 700 })
  })

  const declared: ReadonlyArray<{ title: string, versions: readonly (readonly [version: number, tokens: number])[], draw: number, paid: number, granted: number }> = [
    { title: 'creates a budget from the first amount', versions: [[1, 1000]], draw: 300, paid: 1000, granted: 300 },
    { title: 'accepts a higher amount of a newer version', versions: [[1, 100], [2, 1000]], draw: 300, paid: 1000, granted: 300 },
    { title: 'ignores an older version', versions: [[2, 1000], [1, 100]], draw: 300, paid: 1000, granted: 300 },
    { title: 'ignores another amount of the same version', versions: [[1, 1000], [1, 5000]], draw: 300, paid: 1000, granted: 300 },
    { title: 'grants nothing above a lowered amount', versions: [[1, 1000], [2, 100]], draw: 300, paid: 100, granted: 0 }
  ]
  for (const { title, versions, draw, paid, granted } of declared) {
    it(`with declared amounts ${title}`, () => {
      const rows = new Rows()
      versions.slice(0, -1).forEach(([version, tokens], index) => rows.draw({ drawId: `early${index}`, tokens: 1e6, atLeast: 1e6, declared: { version, tokens } }))
      const [version, tokens] = versions.at(-1) ?? [0, 0]
      const drawn = rows.draw({ tokens: draw, atLeast: draw, declared: { version, tokens } })
      expect([rows.paid, (drawn as { tokens?: number }).tokens ?? 0]).to.deep.equal([paid, granted])
    })
  }

  it('lowers the paid amount as tokens are returned while more is allotted than declared', () => {
    const rows = new Rows()
    rows.draw({ tokens: 600, atLeast: 600, declared: { version: 1, tokens: 1000 } })
    rows.draw({ drawId: 'd2', tokens: 10, atLeast: 10, declared: { version: 2, tokens: 100 } })
    const before = rows.paid
    rows.returnTokens(350)
    const between = rows.paid
    rows.returnTokens(250)
    expect([before, between, rows.paid]).to.deep.equal([600, 250, 100])
  })
})
