/**
 * The budget driver on an in-memory table: refusals, billing and top-ups, also under table outages and lost answers.
 */
import { expect } from 'chai'
import { Right } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { LogEventName } from '@rosemaryspread/decisions/events/logEvents.js'
import { defaultBudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import type { BudgetPeers } from 'rosemaryspread/budget/budgetPeers.js'
import type { Reservation } from 'rosemaryspread/budget/budgetPort.js'
import { MemoryTableStore } from '../table/memoryTableStore.js'

const TICK_MS = 200
const policy = { ...defaultBudgetPolicy, flushMs: 1000 }

const noPeers: BudgetPeers = {
  members: () => [],
  requestTransfer: async () => Right({}),
  recall: async () => Right({ returned: 0 }),
  confirmNoTransfers: async () => Right({ none: true })
}

/** One driver in virtual time, without peers. */
class DriverHarness {
  readonly store = new MemoryTableStore()
  readonly events: LogEventName[] = []
  private mono = 0
  readonly driver = new BudgetDriver({
    holder: 'vm1~a',
    domain: 'quito-centro',
    store: this.store,
    peers: noPeers,
    policy,
    clock: { now: () => ({ mono: this.mono, wall: this.mono }) },
    log: { write: event => this.events.push(event) }
  })

  async advance (ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.mono += TICK_MS
      this.driver.tick()
      await new Promise(resolve => setImmediate(resolve))
    }
  }

  async topUp (tokens: number, operationId = 'op1'): Promise<string> {
    const result = await this.driver.topUp({ operationId, budget: 'b', tokens, author: 'ana' })
    return result.caseOf({ Left: failure => failure.code, Right: answer => String(answer.paid) })
  }

  async reserve (tokens: number, budget = 'b'): Promise<Reservation | Failure> {
    const promise = this.driver.reserve(budget, tokens, 5000)
    await this.advance(6000)
    return (await promise).extract()
  }

  settle (reservation: Reservation | Failure, requestId: string, tokens: number): void {
    if ('reservationId' in reservation) {
      this.driver.settle(reservation, { requestId, budget: 'b', team: 't', tokens, runner: 'r' })
    }
  }

  async spent (): Promise<{ spent: number, allotted: number } | undefined> {
    const shown = await this.driver.show('b')
    return shown.map(({ spent, allotted }) => ({ spent, allotted })).toMaybe().extract()
  }
}

