/**
 * `npm run bench -- budgets`: processor time of a reservation with its settlement, and heap per
 * budget, by the number of budgets that one holder draws on.
 */
import seedrandom from 'seedrandom'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { BudgetLedger } from '@rosemaryspread/decisions/budget/budgetLedger.js'
import { defaultBudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import type { BudgetAction, BudgetEvent } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { DrawAction } from 'rosemaryspread/budget/drawExecutor.js'
import { DrawQueue } from 'rosemaryspread/budget/drawQueue.js'
import type { Measurement, MeasureRow } from '../measureTypes.js'

const sizes = [1_000, 10_000, 100_000]
const REQUESTS = 50_000
const TICKS = 2_000
/** Request rate of one VM at the planned scale. */
const REQUESTS_PER_SECOND = 10.3
const TICK_MS = 100
const RESERVED_TOKENS = 1_500
const USED_TOKENS = 700
const MICROS_PER_MS = 1_000

/** A ledger whose draws and flushes succeed immediately. */
class LedgerHarness {
  readonly ledger = new BudgetLedger('vm1~1', defaultBudgetPolicy)
  /** Table transactions of draws and flushes. */
  writes = 0
  mono = 0
  private readonly draws = new DrawQueue(defaultBudgetPolicy)

  dispatch (event: BudgetEvent): void {
    const now = { mono: this.mono, wall: this.mono }
    for (const action of this.ledger.handle(event, now)) this.answer(action)
  }

  tick (): void {
    this.dispatch({ kind: 'tick' })
    this.grantDraws(this.draws.dequeueDue({ mono: this.mono, wall: this.mono }))
  }

  request (id: string, budget: string): void {
    this.dispatch({ kind: 'reserve', reservationId: id, budget, tokens: RESERVED_TOKENS })
    this.dispatch({ kind: 'settle', reservationId: id, bill: { requestId: id, budget, team: budget, tokens: USED_TOKENS, runner: 'r' } })
  }

  private answer (action: BudgetAction): void {
    const sentAt = { mono: this.mono, wall: this.mono }
    if (action.kind === 'draw') this.grantDraws(this.draws.add(action, sentAt))
    if (action.kind === 'flush') {
      this.writes += 1
      this.dispatch({ kind: 'flushAnswered', seq: action.seq, outcome: { kind: 'durable', sentAt } })
    }
  }

  /** Grants a batch of draws in one transaction. */
  private grantDraws (draws: readonly DrawAction[]): void {
    if (draws.length === 0) return
    this.writes += 1
    this.draws.done(draws)
    const sentAt = { mono: this.mono, wall: this.mono }
    for (const { drawId, tokens } of draws) {
      this.dispatch({ kind: 'drawAnswered', drawId, outcome: { kind: 'granted', tokens, left: 1e9, sentAt } })
    }
  }
}

function heapBytes (): number {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  collectGarbage()
  return process.memoryUsage().heapUsed
}

function measureSize (size: number, seed: string): MeasureRow {
  const random = seedrandom(seed)
  const before = heapBytes()
  const harness = new LedgerHarness()
  for (let index = 0; index < size; index += 1) harness.request(`first${index}`, `budget-${index}`)
  for (let tick = 0; !harness.ledger.views().every(view => view.unsettled === 0); tick += 1) {
    harness.mono += defaultBudgetPolicy.flushMs
    harness.tick()
  }
  const bytes = (heapBytes() - before) / size
  const { writes: writesBefore } = harness
  const requestMs = timeRequests(harness, size, random)
  const writes = harness.writes - writesBefore
  return {
    budgets_drawn_on: size,
    bytes_per_budget: Math.round(bytes),
    microseconds_per_request: Number((requestMs * MICROS_PER_MS / REQUESTS).toFixed(1)),
    microseconds_per_tick: Number((timeTicks(harness) * MICROS_PER_MS / TICKS).toFixed(1)),
    table_writes_per_request: Number((writes / REQUESTS).toFixed(3))
  }
}

/** Milliseconds for all requests; they arrive at `REQUESTS_PER_SECOND` in virtual time, with the ticks between them included. */
function timeRequests (harness: LedgerHarness, size: number, random: () => number): number {
  const started = performance.now()
  let dueMs = 0
  for (let index = 0; index < REQUESTS; index += 1) {
    harness.request(`r${index}`, `budget-${Math.floor(size * random() ** 2)}`)
    for (dueMs += 1000 / REQUESTS_PER_SECOND; dueMs >= TICK_MS; dueMs -= TICK_MS) {
      harness.mono += TICK_MS
      harness.tick()
    }
  }
  return performance.now() - started
}

function timeTicks (harness: LedgerHarness): number {
  const started = performance.now()
  for (let index = 0; index < TICKS; index += 1) harness.tick()
  return performance.now() - started
}

/** Ledger cost by number of budgets. */
export const budgetBench: Measurement = {
  group: 'bench',
  name: 'budgets',
  title: 'time of a reservation and memory of a budget drawn on, by the number of budgets',
  run: async ({ seed }): Promise<readonly MeasureRow[]> => sizes.map(size => measureSize(size, seed))
}
