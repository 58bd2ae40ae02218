/**
 * Transaction conflicts of many holders that draw on one budget, in virtual time: at the start,
 * with ample budget, and while the budget runs out.
 */
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import { BudgetHarness } from '../budget/budgetHarness.js'
import { plannedScale } from './plannedScale.js'
import { createPoint, type CapacityProbe, type ProbePoint, type ProbeSeries } from './probeTypes.js'

const DOMAINS = ['quito-centro', 'cumbaya', 'tababela', 'thu-duc', 'tan-binh', 'binh-thanh']
const VMS_PER_DOMAIN = [1, 2, 4, 8, 20]
const BUDGET = 'busiest'
const LATENCIES = { betweenDomains: 2, table: 3 }
const TICK_MS = 200
/** Interval between two requests of one VM. */
const REQUEST_INTERVAL_MS = 1_000
const RESERVED_TOKENS = 1_024
const USED_TOKENS = 224
const RUN_MS = 500
const AMPLE_TOKENS = 1_000_000_000
const START_MS = 60_000
const STEADY_MS = 240_000
/** Time for which the scarce budget covers the demand. */
const SCARCE_COVERAGE_MS = 120_000
const SECOND_MS = 1_000
const PERCENT = 100

interface Counts {
  readonly committed: number
  readonly conflicts: number
  readonly gaveUp: number
}

/** Simulated fleet on one budget, with counters. */
class HotBudgetRun {
  readonly harness: BudgetHarness
  private readonly drivers: BudgetDriver[] = []
  private gaveUp = 0
  private requests = 0

  constructor (vmsPerDomain: number, paid: number, seed: string) {
    this.harness = new BudgetHarness({
      seed,
      domains: DOMAINS,
      vmsPerDomain,
      latencies: LATENCIES,
      tickMs: TICK_MS,
      listLagMs: SECOND_MS,
      recoverEveryMs: SECOND_MS * SECOND_MS,
      spender: deps => {
        const driver = new BudgetDriver({ ...deps, log: { write: (_name, fields) => this.countExhaustedRetries(fields) } })
        this.drivers.push(driver)
        return driver
      }
    })
    const value = { budget: BUDGET, paid, spent: 0, allotted: 0 }
    this.harness.state.transact({ checks: [], writes: [{ table: budgetTables.budgets, key: BUDGET, value }] })
    for (const node of this.harness.nodes) this.ask(node, REQUEST_INTERVAL_MS * this.harness.random())
  }

  get counts (): Counts {
    const all = this.drivers.map(driver => driver.counters())
    return {
      committed: all.reduce((sum, item) => sum + item.tableWrites, 0),
      conflicts: all.reduce((sum, item) => sum + item.tableConflicts, 0),
      gaveUp: this.gaveUp
    }
  }

  /** Runs for some time and returns the counts of that time. */
  async countDuring (ms: number): Promise<Counts> {
    const before = this.counts
    await this.harness.time.runUntil(this.harness.time.mono + ms)
    const after = this.counts
    return { committed: after.committed - before.committed, conflicts: after.conflicts - before.conflicts, gaveUp: after.gaveUp - before.gaveUp }
  }

  private ask (node: BudgetHarness['nodes'][number], delayMs: number): void {
    this.harness.time.after(delayMs, () => {
      this.requests += 1
      this.harness.request(node, { requestId: `req-${this.requests}`, budget: BUDGET, tokens: RESERVED_TOKENS, used: USED_TOKENS, runMs: RUN_MS, giveUpAfterMs: SECOND_MS })
        .catch(err => { throw err })
      this.ask(node, REQUEST_INTERVAL_MS)
    })
  }

  private countExhaustedRetries (fields: Readonly<Record<string, unknown>> | undefined): void {
    if (String(fields?.detail).includes('conflicted too often')) this.gaveUp += 1
  }
}

const series = (quantity: string, unit: string): ProbeSeries => ({ role: 'table service', driver: 'holders of the busiest budget', quantity, unit, at: plannedScale.vms })

function phasePoints (phase: string, holders: number, ms: number, { committed, conflicts, gaveUp }: Counts): readonly ProbePoint[] {
  const attempts = committed + conflicts
  return [
    createPoint(series(`${phase}: conflicting transactions`, '%'), holders, attempts === 0 ? 0 : conflicts / attempts * PERCENT),
    createPoint(series(`${phase}: tries for each commit`, ''), holders, attempts / Math.max(1, committed)),
    createPoint(series(`${phase}: transactions tried`, '1/s'), holders, attempts * SECOND_MS / ms),
    createPoint(series(`${phase}: given up after 8 tries`, '1/s'), holders, gaveUp * SECOND_MS / ms)
  ]
}

async function measureHolders (vmsPerDomain: number, seed: string): Promise<readonly ProbePoint[]> {
  const holders = DOMAINS.length * vmsPerDomain
  const ample = new HotBudgetRun(vmsPerDomain, AMPLE_TOKENS, seed)
  const start = await ample.countDuring(START_MS)
  await ample.countDuring(START_MS)
  const steady = await ample.countDuring(STEADY_MS)
  const scarce = new HotBudgetRun(vmsPerDomain, holders * USED_TOKENS * SCARCE_COVERAGE_MS / REQUEST_INTERVAL_MS, seed)
  const end = await scarce.countDuring(SCARCE_COVERAGE_MS)
  return [
    ...phasePoints('first minute', holders, START_MS, start),
    ...phasePoints('plenty left', holders, STEADY_MS, steady),
    ...phasePoints('last two minutes of budget', holders, SCARCE_COVERAGE_MS, end)
  ]
}

/** Conflicts on the busiest budget by number of holders. */
export const hotBudgetProbe: CapacityProbe = {
  name: 'hot-budget',
  isTimeSensitive: false,
  run: async seed => {
    const points: ProbePoint[] = []
    for (const size of VMS_PER_DOMAIN) points.push(...await measureHolders(size, seed))
    return points
  }
}
