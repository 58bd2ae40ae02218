/**
 * Budget probes of one VM: heap and tick time by number of budgets, and table load of idle budgets
 * and of requests in virtual time.
 */
import { setImmediate } from 'node:timers/promises'
import seedrandom from 'seedrandom'
import { BudgetLedger } from '@rosemaryspread/decisions/budget/budgetLedger.js'
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import type { BudgetAction, BudgetEvent } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import { TableState } from '../../table/tableState.js'
import { MemoryTableStore } from '../../table/memoryTableStore.js'
import { CountingTable } from './countingTable.js'
import { plannedVmLoad, plannedScale } from './plannedScale.js'
import { createPoint, type CapacityProbe, type ProbePoint, type ProbeSeries } from './probeTypes.js'
import { measureHeap, usPerCall } from './processMeter.js'

const HEAP_SIZES = [2_000, 8_000, 32_000]
const IDLE_SIZES = [200, 800, 3_200]
/** Shares of the planned load of one VM; the number of budgets scales with them. */
const LOAD_SHARES = [1 / 4, 1 / 2, 1]
const TICKS = 2_000
const ROUNDS = 3
const RESERVED_TOKENS = 1_024
const BILLED_TOKENS = 224
const PAID_TOKENS = 1_000_000_000
const SETUP_MS = 1_600_000
const IDLE_MS = 3_000_000
const REQUEST_MS = 4_000_000
const REQUEST_TICK_MS = 500
const SECOND_MS = 1_000
/** 788 budgets per request/s: 8,100 teams that all call every VM. */
const REQUEST_DRIVER = 'requests/s, one VM, 788 budgets each'
const log = { write: () => {} }

const series = (quantity: string, unit: string): ProbeSeries => ({ role: 'entry VM', driver: 'budgets drawn on', quantity, unit, at: plannedScale.teams })
const tableSeries = (driver: string, quantity: string, at: number): ProbeSeries => ({ role: 'table service', driver, quantity, unit: '1/s', at })

/** A ledger that drew on this many budgets and billed one request of each. */
function createLedger (budgets: number): { readonly ledger: BudgetLedger, readonly now: Instant } {
  const ledger = new BudgetLedger('quito-centro-a~0123456789ab')
  let mono = 0
  const dispatch = (event: BudgetEvent): void => {
    const now = { mono, wall: mono }
    for (const action of ledger.handle(event, now)) completeAction(action, now, dispatch)
  }
  for (let index = 0; index < budgets; index++) {
    mono += 1
    const budget = `budget-${index}`
    dispatch({ kind: 'reserve', reservationId: `r${index}`, budget, tokens: RESERVED_TOKENS })
    dispatch({ kind: 'settle', reservationId: `r${index}`, bill: createBill(`req-${index}`, budget) })
  }
  mono += SECOND_MS * SECOND_MS
  for (let index = 0; index < budgets; index++) dispatch({ kind: 'tick' })
  return { ledger, now: { mono, wall: mono } }
}

function createBill (requestId: string, budget: string): { requestId: string, budget: string, team: string, tokens: number, runner: string } {
  return { requestId, budget, team: budget, tokens: BILLED_TOKENS, runner: 'runner-1' }
}

function completeAction (action: BudgetAction, sentAt: Instant, dispatch: (event: BudgetEvent) => void): void {
  if (action.kind === 'draw') dispatch({ kind: 'drawAnswered', drawId: action.drawId, outcome: { kind: 'granted', tokens: action.tokens, left: PAID_TOKENS, sentAt } })
  if (action.kind === 'flush') dispatch({ kind: 'flushAnswered', seq: action.seq, outcome: { kind: 'durable', sentAt } })
}

/** Heap and tick time of a ledger by number of budgets. */
export const ledgerProbe: CapacityProbe = {
  name: 'ledger',
  isTimeSensitive: true,
  run: async () => {
    const points: ProbePoint[] = []
    for (const size of HEAP_SIZES) {
      const { retained, bytes } = measureHeap(() => createLedger(size))
      points.push(createPoint(series('heap of BudgetLedger', 'bytes'), size, bytes))
      const us = await usPerCall(TICKS, ROUNDS, () => retained.ledger.handle({ kind: 'tick' }, retained.now))
      points.push(createPoint(series('processor time of 10 ticks a second', 'us/s'), size, us * 10))
    }
    return points
  }
}

/** Budget driver of one VM over a counting table, in virtual time. */
class LedgerRun {
  readonly table: CountingTable
  private mono = 0
  private readonly driver: BudgetDriver
  private requests = 0

