/**
 * Tokens that are dealt out to all holders evenly: drawn before requests come, shared with holders
 * that begin later, and reported often enough to cost little at an end.
 */
import { expect } from 'chai'
import { BudgetLedger } from './budgetLedger.js'
import { ownedByAll } from './budgetOwners.js'
import { defaultBudgetPolicy, type BudgetPolicy } from './budgetPolicy.js'
import { drawKeys, planDraw } from './budgetPlans.js'
import type { BudgetAction, BudgetEvent, BudgetRow } from './budgetTypes.js'
import { budgetTables } from './budgetKeys.js'
import { FlushQueue } from './flushQueue.js'
import { RowSet } from './rowSet.js'

const PAID = 600_000
const policy: BudgetPolicy = {
  ...defaultBudgetPolicy, evenPart: 1, shareDivisor: 1, boundsUse: true, demandFrom: 'reservations', flushMs: 100, horizonMs: 10_000, rateWindowMs: 3_000, patienceMs: 30, emptyPauseMs: 2_000
}

class Holder {
  readonly ledger: BudgetLedger
  mono = 0

  constructor (over: Partial<BudgetPolicy> = {}) {
    this.ledger = new BudgetLedger('vm1~a', { ...policy, ...over }, ownedByAll(() => 5))
  }

  send (event: BudgetEvent): readonly BudgetAction[] {
    return this.ledger.handle(event, this.now)
  }

  get now (): { readonly mono: number, readonly wall: number } {
    return { mono: this.mono, wall: this.mono }
  }

  pass (ms: number): readonly BudgetAction[] {
    this.mono += ms
    return this.send({ kind: 'tick' })
  }

  /** Prepares the budget and grants what it draws. */
  prepared (tokens: number, spent = PAID - 2 * tokens): this {
    const draw = this.send({ kind: 'prepare', budget: 'b' }).find(action => action.kind === 'draw')
    const fleet = { paid: PAID, spent, holders: (PAID - spent) / tokens }
    this.send({ kind: 'drawAnswered', drawId: draw?.drawId ?? '', outcome: { kind: 'granted', tokens, left: 0, sentAt: this.now, fleet } })
    return this
  }

  reserve (id: string, tokens: number): readonly string[] {
    return this.send({ kind: 'reserve', reservationId: id, budget: 'b', tokens, giveUpAfterMs: 200 })
      .map(action => action.kind === 'refuse' ? action.failure.code : action.kind)
  }

  /** Has the store answer no more: what is sent stays without an answer. */
  lostFlush (): void {
    const flush = this.pass(700).find(action => action.kind === 'flush')
    this.send({ kind: 'flushAnswered', seq: flush?.seq ?? 0, outcome: { kind: 'unavailable' } })
  }
}

interface PartCase {
  readonly name: string
  readonly row: Partial<BudgetRow>
  readonly held: number
  readonly order: { readonly tokens: number, readonly atLeast: number, readonly isForEvenPart?: boolean }
  readonly granted: number | undefined
}

const parts: readonly PartCase[] = [
  { name: 'the first holder gets its part', row: {}, held: 0, order: { tokens: 1e12, atLeast: 0, isForEvenPart: true }, granted: 100_000 },
  { name: 'the last holder gets its part', row: { allotted: 500_000 }, held: 0, order: { tokens: 1e12, atLeast: 0, isForEvenPart: true }, granted: 100_000 },
  { name: 'spent tokens are no part', row: { spent: 300_000 }, held: 0, order: { tokens: 1e12, atLeast: 0, isForEvenPart: true }, granted: 50_000 },
  { name: 'what is held counts', row: { allotted: 60_000 }, held: 60_000, order: { tokens: 1e12, atLeast: 0, isForEvenPart: true }, granted: 40_000 },
  { name: 'what is needed now goes before parts', row: { allotted: 200_000 }, held: 200_000, order: { tokens: 300_000, atLeast: 300_000 }, granted: 300_000 },
  { name: 'demand goes before parts', row: { allotted: 300_000 }, held: 0, order: { tokens: 150_000, atLeast: 0 }, granted: 100_000 },
  { name: 'a scrap is not worth a write', row: { allotted: 599_000 }, held: 0, order: { tokens: 1e12, atLeast: 0, isForEvenPart: true }, granted: undefined }
]

