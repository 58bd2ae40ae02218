/**
 * Random faults against budget drivers in virtual time: partitions, outages, lost and slow answers,
 * killed VMs, freezes past expiry, clock steps, top-ups and drains; then all faults heal and all VMs drain.
 */
import fc from 'fast-check'
import { defaultBudgetPolicy, type BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import { auditBudgets } from './budgetAudit.js'
import type { SpenderParts } from './budgetVm.js'
import { BudgetWorld } from './budgetWorld.js'

const SECOND = 1000
const CHAOS_MS = 160 * SECOND
const HEAL_MS = 190 * SECOND
const DRAIN_MS = 45 * SECOND
const PAID = 8_000
const budgets = ['b0', 'b1']

/** Intervals short enough that holders expire within one case. */
const policy: BudgetPolicy = {
  ...defaultBudgetPolicy,
  horizonMs: 120 * SECOND,
  rateWindowMs: 30 * SECOND,
  minTokens: 1000,
  idleReturnMs: 70 * SECOND,
  allotmentExpiryMs: 60 * SECOND,
  marginMs: 3 * SECOND,
  requestTimeoutMs: 10 * SECOND
}

/** Counts of outcomes and events over many cases, to check their coverage. */
export type Tally = Map<string, number>

/** Creates the driver of one VM; a faulty driver shows that the audit can fail. */
export type DriverFactory = (parts: SpenderParts, policy: BudgetPolicy, log: BudgetLog) => BudgetDriver

/** Log that a driver writes to. */
export type BudgetLog = ConstructorParameters<typeof BudgetDriver>[0]['log']

/** Creates the unmodified driver. */
export const productDriver: DriverFactory = (parts, policy, log) => new BudgetDriver({ ...parts, policy, log })

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
  readonly world: BudgetWorld
  private requests = 0

  constructor (seed: number, private readonly tally: Tally, factory: DriverFactory = productDriver) {
    this.world = new BudgetWorld({
      seed: String(seed),
      domains: ['a', 'b'],
      vmsPerDomain: 2,
      latencies: { betweenDomains: 4, table: 5 },
      tickMs: 1000,
      listLagMs: 12 * SECOND,
      recoverEveryMs: 6 * SECOND,
      spender: parts => factory(parts, policy, { write: event => { this.count(event) } })
    })
  }

  async run (steps: readonly ChaosStep[]): Promise<readonly string[]> {
    const { time } = this.world
    for (const budget of budgets) this.topUp(budget, PAID, `first-${budget}`)
    for (const item of steps) time.after(item.at * SECOND + SECOND, () => this.apply(item))
    await time.runUntil(CHAOS_MS)
    this.heal()
    await time.runUntil(CHAOS_MS + HEAL_MS)
    for (const { vm, spender } of this.world.nodes) if (!vm.isDead && spender instanceof BudgetDriver) this.drain(spender)
    await time.runUntil(CHAOS_MS + HEAL_MS + DRAIN_MS)
    return auditBudgets(this.world)
  }

  private apply (item: ChaosStep): void {
    const { world } = this
    const { faults, time } = world
    const node = world.nodes[item.which % world.nodes.length]
    const domain = item.which % 2 === 0 ? 'a' : 'b'
    switch (item.kind) {
      case 'cut':
        faults.cut.add(domain)
        time.after(item.lasts * SECOND, () => faults.cut.delete(domain))
        break
      case 'outage':
        faults.outage = true
        time.after(item.lasts * SECOND, () => { faults.outage = false })
        break
      case 'lose':
        faults.lostAnswers = 0.4
        faults.lostRequests = 0.2
        time.after(item.lasts * SECOND, () => { this.stopLosing() })
        break
      case 'slow':
        faults.slowMs = 3000
        time.after(item.lasts * SECOND, () => { faults.slowMs = 0 })
        break
      case 'kill':
        if (node === undefined || node.vm.isDead) break
        world.kill(node)
        time.after(5 * SECOND, () => world.startVm(node.vm.domain))
        break
      case 'drain': if (node?.spender instanceof BudgetDriver && node.vm.isServing) this.drain(node.spender); break
      case 'step': if (node !== undefined) node.vm.wallOffset += (item.at - 75) * SECOND; break
      case 'freeze': node?.vm.freeze(item.lasts * SECOND, item.stopsMono); break
      case 'replace':
        if (node === undefined || !node.vm.isServing) break
        node.vm.freeze(item.lasts * SECOND, item.stopsMono)
        world.replace(node)
        break
      case 'topUp': if (item.tokens !== 0) this.topUp(budgets[item.which % 2] ?? 'b0', item.tokens, `op-${item.at}-${item.which}`); break
      case 'burst': this.burst(item.which, item.count, item.tokens); break
    }
  }

  private burst (choice: number, count: number, tokens: number): void {
    const { world } = this
    const serving = world.nodes.filter(node => node.vm.isServing)
    for (let index = 0; index < count; index += 1) {
      const node = serving[(choice + (index >> 2)) % Math.max(1, serving.length)]
      if (node === undefined) return
      this.requests += 1
      const used = Math.floor(tokens * world.random())
      world.request(node, { requestId: `r${this.requests}`, budget: budgets[choice % 2] ?? 'b0', tokens, used, runMs: 9000 * world.random(), giveUpAfterMs: 3000 })
        .then(end => { this.count(end.kind === 'refused' ? end.failure.code : 'admitted') })
        .catch(err => { throw err })
    }
  }

  private count (name: string): void {
    this.tally.set(name, (this.tally.get(name) ?? 0) + 1)
  }

  private topUp (budget: string, tokens: number, operationId: string): void {
    const driver = this.world.nodes.find(node => node.vm.isServing)?.spender
    if (driver instanceof BudgetDriver) driver.topUp({ operationId, budget, tokens, author: 'ana' }).catch(err => { throw err })
  }

  private drain (driver: BudgetDriver): void {
    driver.drain().catch(err => { throw err })
  }

  private stopLosing (): void {
    this.world.faults.lostAnswers = 0
    this.world.faults.lostRequests = 0
  }

  private heal (): void {
    const { faults, nodes } = this.world
    faults.cut.clear()
    faults.outage = false
    faults.slowMs = 0
    this.stopLosing()
    for (const { vm } of nodes) vm.wake()
  }
}
