/**
 * Random faults against budget drivers in virtual time: partitions, outages, lost and slow answers,
 * killed VMs, freezes past expiry, clock steps, top-ups and drains; then all faults heal and all VMs drain.
 */
import fc from 'fast-check'
import { defaultBudgetPolicy, type BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import { auditBudgets } from './budgetAudit.js'
import type { SpenderDeps } from './budgetVm.js'
import { BudgetHarness } from './budgetHarness.js'

const SECOND_MS = 1000
const CHAOS_MS = 160 * SECOND_MS
const HEAL_MS = 190 * SECOND_MS
const DRAIN_MS = 45 * SECOND_MS
const PAID_TOKENS = 8_000
const budgets = ['b0', 'b1']

/** Intervals short enough that holders expire within one case. */
const policy: BudgetPolicy = {
  ...defaultBudgetPolicy,
  horizonMs: 120 * SECOND_MS,
  rateWindowMs: 30 * SECOND_MS,
  minTokens: 1000,
  idleReturnMs: 70 * SECOND_MS,
  allotmentExpiryMs: 60 * SECOND_MS,
  marginMs: 3 * SECOND_MS,
  requestTimeoutMs: 10 * SECOND_MS
}

/** Counts of outcomes and events over many cases, to check their coverage. */
export type Tally = Map<string, number>

/** Creates the driver of one VM; a faulty driver shows that the audit can fail. */
export type DriverFactory = (deps: SpenderDeps, policy: BudgetPolicy, log: BudgetLog) => BudgetDriver

/** Log that a driver writes to. */
export type BudgetLog = ConstructorParameters<typeof BudgetDriver>[0]['log']

/** Creates the unmodified driver. */
export const productDriver: DriverFactory = (deps, policy, log) => new BudgetDriver({ ...deps, policy, log })

/** One step of a case; `at` and `lasts` in seconds. `which` selects a VM, domain or budget, modulo their number. */
export type ChaosStep =
  | { readonly kind: 'cut' | 'outage' | 'lose' | 'slow', readonly at: number, readonly lasts: number, readonly which: number }
  | { readonly kind: 'kill' | 'drain' | 'step', readonly at: number, readonly which: number }
  | { readonly kind: 'freeze' | 'replace', readonly at: number, readonly lasts: number, readonly which: number, readonly stopsMono: boolean }
  | { readonly kind: 'topUp', readonly at: number, readonly which: number, readonly tokens: number }
  | { readonly kind: 'burst', readonly at: number, readonly which: number, readonly count: number, readonly tokens: number }

const at = fc.integer({ min: 0, max: 150 })
const lasts = fc.integer({ min: 1, max: 110 })
const which = fc.integer({ min: 0, max: 7 })
/** Generates any step; bursts of requests are the most frequent. */
export const chaosStep: fc.Arbitrary<ChaosStep> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('cut' as const, 'outage' as const, 'lose' as const, 'slow' as const), at, lasts, which }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('kill' as const, 'drain' as const, 'step' as const), at, which }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('freeze' as const, 'replace' as const), at, lasts, which, stopsMono: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('topUp' as const), at, which, tokens: fc.integer({ min: -3000, max: 9000 }) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('burst' as const), at, which, count: fc.integer({ min: 1, max: 12 }), tokens: fc.integer({ min: 50, max: 3000 }) }) }
)

/** Runs one case. */
export class ChaosRun {
  readonly harness: BudgetHarness
  private requests = 0

  constructor (seed: number, private readonly tally: Tally, factory: DriverFactory = productDriver) {
    this.harness = new BudgetHarness({
      seed: String(seed),
      domains: ['a', 'b'],
      vmsPerDomain: 2,
      latencies: { betweenDomains: 4, table: 5 },
      tickMs: 1000,
      listLagMs: 12 * SECOND_MS,
      recoverEveryMs: 6 * SECOND_MS,
      spender: deps => factory(deps, policy, { write: event => { this.count(event) } })
    })
  }

