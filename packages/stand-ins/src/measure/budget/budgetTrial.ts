/**
 * Trials of the budget measurement in virtual time: one strategy under one fault and one demand.
 * All strategies get the same requests.
 */
import { Right } from 'purify-ts'
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { budgetRowSchema } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import type { MeasureRow } from '../measureTypes.js'
import { overspend } from './budgetAudit.js'
import { EvenSplit, SharedTotal, WritePerRequest } from './budgetBaselines.js'
import type { SpenderParts } from './budgetVm.js'
import { deployments, drawWorkload, type Deployment, type Workload } from './budgetWorkload.js'
import { BudgetWorld, type SpenderFactory } from './budgetWorld.js'

const MINUTE = 60_000
const END_MS = 180 * MINUTE
const FAULT_FROM = 60 * MINUTE
const FAULT_TO = 120 * MINUTE
const DEATHS = [50 * MINUTE, 100 * MINUTE]
const RESTART_MS = 30_000
const TOP_UP_AT = 80 * MINUTE
/** Share of the budget paid at the start when a top-up adds the rest. */
const FIRST_PART = 0.45
const VMS_PER_DOMAIN = 2
const TABLE_MS = 4

/** Faults, by the names printed in the table. */
export const faults = ['none', 'partition of a domain 1 h', 'table outage 1 h', 'death of 2 VMs', 'top-up during partition'] as const
type Fault = typeof faults[number]

const log = { write: () => {} }
const driver = (parts: SpenderParts): BudgetDriver => new BudgetDriver({ ...parts, log })

/** Strategies compared. */
const policies: ReadonlyArray<{ readonly name: string, readonly spender: SpenderFactory }> = [
  { name: 'rosemaryspread', spender: driver },
  { name: 'no recall', spender: parts => driver({ ...parts, peers: { ...parts.peers, recall: async () => Right({ returned: 0 }) } }) },
  { name: 'even split', spender: parts => new EvenSplit(parts, VMS_PER_DOMAIN * 3) },
  { name: 'write per request', spender: parts => new WritePerRequest(parts) },
  { name: 'shared total, no escrow', spender: parts => new SharedTotal(parts) }
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
  couldServe (budget: string, tokens: number, paid: number): boolean {
    return paid - (this.used.get(budget) ?? 0) >= tokens
  }
}

function paidIn (world: BudgetWorld, budget: string): number {
  const row = world.state.read([{ table: budgetTables.budgets, key: budget }]).rows[0]
  return row === null || row === undefined ? 0 : budgetRowSchema.parse(row.value).paid
}

function pay (world: BudgetWorld, workload: Workload, part: number): void {
  for (const [budget, tokens] of workload.paid) {
    const found = world.state.read([{ table: budgetTables.budgets, key: budget }]).rows[0]
    const row = found === null || found === undefined ? { budget, paid: 0, spent: 0, allotted: 0 } : budgetRowSchema.parse(found.value)
    world.state.transact({ checks: [], writes: [{ table: budgetTables.budgets, key: budget, value: { ...row, paid: row.paid + Math.floor(tokens * part) } }] })
  }
}

function inject (world: BudgetWorld, fault: Fault, workload: Workload): void {
  const { time, faults: present } = world
  const first = world.shape.domains[0] ?? ''
  if (fault.includes('partition')) {
    time.after(FAULT_FROM, () => present.cut.add(first))
    time.after(FAULT_TO, () => present.cut.delete(first))
  }
  if (fault === 'table outage 1 h') {
    time.after(FAULT_FROM, () => { present.outage = true })
    time.after(FAULT_TO, () => { present.outage = false })
  }
  if (fault === 'top-up during partition') time.after(TOP_UP_AT, () => { pay(world, workload, 1 - FIRST_PART) })
  if (fault !== 'death of 2 VMs') return
  DEATHS.forEach((at, index) => time.after(at, () => {
    const node = world.serving(world.shape.domains[index] ?? '')[0]
    if (node === undefined) return
    world.kill(node)
    time.after(RESTART_MS, () => world.startVm(node.vm.domain))
  }))
}

/** Runs one trial. */
export async function runTrial (trial: Trial): Promise<MeasureRow> {
  const { deployment, fault, isSkewed, policy } = trial
  const workload = drawWorkload(deployment, isSkewed, END_MS, trial.seed)
  const world = new BudgetWorld({
    seed: trial.seed,
    domains: deployment.domains,
    vmsPerDomain: VMS_PER_DOMAIN,
    latencies: { betweenDomains: deployment.latencyMs, table: TABLE_MS },
    tickMs: 1_000,
    listLagMs: 20_000,
    recoverEveryMs: 30_000,
    spender: trial.spender
  })
  pay(world, workload, fault === 'top-up during partition' ? FIRST_PART : 1)
  inject(world, fault, workload)
  const counts = new TrialCounts()
  const bound = new TrialCounts()
  for (const req of workload.requests) {
    world.time.after(req.at, () => {
      const paid = paidIn(world, req.budget)
      if (bound.couldServe(req.budget, req.tokens, paid)) bound.admitted(req.budget, req.used)
      else bound.refused(req.budget, req.tokens, paid)
      const nodes = world.serving(req.domain)
      const node = nodes[Math.floor(world.random() * nodes.length)]
      if (node === undefined) return
      world.request(node, req).then(end => {
        if (end.kind === 'admitted') counts.admitted(req.budget, req.used)
        else counts.refused(req.budget, req.tokens, paidIn(world, req.budget))
      }).catch(err => { throw err })
    })
  }
  await world.time.runUntil(END_MS + MINUTE)
  const writes = world.nodes.reduce((sum, node) => sum + node.table.writes, 0)
  return {
    deployment: deployment.name,
    fault,
    demand: isSkewed ? 'skewed' : 'even',
    policy,
    overspend_tokens: overspend(world),
    false_refusals_per_10k: Math.round(counts.falseRefusals * 10_000 / workload.requests.length),
    refusals: counts.refusals,
    refusals_full_knowledge: bound.refusals,
    table_writes_per_request: Number((writes / workload.requests.length).toFixed(2))
  }
}

/** All trials in the order of the printed rows. */
export function trialsOf (seed: string): readonly Trial[] {
  return deployments.flatMap(deployment => faults.flatMap(fault => [false, true].flatMap(isSkewed =>
    policies.map(({ name, spender }) => ({ deployment, fault, isSkewed, policy: name, spender, seed })))))
}
