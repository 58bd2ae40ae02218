/**
 * Trials of the budget measurement in virtual time: one strategy under one fault and one demand.
 * All strategies receive the same requests.
 */
import { Right } from 'purify-ts'
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { budgetRowSchema } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import type { MeasureRow } from '../measureTypes.js'
import { overspend } from './budgetAudit.js'
import { EvenSplit, SharedTotal, WritePerRequest } from './budgetBaselines.js'
import type { SpenderDeps } from './budgetVm.js'
import { deployments, generateWorkload, type Deployment, type Workload } from './budgetWorkload.js'
import { BudgetHarness, type SpenderFactory } from './budgetHarness.js'

const MINUTE_MS = 60_000
const END_MS = 180 * MINUTE_MS
const FAULT_START_MS = 60 * MINUTE_MS
const FAULT_END_MS = 120 * MINUTE_MS
const KILL_TIMES_MS = [50 * MINUTE_MS, 100 * MINUTE_MS]
const RESTART_DELAY_MS = 30_000
const TOP_UP_AT_MS = 80 * MINUTE_MS
/** Share of the budget paid at the start when a top-up adds the rest. */
const INITIAL_SHARE = 0.45
const VMS_PER_DOMAIN = 2
const TABLE_LATENCY_MS = 4

/** Faults, by the names printed in the table. */
export const faults = ['none', 'partition of a domain 1 h', 'table outage 1 h', 'death of 2 VMs', 'top-up during partition'] as const
type Fault = typeof faults[number]

const log = { write: () => {} }
const createDriver = (deps: SpenderDeps): BudgetDriver => new BudgetDriver({ ...deps, log })

/** Strategies compared. */
const policies: ReadonlyArray<{ readonly name: string, readonly spender: SpenderFactory }> = [
  { name: 'rosemaryspread', spender: createDriver },
  { name: 'no recall', spender: deps => createDriver({ ...deps, peers: { ...deps.peers, recall: async () => Right({ returned: 0 }) } }) },
  { name: 'even split', spender: deps => new EvenSplit(deps, VMS_PER_DOMAIN * 3) },
  { name: 'write per request', spender: deps => new WritePerRequest(deps) },
  { name: 'shared total, no escrow', spender: deps => new SharedTotal(deps) }
]

/** One strategy under one fault. */
export interface Trial {
  readonly deployment: Deployment
  readonly fault: Fault
  readonly isSkewed: boolean
  readonly policy: string
  readonly spender: SpenderFactory
  readonly seed: string
}

/** Outcomes of the requests of one trial. */
class TrialCounts {
  refusals = 0
  falseRefusals = 0
  private readonly used = new Map<string, number>()

  admitted (budget: string, used: number): void {
    this.used.set(budget, (this.used.get(budget) ?? 0) + used)
  }

  refused (budget: string, tokens: number, paid: number): void {
    this.refusals += 1
    if (paid - (this.used.get(budget) ?? 0) >= tokens) this.falseRefusals += 1
  }

  /** Whether an admission with full knowledge of all costs would admit the request. */
  canAdmit (budget: string, tokens: number, paid: number): boolean {
    return paid - (this.used.get(budget) ?? 0) >= tokens
  }
}

function paidTokens (harness: BudgetHarness, budget: string): number {
  const row = harness.state.read([{ table: budgetTables.budgets, key: budget }]).rows[0]
  return row === null || row === undefined ? 0 : budgetRowSchema.parse(row.value).paid
}

function addPaidTokens (harness: BudgetHarness, workload: Workload, share: number): void {
  for (const [budget, tokens] of workload.paid) {
    const current = harness.state.read([{ table: budgetTables.budgets, key: budget }]).rows[0]
    const row = current === null || current === undefined ? { budget, paid: 0, spent: 0, allotted: 0 } : budgetRowSchema.parse(current.value)
    harness.state.transact({ checks: [], writes: [{ table: budgetTables.budgets, key: budget, value: { ...row, paid: row.paid + Math.floor(tokens * share) } }] })
  }
}

function injectFault (harness: BudgetHarness, fault: Fault, workload: Workload): void {
  const { time, faults: networkFaults } = harness
  const firstDomain = harness.shape.domains[0] ?? ''
  if (fault.includes('partition')) {
    time.after(FAULT_START_MS, () => networkFaults.cut.add(firstDomain))
    time.after(FAULT_END_MS, () => networkFaults.cut.delete(firstDomain))
  }
  if (fault === 'table outage 1 h') {
    time.after(FAULT_START_MS, () => { networkFaults.outage = true })
    time.after(FAULT_END_MS, () => { networkFaults.outage = false })
  }
  if (fault === 'top-up during partition') time.after(TOP_UP_AT_MS, () => { addPaidTokens(harness, workload, 1 - INITIAL_SHARE) })
  if (fault !== 'death of 2 VMs') return
  KILL_TIMES_MS.forEach((at, index) => time.after(at, () => {
    const node = harness.serving(harness.shape.domains[index] ?? '')[0]
    if (node === undefined) return
    harness.kill(node)
    time.after(RESTART_DELAY_MS, () => harness.startVm(node.vm.domain))
  }))
}

/** Runs one trial. */
export async function runTrial (trial: Trial): Promise<MeasureRow> {
  const { deployment, fault, isSkewed, policy } = trial
  const workload = generateWorkload(deployment, isSkewed, END_MS, trial.seed)
  const harness = new BudgetHarness({
    seed: trial.seed,
    domains: deployment.domains,
    vmsPerDomain: VMS_PER_DOMAIN,
    latencies: { betweenDomains: deployment.latencyMs, table: TABLE_LATENCY_MS },
    tickMs: 1_000,
    listLagMs: 20_000,
    recoverEveryMs: 30_000,
    spender: trial.spender
  })
  addPaidTokens(harness, workload, fault === 'top-up during partition' ? INITIAL_SHARE : 1)
  injectFault(harness, fault, workload)
  const counts = new TrialCounts()
  const fullKnowledge = new TrialCounts()
  for (const req of workload.requests) {
    harness.time.after(req.at, () => {
      const paid = paidTokens(harness, req.budget)
      if (fullKnowledge.canAdmit(req.budget, req.tokens, paid)) fullKnowledge.admitted(req.budget, req.used)
      else fullKnowledge.refused(req.budget, req.tokens, paid)
      const nodes = harness.serving(req.domain)
      const node = nodes[Math.floor(harness.random() * nodes.length)]
      if (node === undefined) return
      harness.request(node, req).then(outcome => {
        if (outcome.kind === 'admitted') counts.admitted(req.budget, req.used)
        else counts.refused(req.budget, req.tokens, paidTokens(harness, req.budget))
      }).catch(err => { throw err })
    })
  }
  await harness.time.runUntil(END_MS + MINUTE_MS)
  const writes = harness.nodes.reduce((sum, node) => sum + node.table.writes, 0)
  return {
    deployment: deployment.name,
    fault,
    demand: isSkewed ? 'skewed' : 'even',
    policy,
    overspend_tokens: overspend(harness),
    false_refusals_per_10k: Math.round(counts.falseRefusals * 10_000 / workload.requests.length),
    refusals: counts.refusals,
    refusals_full_knowledge: fullKnowledge.refusals,
    table_writes_per_request: Number((writes / workload.requests.length).toFixed(2))
  }
}

/** All trials in the order of the printed rows. */
export function allTrials (seed: string): readonly Trial[] {
  return deployments.flatMap(deployment => faults.flatMap(fault => [false, true].flatMap(isSkewed =>
    policies.map(({ name, spender }) => ({ deployment, fault, isSkewed, policy: name, spender, seed })))))
}