describe('budget driver', () => {
  it('bills a reservation once and returns the rest of the allotment on drain', async () => {
    const harness = new DriverHarness()
    await harness.topUp(10_000)
    const first = await harness.reserve(1000)
    harness.settle(first, 'r1', 600)
    harness.settle(first, 'r1', 600)
    await harness.advance(3000)
    expect(await harness.spent()).to.include({ spent: 600 })
    const drained = harness.driver.drain()
    await harness.advance(3000)
    await drained
    expect(await harness.spent()).to.deep.equal({ spent: 600, allotted: 0 })
  })

  const refusals: ReadonlyArray<{ title: string, tokens: number, budget?: string, outage?: boolean, code: string }> = [
    { title: 'more than is paid', tokens: 10_001, code: 'budgetSpent' },
    { title: 'an unknown budget', tokens: 1, budget: 'x', code: 'budgetUnknown' },
    { title: 'a negative amount', tokens: -1, code: 'amountInvalid' },
    { title: 'a fraction', tokens: 1.5, code: 'amountInvalid' },
    { title: 'a huge amount', tokens: 1e300, code: 'amountInvalid' },
    { title: 'NaN', tokens: NaN, code: 'amountInvalid' },
    { title: 'anything while the table is down', tokens: 5, outage: true, code: 'budgetPending' }
  ]
  for (const { title, tokens, budget, outage = false, code } of refusals) {
    it(`refuses ${title} with ${code}`, async () => {
      const harness = new DriverHarness()
      await harness.topUp(10_000)
      harness.store.outage = outage
      expect(await harness.reserve(tokens, budget)).to.include({ code, ran: 'no' })
    })
  }

  const reports: ReadonlyArray<{ title: string, tokens: number, billed: number }> = [
    { title: 'more than the cap', tokens: 5000, billed: 1000 },
    { title: 'a negative usage', tokens: -5, billed: 1000 },
    { title: 'a fractional usage', tokens: 1.5, billed: 1000 },
    { title: 'NaN', tokens: NaN, billed: 1000 },
    { title: 'nothing used', tokens: 0, billed: 0 }
  ]
  for (const { title, tokens, billed } of reports) {
    it(`bills at most the reservation when a runner reports ${title}`, async () => {
      const harness = new DriverHarness()
      await harness.topUp(10_000)
      harness.settle(await harness.reserve(1000), 'r1', tokens)
      await harness.advance(3000)
      expect(await harness.spent()).to.include({ spent: billed })
    })
  }

  const topUps: ReadonlyArray<{ title: string, ops: ReadonlyArray<readonly [string, number]>, answers: readonly string[] }> = [
    { title: 'repeated', ops: [['a', 10], ['a', 10]], answers: ['10', '10'] },
    { title: 'with another amount under a used id', ops: [['a', 10], ['a', 11]], answers: ['10', 'topUpConflict'] },
    { title: 'under two ids', ops: [['a', 10], ['b', 10]], answers: ['10', '20'] },
    { title: 'lowered', ops: [['a', 10], ['b', -4]], answers: ['10', '6'] },
    { title: 'lowered below what is committed', ops: [['a', 10], ['b', -11]], answers: ['10', 'budgetBelowCommitted'] },
    { title: 'of zero tokens', ops: [['a', 0]], answers: ['amountInvalid'] },
    { title: 'of a fraction', ops: [['a', 0.5]], answers: ['amountInvalid'] }
  ]
  for (const { title, ops, answers } of topUps) {
    for (const loseAnswers of [0, 1]) {
      it(`answers a top-up ${title}, answers lost: ${loseAnswers}`, async () => {
        const harness = new DriverHarness()
        const found: string[] = []
        for (const [id, tokens] of ops) {
          harness.store.loseAnswers = loseAnswers
          found.push(await harness.topUp(tokens, id))
        }
        expect(found).to.deep.equal(answers)
      })
    }
  }

  it('does not report a top-up that was written as not executed if the budget cannot be read after it', async () => {
    const harness = new DriverHarness()
    await harness.topUp(10, 'a')
    harness.store.state.onCommit(() => { harness.store.outage = true })
    const failed = await harness.driver.topUp({ operationId: 'b', budget: 'b', tokens: 5, author: 'ana' })
    expect(failed.extract()).to.include({ code: 'platformUnavailable', ran: 'yes' })
    harness.store.outage = false
    expect(await harness.topUp(5, 'b')).to.equal('15')
  })

  for (const isRowMalformed of [false, true]) {
    it(`refills many budgets in one transaction${isRowMalformed ? ', except the one whose row is malformed' : ''}`, async () => {
      const harness = new DriverHarness()
      const budgets = ['b0', 'b1', 'b2', 'b3', 'b4']
      const held = (): number => harness.driver.views().reduce((sum, view) => sum + view.held, 0)
      for (const budget of budgets) await harness.driver.topUp({ operationId: budget, budget, tokens: 1e6, author: 'ana' })
      for (const budget of budgets) {
        const run = await harness.reserve(2000, budget)
        if ('reservationId' in run) harness.driver.settle(run, { requestId: budget, budget, team: 't', tokens: 2000, runner: 'r' })
      }
      await harness.advance(3000)
      const before = held()
      const draws: number[] = []
      harness.store.state.onCommit(rows => { draws.push(rows.filter(row => row.table === 'budgets').length) })
      if (isRowMalformed) harness.store.state.transact({ checks: [], writes: [{ table: 'budgets', key: 'b0', value: { budget: 'b0', paid: 'x' } }] })
      const runs = await Promise.all(budgets.map(async budget => (await harness.driver.reserve(budget, 2000, 5000)).extract()))
      runs.forEach((run, index) => {
        if ('reservationId' in run) harness.driver.settle(run, { requestId: `s${index}`, budget: budgets[index] ?? '', team: 't', tokens: 2000, runner: 'r' })
      })
      await harness.advance(4000)
      if (isRowMalformed) expect(harness.driver.views().filter(view => view.held < 8000).map(view => view.budget)).to.deep.equal(['b0'])
      else expect([draws.filter(count => count > 0), held() >= before]).to.deep.equal([[5], true])
    })
  }

  it('loses no bill during an outage and lost answers', async () => {
    const harness = new DriverHarness()
    await harness.topUp(10_000)
    harness.store.loseAnswers = 1
    const runs = [await harness.reserve(100), await harness.reserve(100), await harness.reserve(100)]
    harness.store.outage = true
    runs.forEach((run, index) => harness.settle(run, `r${index}`, 50))
    await harness.advance(60_000)
    harness.store.outage = false
    harness.store.loseAnswers = 3
    await harness.advance(60_000)
    expect(await harness.spent()).to.include({ spent: 150 })
  })
})