  async run (steps: readonly ChaosStep[]): Promise<readonly string[]> {
    const { time } = this.harness
    for (const budget of budgets) this.topUp(budget, PAID_TOKENS, `first-${budget}`)
    for (const step of steps) time.after(step.at * SECOND_MS + SECOND_MS, () => this.apply(step))
    await time.runUntil(CHAOS_MS)
    this.heal()
    await time.runUntil(CHAOS_MS + HEAL_MS)
    for (const { vm, spender } of this.harness.nodes) if (!vm.isDead && spender instanceof BudgetDriver) this.drain(spender)
    await time.runUntil(CHAOS_MS + HEAL_MS + DRAIN_MS)
    return auditBudgets(this.harness)
  }

  private apply (step: ChaosStep): void {
    const { harness } = this
    const { faults, time } = harness
    const node = harness.nodes[step.which % harness.nodes.length]
    const domain = step.which % 2 === 0 ? 'a' : 'b'
    switch (step.kind) {
      case 'cut':
        faults.cut.add(domain)
        time.after(step.lasts * SECOND_MS, () => faults.cut.delete(domain))
        break
      case 'outage':
        faults.outage = true
        time.after(step.lasts * SECOND_MS, () => { faults.outage = false })
        break
      case 'lose':
        faults.lostAnswerShare = 0.4
        faults.lostRequestShare = 0.2
        time.after(step.lasts * SECOND_MS, () => { this.stopMessageLoss() })
        break
      case 'slow':
        faults.slowMs = 3000
        time.after(step.lasts * SECOND_MS, () => { faults.slowMs = 0 })
        break
      case 'kill':
        if (node === undefined || node.vm.isDead) break
        harness.kill(node)
        time.after(5 * SECOND_MS, () => harness.startVm(node.vm.domain))
        break
      case 'drain': if (node?.spender instanceof BudgetDriver && node.vm.isServing) this.drain(node.spender); break
      case 'step': if (node !== undefined) node.vm.wallOffsetMs += (step.at - 75) * SECOND_MS; break
      case 'freeze': node?.vm.freeze(step.lasts * SECOND_MS, step.stopsMono); break
      case 'replace':
        if (node === undefined || !node.vm.isServing) break
        node.vm.freeze(step.lasts * SECOND_MS, step.stopsMono)
        harness.replace(node)
        break
      case 'topUp': if (step.tokens !== 0) this.topUp(budgets[step.which % 2] ?? 'b0', step.tokens, `op-${step.at}-${step.which}`); break
      case 'burst': this.burst(step.which, step.count, step.tokens); break
    }
  }

  private burst (selector: number, count: number, tokens: number): void {
    const { harness } = this
    const serving = harness.nodes.filter(node => node.vm.isServing)
    for (let index = 0; index < count; index += 1) {
      const node = serving[(selector + (index >> 2)) % Math.max(1, serving.length)]
      if (node === undefined) return
      this.requests += 1
      const used = Math.floor(tokens * harness.random())
      harness.request(node, { requestId: `r${this.requests}`, budget: budgets[selector % 2] ?? 'b0', tokens, used, runMs: 9000 * harness.random(), giveUpAfterMs: 3000 })
        .then(outcome => { this.count(outcome.kind === 'refused' ? outcome.failure.code : 'admitted') })
        .catch(err => { throw err })
    }
  }

  private count (name: string): void {
    this.tally.set(name, (this.tally.get(name) ?? 0) + 1)
  }

  private topUp (budget: string, tokens: number, operationId: string): void {
    const driver = this.harness.nodes.find(node => node.vm.isServing)?.spender
    if (driver instanceof BudgetDriver) driver.topUp({ operationId, budget, tokens, author: 'ana' }).catch(err => { throw err })
  }

  private drain (driver: BudgetDriver): void {
    driver.drain().catch(err => { throw err })
  }

  private stopMessageLoss (): void {
    this.harness.faults.lostAnswerShare = 0
    this.harness.faults.lostRequestShare = 0
  }

  private heal (): void {
    const { faults, nodes } = this.harness
    faults.cut.clear()
    faults.outage = false
    faults.slowMs = 0
    this.stopMessageLoss()
    for (const { vm } of nodes) vm.wake()
  }
}
