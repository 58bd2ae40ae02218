/**
 * Fair shares: drawn before requests arrive, shared with holders that start later, and reported often enough to lose little
 * when a holder terminates.
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
  ...defaultBudgetPolicy, fairShareRatio: 1, shareDivisor: 1, boundsUnreportedUse: true, demandSource: 'reservations', flushMs: 100, horizonMs: 10_000, rateWindowMs: 3_000, unreachableWaitMs: 30, emptyDrawPauseMs: 2_000
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

  /** Prepares the budget and grants its draw. */
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

  /** Sends a flush that stays unanswered. */
  sendLostFlush (): void {
    const flush = this.pass(700).find(action => action.kind === 'flush')
    this.send({ kind: 'flushAnswered', seq: flush?.seq ?? 0, outcome: { kind: 'unavailable' } })
  }
}

interface FairShareCase {
  readonly name: string
  readonly row: Partial<BudgetRow>
  readonly held: number
  readonly order: { readonly tokens: number, readonly atLeast: number, readonly isFairShareOnly?: boolean }
  readonly granted: number | undefined
}

const fairShares: readonly FairShareCase[] = [
  { name: 'the first holder gets its fair share', row: {}, held: 0, order: { tokens: 1e12, atLeast: 0, isFairShareOnly: true }, granted: 100_000 },
  { name: 'the last holder gets its fair share', row: { allotted: 500_000 }, held: 0, order: { tokens: 1e12, atLeast: 0, isFairShareOnly: true }, granted: 100_000 },
  { name: 'spent tokens are not shared', row: { spent: 300_000 }, held: 0, order: { tokens: 1e12, atLeast: 0, isFairShareOnly: true }, granted: 50_000 },
  { name: 'allotted tokens count towards the fair share', row: { allotted: 60_000 }, held: 60_000, order: { tokens: 1e12, atLeast: 0, isFairShareOnly: true }, granted: 40_000 },
  { name: 'tokens needed now take precedence over fair shares', row: { allotted: 200_000 }, held: 200_000, order: { tokens: 300_000, atLeast: 300_000 }, granted: 300_000 },
  { name: 'demand takes precedence over fair shares', row: { allotted: 300_000 }, held: 0, order: { tokens: 150_000, atLeast: 0 }, granted: 100_000 },
  { name: 'a small remainder is not worth a write', row: { allotted: 599_000 }, held: 0, order: { tokens: 1e12, atLeast: 0, isFairShareOnly: true }, granted: undefined }
]

describe('fair shares', () => {
  for (const { name, row, held, order, granted } of fairShares) {
    it(name, () => {
      const keys = drawKeys('vm1~a', 'b')
      const budget = { budget: 'b', paid: PAID, spent: 0, allotted: 0, ...row }
      const allotment = { budget: 'b', holder: 'vm1~a', domain: 'd', held, settled: 0, state: 'open' }
      const rows = new RowSet(keys, [
        { table: budgetTables.budgets, key: 'b', version: 1, value: budget, updatedAt: 0 },
        held === 0 ? null : { table: budgetTables.allotments, key: 'b/vm1~a', version: 2, value: allotment, updatedAt: 0 }
      ])
      const drawer = { holder: 'vm1~a', domain: 'd', holders: 6, shareDivisor: 1, fairShareRatio: 1 }
      const plan = planDraw(rows, { drawId: 'd1', budget: 'b', ...order }, drawer).unsafeCoerce()
      expect(plan.kind === 'write' ? plan.tokens : undefined).to.equal(granted)
    })
  }

  it('are drawn before any request, so that none waits', () => {
    expect(new Holder().prepared(100_000).reserve('r1', 1_000)).to.include('admit')
  })

  it('are shared with a holder that starts later', () => {
    const holder = new Holder().prepared(100_000)
    const flush = holder.send({ kind: 'holderJoined', holder: 'vm5~a' }).find(action => action.kind === 'flush')
    expect(flush?.returns).to.deep.equal([{ budget: 'b', tokens: 20_000 }])
  })

  it('allow no more than the table records after the draw answer was lost', () => {
    const holder = new Holder().prepared(100_000, 0)
    const flush = holder.pass(700).find(action => action.kind === 'flush')
    const closed = holder.send({ kind: 'flushAnswered', seq: flush?.seq ?? 0, outcome: { kind: 'closed', budgets: ['b'] } })
    const draw = [...closed, ...holder.pass(100)].find(action => action.kind === 'draw')
    expect(draw?.report?.tokens).to.equal(0)
    holder.send({ kind: 'drawAnswered', drawId: draw?.drawId ?? '', outcome: { kind: 'granted', tokens: 100_000, left: 0, sentAt: holder.now } })
    const admitted = ['r1', 'r2', 'r3'].map(id => holder.reserve(id, 4_900).includes('admit'))
    expect(admitted).to.deep.equal([true, true, false])
  })

  it('are returned in small flushes, because all holders write the budget rows', () => {
    const queue = new FlushQueue({ ...policy, maxReturnsPerFlush: 3 })
    for (let i = 0; i < 5; i += 1) queue.addReturn({ budget: `b${i}`, tokens: 10 }, 0)
    queue.addReturn({ budget: 'renewed', tokens: 0 }, 0)
    const first = queue.next(0)
    queue.finish(0)
    const second = queue.next(policy.flushMs)
    expect([first, second].map(flush => flush?.returns.map(({ budget }) => budget))).to.deep.equal([['b0', 'b1', 'b2', 'renewed'], ['b3', 'b4']])
  })

  it('are reported again before the allowance of the last report grows', () => {
    const holder = new Holder().prepared(100_000)
    const flush = holder.pass(700).find(action => action.kind === 'flush')
    expect([flush?.returns, flush?.reports?.map(({ tokens }) => tokens)]).to.deep.equal([[{ budget: 'b', tokens: 0 }], [10_000]])
  })

  /** The last report allows 10,000 tokens, and 20 more per millisecond from 1.5 s on. */
  const waits: ReadonlyArray<{ readonly name: string, readonly requestedAfterMs: number, readonly passedMs: number, readonly answer: string | undefined, readonly retryAfterMs?: number }> = [
    { name: 'refused in time, with the wait until its use is allowed', requestedAfterMs: 1_000, passedMs: 110, answer: 'budgetUnreported', retryAfterMs: 395 },
    { name: 'refused in time, with a shorter wait if that is long', requestedAfterMs: 0, passedMs: 110, answer: 'budgetUnreported', retryAfterMs: 500 },
    { name: 'left waiting if its use is allowed soon', requestedAfterMs: 1_440, passedMs: 40, answer: undefined },
    { name: 'admitted once its use is allowed', requestedAfterMs: 1_440, passedMs: 100, answer: 'admit' }
  ]
  for (const { name, requestedAfterMs, passedMs, answer, retryAfterMs } of waits) {
    it(`without the table, a request for more than the report allows is ${name}`, () => {
      const holder = new Holder().prepared(100_000)
      holder.sendLostFlush()
      holder.pass(requestedAfterMs)
      holder.reserve('r1', 10_100)
      const actions = holder.pass(passedMs).filter(action => action.kind === 'refuse' || action.kind === 'admit')
      expect(actions.map(action => action.kind === 'refuse' ? action.failure.code : action.kind)).to.deep.equal(answer === undefined ? [] : [answer])
      if (retryAfterMs !== undefined) expect(actions.flatMap(action => action.kind === 'refuse' ? action.failure.retryAfterMs : [])).to.deep.equal([retryAfterMs])
    })
  }
})