  constructor (budgets: number) {
    const state = new TableState(() => this.mono)
    for (let index = 0; index < budgets; index++) {
      const value = { budget: `budget-${index}`, paid: PAID_TOKENS, spent: 0, allotted: 0 }
      state.transact({ checks: [], writes: [{ table: budgetTables.budgets, key: value.budget, value }] })
    }
    this.table = new CountingTable(new MemoryTableStore(state))
    this.driver = new BudgetDriver({
      holder: 'quito-centro-a~0123456789ab',
      domain: 'quito-centro',
      store: this.table,
      peers: { members: () => [], requestTransfer: unexpectedPeerCall, recall: unexpectedPeerCall, confirmNoTransfers: unexpectedPeerCall },
      clock: { now: () => ({ mono: this.mono, wall: this.mono }) },
      log
    })
  }

  /** Advances virtual time in ticks and does some work before each. */
  async run (ms: number, tickMs: number, work: () => Promise<void> = async () => {}): Promise<void> {
    for (const end = this.mono + ms; this.mono < end;) {
      this.mono += tickMs
      await work()
      this.driver.tick()
      await setImmediate()
    }
  }

  /** Reserves and settles one request. */
  async request (budget: number): Promise<void> {
    this.requests += 1
    const name = `budget-${budget}`
    const reserved = await this.driver.reserve(name, RESERVED_TOKENS, SECOND_MS)
    this.driver.settle(reserved.unsafeCoerce(), createBill(`req-${this.requests}`, name))
  }

  /** Sends requests at a rate, each on a random budget. */
  async load (ratePerS: number, budgets: number, random: () => number): Promise<void> {
    let dueRequests = 0
    await this.run(REQUEST_MS, REQUEST_TICK_MS, async () => {
      for (dueRequests += ratePerS * REQUEST_TICK_MS / SECOND_MS; dueRequests >= 1; dueRequests -= 1) await this.request(Math.floor(random() * budgets))
    })
  }
}

async function unexpectedPeerCall (): Promise<never> {
  throw new Error('unexpected peer call: the fleet has one VM')
}

async function idlePoints (size: number): Promise<readonly ProbePoint[]> {
  const run = new LedgerRun(size)
  let next = 0
  const perTick = Math.ceil(size * SECOND_MS / SETUP_MS)
  await run.run(SETUP_MS, SECOND_MS, async () => {
    for (let count = 0; count < perTick && next < size; count++) await run.request(next++)
  })
  run.table.reset()
  await run.run(IDLE_MS, SECOND_MS)
  return tablePoints(run, 'budgets held idle, one VM', size, plannedScale.teams, IDLE_MS)
}

async function requestPoints (share: number, seed: string): Promise<readonly ProbePoint[]> {
  const random = seedrandom(seed)
  const rate = plannedVmLoad.requestsPerSecond * share
  const budgets = Math.round(plannedScale.teams * share)
  const run = new LedgerRun(budgets)
  await run.load(rate, budgets, random)
  run.table.reset()
  await run.load(rate, budgets, random)
  const bytesSeries = { role: 'entry VM', driver: REQUEST_DRIVER, quantity: 'bytes of budget calls, JSON texts', unit: 'bytes/s', at: plannedVmLoad.requestsPerSecond }
  const perSecond = run.table.counts.bytes * SECOND_MS / REQUEST_MS
  return [...tablePoints(run, REQUEST_DRIVER, rate, plannedVmLoad.requestsPerSecond, REQUEST_MS), createPoint(bytesSeries, rate, perSecond)]
}

function tablePoints (run: LedgerRun, driver: string, size: number, at: number, ms: number): readonly ProbePoint[] {
  const { reads, writes, rowsWritten } = run.table.counts
  const perSecond = (count: number): number => count * SECOND_MS / ms
  return [
    createPoint(tableSeries(driver, 'budget reads', at), size, perSecond(reads)),
    createPoint(tableSeries(driver, 'budget transactions', at), size, perSecond(writes)),
    createPoint(tableSeries(driver, 'budget rows written', at), size, perSecond(rowsWritten))
  ]
}

/** Table load of budgets. */
export const budgetTableProbe: CapacityProbe = {
  name: 'budget-table',
  isTimeSensitive: false,
  run: async seed => {
    const points: ProbePoint[] = []
    for (const size of IDLE_SIZES) points.push(...await idlePoints(size))
    for (const share of LOAD_SHARES) points.push(...await requestPoints(share, seed))
    return points
  }
}
