/**
 * Transaction conflicts of many holders that draw on one budget, in virtual time: at the start,
 * with ample budget, and while the budget runs out.
 */
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import { BudgetWorld } from '../budget/budgetWorld.js'
import { target } from './capacityTarget.js'
import { pointOf, type CapacityProbe, type ProbePoint, type ProbeSeries } from './probeTypes.js'

const DOMAINS = ['quito-centro', 'cumbaya', 'tababela', 'thu-duc', 'tan-binh', 'binh-thanh']
const VMS_PER_DOMAIN = [1, 2, 4, 8, 20]
const BUDGET = 'busiest'
const LATENCIES = { betweenDomains: 2, table: 3 }
const TICK_MS = 200
/** Interval between two requests of one VM. */
const EVERY_MS = 1_000
const WORST_CASE = 1_024
const USED = 224
const RUN_MS = 500
const PLENTY = 1_000_000_000
const START_MS = 60_000
const STEADY_MS = 240_000
/** Time for which the scarce budget covers the demand. */
const SCARCE_MS = 120_000
const SECOND_MS = 1_000
const PERCENT = 100

interface Counts {
  readonly committed: number
  readonly conflicts: number
  readonly gaveUp: number
}

/** Simulated fleet on one budget, with counters. */
class HotBudget {
  readonly world: BudgetWorld
  private readonly drivers: BudgetDriver[] = []
  private gaveUp = 0
  private requests = 0

  constructor (vmsPerDomain: number, paid: number, seed: string) {
    this.world = new BudgetWorld({
      seed,
      domains: DOMAINS,
      vmsPerDomain,
      latencies: LATENCIES,
      tickMs: TICK_MS,
      listLagMs: SECOND_MS,
      recoverEveryMs: SECOND_MS * SECOND_MS,
      spender: parts => {
        const driver = new BudgetDriver({ ...parts, log: { write: (_name, fields) => this.note(fields) } })
        this.drivers.push(driver)
        return driver
      }
    })
    const value = { budget: BUDGET, paid, spent: 0, allotted: 0 }
    this.world.state.transact({ checks: [], writes: [{ table: budgetTables.budgets, key: BUDGET, value }] })
    for (const node of this.world.nodes) this.ask(node, EVERY_MS * this.world.random())
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
  async during (ms: number): Promise<Counts> {
    const before = this.counts
    await this.world.time.runUntil(this.world.time.mono + ms)
    const after = this.counts
    return { committed: after.committed - before.committed, conflicts: after.conflicts - before.conflicts, gaveUp: after.gaveUp - before.gaveUp }
  }

  private ask (node: BudgetWorld['nodes'][number], after: number): void {
    this.world.time.after(after, () => {
      this.requests += 1
      this.world.request(node, { requestId: `req-${this.requests}`, budget: BUDGET, tokens: WORST_CASE, used: USED, runMs: RUN_MS, giveUpAfterMs: SECOND_MS })
        .catch(err => { throw err })
      this.ask(node, EVERY_MS)
    })
  }

  private note (fields: Readonly<Record<string, unknown>> | undefined): void {
    if (String(fields?.detail).includes('conflicted too often')) this.gaveUp += 1
  }
}

const series = (quantity: string, unit: string): ProbeSeries => ({ role: 'table service', driver: 'holders of the busiest budget', quantity, unit, at: target.vms })

function phasePoints (phase: string, holders: number, ms: number, { committed, conflicts, gaveUp }: Counts): readonly ProbePoint[] {
  const tries = committed + conflicts
  return [
    pointOf(series(`${phase}: conflicting transactions`, '%'), holders, tries === 0 ? 0 : conflicts / tries * PERCENT),
    pointOf(series(`${phase}: tries for each commit`, ''), holders, tries / Math.max(1, committed)),
    pointOf(series(`${phase}: transactions tried`, '1/s'), holders, tries * SECOND_MS / ms),
    pointOf(series(`${phase}: given up after 8 tries`, '1/s'), holders, gaveUp * SECOND_MS / ms)
  ]
}

async function measureHolders (vmsPerDomain: number, seed: string): Promise<readonly ProbePoint[]> {
  const holders = DOMAINS.length * vmsPerDomain
  const plenty = new HotBudget(vmsPerDomain, PLENTY, seed)
  const start = await plenty.during(START_MS)
  await plenty.during(START_MS)
  const steady = await plenty.during(STEADY_MS)
  const scarce = new HotBudget(vmsPerDomain, holders * USED * SCARCE_MS / EVERY_MS, seed)
  const end = await scarce.during(SCARCE_MS)
  return [
    ...phasePoints('first minute', holders, START_MS, start),
    ...phasePoints('plenty left', holders, STEADY_MS, steady),
    ...phasePoints('last two minutes of budget', holders, SCARCE_MS, end)
  ]
}

/** Conflicts on the busiest budget by number of holders. */
export const hotBudgetProbe: CapacityProbe = {
  name: 'hot-budget',
  timed: false,
  run: async seed => {
    const points: ProbePoint[] = []
    for (const size of VMS_PER_DOMAIN) points.push(...await measureHolders(size, seed))
    return points
  }
}