describe('tokens that are dealt out evenly', () => {
  for (const { name, row, held, order, granted } of parts) {
    it(name, () => {
      const keys = drawKeys('vm1~a', 'b')
      const budget = { budget: 'b', paid: PAID, spent: 0, allotted: 0, ...row }
      const allotment = { budget: 'b', holder: 'vm1~a', domain: 'd', held, settled: 0, state: 'open' }
      const rows = new RowSet(keys, [
        { table: budgetTables.budgets, key: 'b', version: 1, value: budget, updatedAt: 0 },
        held === 0 ? null : { table: budgetTables.allotments, key: 'b/vm1~a', version: 2, value: allotment, updatedAt: 0 }
      ])
      const drawer = { holder: 'vm1~a', domain: 'd', holders: 6, shareDivisor: 1, evenPart: 1 }
      const plan = planDraw(rows, { drawId: 'd1', budget: 'b', ...order }, drawer).unsafeCoerce()
      expect(plan.kind === 'write' ? plan.tokens : undefined).to.equal(granted)
    })
  }

  it('are drawn before any request, and no request waits then', () => {
    expect(new Holder().prepared(100_000).reserve('r1', 1_000)).to.include('admit')
  })

  it('are shared with a holder that begins', () => {
    const holder = new Holder().prepared(100_000)
    const flush = holder.send({ kind: 'holderJoined', holder: 'vm5~a' }).find(action => action.kind === 'flush')
    expect(flush?.returns).to.deep.equal([{ budget: 'b', tokens: 20_000 }])
  })

  it('allow no more than the table knows where the answer of the draw was lost', () => {
    const holder = new Holder().prepared(100_000, 0)
    const flush = holder.pass(700).find(action => action.kind === 'flush')
    const closed = holder.send({ kind: 'flushAnswered', seq: flush?.seq ?? 0, outcome: { kind: 'closed', budgets: ['b'] } })
    const draw = [...closed, ...holder.pass(100)].find(action => action.kind === 'draw')
    expect(draw?.report?.tokens).to.equal(0)
    holder.send({ kind: 'drawAnswered', drawId: draw?.drawId ?? '', outcome: { kind: 'granted', tokens: 100_000, left: 0, sentAt: holder.now } })
    const admitted = ['r1', 'r2', 'r3'].map(id => holder.reserve(id, 4_900).includes('admit'))
    expect(admitted).to.deep.equal([true, true, false])
  })

  it('go back in small flushes, since the rows of budgets are written by all holders', () => {
    const queue = new FlushQueue({ ...policy, returnsAtOnce: 3 })
    for (let i = 0; i < 5; i += 1) queue.addReturn({ budget: `b${i}`, tokens: 10 }, 0)
    queue.addReturn({ budget: 'renewed', tokens: 0 }, 0)
    const first = queue.next(0)
    queue.finish(0)
    const second = queue.next(policy.flushMs)
    expect([first, second].map(flush => flush?.returns.map(({ budget }) => budget))).to.deep.equal([['b0', 'b1', 'b2', 'renewed'], ['b3', 'b4']])
  })

  it('are reported again before what the last report allows grows', () => {
    const holder = new Holder().prepared(100_000)
    const flush = holder.pass(700).find(action => action.kind === 'flush')
    expect([flush?.returns, flush?.reports?.map(({ tokens }) => tokens)]).to.deep.equal([[{ budget: 'b', tokens: 0 }], [10_000]])
  })

  /** Use grows by 20 tokens a millisecond from 1.5 s after the lost report on, which allows 10,000. */
  const waits: ReadonlyArray<{ readonly name: string, readonly askedAfter: number, readonly passed: number, readonly answer: string | undefined, readonly retryAfterMs?: number }> = [
    { name: 'refused in time, with the time until it may be used', askedAfter: 1_000, passed: 110, answer: 'budgetUnreported', retryAfterMs: 395 },
    { name: 'refused in time, to come back sooner than that where that time is long', askedAfter: 0, passed: 110, answer: 'budgetUnreported', retryAfterMs: 500 },
    { name: 'kept where its use is allowed soon', askedAfter: 1_440, passed: 40, answer: undefined },
    { name: 'admitted when its use is allowed', askedAfter: 1_440, passed: 100, answer: 'admit' }
  ]
  for (const { name, askedAfter, passed, answer, retryAfterMs } of waits) {
    it(`without the store, a request for more than the report allows is ${name}`, () => {
      const holder = new Holder().prepared(100_000)
      holder.lostFlush()
      holder.pass(askedAfter)
      holder.reserve('r1', 10_100)
      const actions = holder.pass(passed).filter(action => action.kind === 'refuse' || action.kind === 'admit')
      expect(actions.map(action => action.kind === 'refuse' ? action.failure.code : action.kind)).to.deep.equal(answer === undefined ? [] : [answer])
      if (retryAfterMs !== undefined) expect(actions.flatMap(action => action.kind === 'refuse' ? action.failure.retryAfterMs : [])).to.deep.equal([retryAfterMs])
    })
  }
})
