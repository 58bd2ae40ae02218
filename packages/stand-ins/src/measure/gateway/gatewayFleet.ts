/**
 * Simulates the budgets of a fleet of gateways in virtual time, with a rate-limited table store and links between the VMs.
 * Connections can stall: a call on a stalled connection times out, and the next call opens a new one.
 */
import { Left, Right, type Either } from 'purify-ts'
import seedrandom from 'seedrandom'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ReadAnswer, RowKey, ScanAnswer, ScanRequest, TableStore, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'
import type { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import { GRANT_METHOD, type GrantRequest, type Handover } from 'rosemaryspread/budget/budgetGrantCalls.js'
import { HAND_BACK_METHOD } from 'rosemaryspread/budget/grantReturnCalls.js'
import { settledTokens, surveyBudget } from 'rosemaryspread/budget/budgetSurvey.js'
import { BudgetPreparation } from 'rosemaryspread/gateway/budgetPreparation.js'
import { createBudgetDriver } from 'rosemaryspread/gateway/budgetDriverFactory.js'
import type { GrantedTokens } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { GrantPolicy } from '@rosemaryspread/decisions/budget/grantPolicy.js'
import { gatewayConfigSchema, type GatewayConfig } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import { MemoryTableStore } from '../../table/memoryTableStore.js'
import { TableState } from '../../table/tableState.js'
import { VirtualTime } from '../../time/virtualTime.js'

const TICK_MS = 50
/** Delay before a VM retries the recovery of its earlier process's allotments. */
const RECOVERY_RETRY_MS = 300
/** One-way latency between two VMs. */
const LINK_LATENCY_MS = 1
/** Round-trip time of a store call. */
const STORE_ROUND_TRIP_MS = 4
/** Transactions of one store partition run one after another. */
const TRANSACTION_MS = 1_000 / 300
/** A partition refuses transactions beyond this queueing time. */
const MAX_QUEUED_MS = 1_000
const STORE_TIMEOUT_MS = 1_000
const MS_PER_SECOND = 1_000
/** Share of the prepaid tokens that requests can rely on; the rest may be reserved by concurrent requests. */
const GUARANTEED_SHARE = 0.97

/** Size, traffic and store limits of a fleet. */
export interface FleetShape {
  readonly seed: string
  readonly vms: number
  readonly teams: number
  /** Calls per second that the store accepts from all VMs together. */
  readonly readsPerS: number
  readonly writesPerS: number
  readonly requestsPerS: number
  /** Prepaid tokens, as a multiple of the tokens that `prepaidTrafficMs` of traffic uses. */
  readonly prepaidRatio: number
  readonly prepaidTrafficMs: number
  /** Whether all callers of the largest team use the first VM. */
  readonly isLargestTeamPinned?: boolean
  /** Absent where granted tokens are kept and requests are served as they arrive. */
  readonly grants?: GrantPolicy
  /** Kinds of request: share of the traffic, reserved and used tokens, execution time, reservation timeout and priority. */
  readonly kinds: ReadonlyArray<{ readonly priority?: number, readonly part: number, readonly tokens: number, readonly used: number, readonly runMs: number, readonly waitMs: number }>
}

/** Outcomes of the requests that arrived in one time span. */
export interface FleetCounts {
  readonly asked: number
  readonly refused: number
  /** Refusals of requests whose reservation, on top of all used tokens, fits into {@link GUARANTEED_SHARE} of the prepaid tokens. */
  readonly wrongfullyRefused: number
  /** Refusals by result code. */
  readonly codes: Readonly<Record<string, number>>
  /** The wrong refusals by priority. */
  readonly wrongByPriority: Readonly<Record<number, number>>
  readonly storeCalls: number
  readonly peerCalls: number
}

/** Bills against use; tokens of requests that still run count as used. */
export interface BillComparison {
  /** Tokens counted as spent beyond those used. */
  readonly billedUnused: number
  /** Used tokens that are not counted as spent. */
  readonly unbilledUse: number
}

/** Counts of a time span in progress. */
interface OpenCounts {
  asked: number
  refused: number
  wrongfullyRefused: number
  readonly codes: Record<string, number>
  readonly wrongByPriority: Record<number, number>
}

/** A call from one VM to another. */
interface LinkCall {
  readonly method: string
  readonly params: unknown
}

interface FleetVm {
  readonly holder: string
  readonly address: string
  readonly budgets: BudgetDriver
  readonly preparation: BudgetPreparation
}

export class GatewayFleet {
  readonly time = new VirtualTime()
  private readonly random: () => number
  private readonly state = new TableState(() => this.time.mono)
  private vms: FleetVm[] = []
  /** Terminated holders: their pending store calls never complete. */
  private readonly ended = new Set<string>()
  private generation = 1
  private readonly config: GatewayConfig
  /** Stalled connections, as `caller callee`. */
  private readonly stalledLinks = new Set<string>()
  /** Links whose last call timed out, as `caller callee`. */
  private readonly timedOutLinks = new Set<string>()
  private readonly used = new Map<string, number>()
  private partitionFreeAt = 0
  /** VMs without the store, by address. */
  private readonly cutOffUntil = new Map<string, number>()
  private second = 0
  private reads = 0
  private writes = 0
  private storeCalls = 0
  private peerCalls = 0
  private requests = 0

  constructor (private readonly shape: FleetShape) {
    this.random = seedrandom(shape.seed)
    this.config = this.createConfig()
    for (let index = 0; index < shape.vms; index += 1) this.vms.push(this.startVm(`vm${index}`))
    this.tick()
  }

  /**
   * Runs traffic for a time span and counts the requests that arrive in it.
   * @param ms - virtual milliseconds
   */
  async serve (ms: number): Promise<FleetCounts> {
    const end = this.time.mono + ms
    const callsBefore = this.storeCalls
    const peerCallsBefore = this.peerCalls
    const counts: OpenCounts = { asked: 0, refused: 0, wrongfullyRefused: 0, codes: {}, wrongByPriority: {} }
    for (let at = this.nextArrivalMs(); at < ms; at += this.nextArrivalMs()) this.time.after(at, () => { this.startRequest(counts) })
    await this.time.runUntil(end)
    return { ...counts, storeCalls: this.storeCalls - callsBefore, peerCalls: this.peerCalls - peerCallsBefore }
  }

  /** Runs one recovery pass for terminated holders on each VM; resolves to the number of store calls made. */
  async recoverTerminated (): Promise<number> {
    const before = this.storeCalls
    await this.time.until(Promise.all(this.vms.map(async ({ budgets }) => { await budgets.recoverTerminated() })))
    return this.storeCalls - before
  }

  /** Stalls all connections that are open now. */
  stallConnections (): void {
    for (const { holder } of this.vms) {
      this.stalledLinks.add(`${holder} store`)
      for (const { address } of this.vms) this.stalledLinks.add(`${holder} ${address}`)
    }
  }

  /**
   * Cuts VMs off from the store; the links between them keep working.
   * @param ms - virtual milliseconds
   * @param vms - number of VMs, all by default
   */
  cutOffStore (ms: number, vms = this.vms.length): void {
    for (const { address } of this.vms.slice(0, vms)) this.cutOffUntil.set(address, this.time.mono + ms)
  }

  /**
   * Terminates all VMs at once and restarts them later; the new processes recover the allotments of the earlier ones.
   * @param downtimeMs - virtual milliseconds until the restart
   */
  async restartAll (downtimeMs: number): Promise<void> {
    await this.restart(this.vms, downtimeMs)
  }

  /** Terminates and restarts one VM after another. */
  async restartInTurn (vms: number, downtimeMs: number): Promise<void> {
    for (const { address } of this.vms.slice(0, vms)) await this.restart(this.vms.filter(vm => vm.address === address), downtimeMs)
  }

  /**
   * Stops VMs gracefully and restarts them; one that is not drained in time is terminated.
   * @param graceMs - virtual milliseconds until then
   */
  async restartGracefully (vms: number, graceMs: number, downtimeMs: number): Promise<void> {
    const stopped = this.vms.slice(0, vms)
    const drained = Promise.all(stopped.map(async ({ budgets }) => { await budgets.drain() }))
    await this.time.until(Promise.race([drained, this.time.sleep(graceMs)]))
    await this.restart(stopped, downtimeMs)
  }

  /** Used tokens as a share of all prepaid tokens. */
  get usedShare (): number {
    const paid = Object.values(this.config.teams).reduce((sum, { prepaidTokens }) => sum + (prepaidTokens ?? 0), 0)
    return [...this.used.values()].reduce((sum, tokens) => sum + tokens, 0) / paid
  }

  /** Compares the tokens that the store counts as spent with those that requests used, as sums over all budgets. */
  async compareBills (): Promise<BillComparison> {
    const store = new MemoryTableStore(this.state)
    let billedUnused = 0
    let unbilledUse = 0
    for (const team of Object.keys(this.config.teams)) {
      const survey = (await surveyBudget(store, team)).unsafeCoerce()
      const unused = (survey.budget?.spent ?? 0) + settledTokens(survey) - (this.used.get(team) ?? 0)
      billedUnused += unused
      unbilledUse += Math.max(0, -unused)
    }
    return { billedUnused, unbilledUse }
  }

  /** Sum over all budgets of the tokens used beyond the prepaid ones. */
  get overspent (): number {
    return Object.entries(this.config.teams).reduce((sum, [team, { prepaidTokens }]) =>
      sum + Math.max(0, (this.used.get(team) ?? 0) - (prepaidTokens ?? 0)), 0)
  }

  private async restart (vms: readonly FleetVm[], downtimeMs: number): Promise<void> {
    const names = vms.map(({ address }) => address)
    for (const { holder } of vms) this.ended.add(holder)
    this.vms = this.vms.filter(vm => !vms.includes(vm))
    this.generation += 1
    await this.time.run(downtimeMs)
    const started = names.map(name => this.startVm(name))
    this.vms.push(...started)
    for (const { budgets } of started) this.recoverPredecessors(budgets)
  }

  private createConfig (): GatewayConfig {
    const { teams, kinds, requestsPerS, prepaidTrafficMs, prepaidRatio } = this.shape
    const meanTokens = kinds.reduce((sum, { part, used }) => sum + part * used, 0)
    const totalTokens = meanTokens * requestsPerS * prepaidTrafficMs / MS_PER_SECOND * prepaidRatio
    const names = Array.from({ length: teams }, (_, index) => `team${index}`)
    const weights = names.map((_, index) => weightOf(index))
    const weightSum = weights.reduce((total, weight) => total + weight, 0)
    return gatewayConfigSchema.parse({
      version: 1,
      routes: [],
      services: {},
      teams: Object.fromEntries(names.map((name, index) => [name, { keyHashes: [], prepaidTokens: Math.floor(totalTokens * (weights[index] ?? 0) / weightSum) }])),
      limits: {}
    })
  }

  private startVm (name: string): FleetVm {
    const holder = `${name}~${this.generation}`
    const startedAt = this.time.mono
    const otherVms = (): readonly FleetVm[] => this.vms.filter(vm => vm.holder !== holder)
    const budgets = createBudgetDriver({
      holder,
      domain: `domain${this.vms.length % 3}`,
      place: name,
      store: this.createStore(holder, name),
      // The monotonic clock of a process starts at 0.
      grants: this.shape.grants,
      clock: { now: () => ({ mono: this.time.mono - startedAt, wall: this.time.mono }) },
      log: { write: () => {} },
      fleet: {
        members: () => otherVms().map(vm => ({ holder: vm.holder, domain: '' })),
        peers: () => otherVms().map(vm => ({ holder: vm.holder, address: vm.address })),
        get size () { return otherVms().length + 1 }
      },
      call: async (address, method, params, timeoutMs) => await this.callVm(holder, address, { method, params }, timeoutMs),
      declared: team => ({ tokens: this.config.teams[team]?.prepaidTokens ?? 0, version: this.config.version })
    })
    return { holder, address: name, budgets, preparation: new BudgetPreparation(name, budgets) }
  }

  private recoverPredecessors (budgets: BudgetDriver): void {
    budgets.recoverPredecessors().then(isDone => {
      if (!isDone) this.time.after(RECOVERY_RETRY_MS, () => { this.recoverPredecessors(budgets) })
    }, err => { throw err })
  }

  private tick (): void {
    for (const { budgets, preparation } of this.vms) {
      preparation.tick(this.config, this.time.mono)
      budgets.tick()
    }
    this.time.after(TICK_MS, () => { this.tick() })
  }

  private startRequest (counts: OpenCounts): void {
    const { kinds } = this.shape
    const kind = kinds[pickWeighted(kinds.map(({ part }) => part), this.random())]
    const index = pickWeighted(Object.keys(this.config.teams).map((_, index) => weightOf(index)), this.random())
    const team = `team${index}`
    const vm = this.vms[index === 0 && this.shape.isLargestTeamPinned === true ? 0 : Math.floor(this.random() * this.vms.length)]
    if (kind === undefined || vm === undefined) return
    this.requests += 1
    const requestId = `r${this.requests}`
    counts.asked += 1
    vm.budgets.reserve(team, kind.tokens, kind.waitMs, kind.priority).then(reserved => reserved.caseOf({
      Left: ({ code, message }) => {
        counts.refused += 1
        if (this.isWithinGuarantee(team, kind.tokens)) {
          const priority = kind.priority ?? 0
          counts.wrongfullyRefused += 1
          counts.wrongByPriority[priority] = (counts.wrongByPriority[priority] ?? 0) + 1
        }
        counts.codes[code] = (counts.codes[code] ?? 0) + 1
      },
      Right: reservation => {
        this.used.set(team, (this.used.get(team) ?? 0) + kind.used)
        this.time.after(kind.runMs, () => { if (!this.ended.has(vm.holder)) vm.budgets.settle(reservation, { requestId, budget: team, team, tokens: kind.used, runner: '' }) })
      }
    }), err => { throw err })
  }

  private isWithinGuarantee (team: string, tokens: number): boolean {
    return (this.used.get(team) ?? 0) + tokens <= GUARANTEED_SHARE * (this.config.teams[team]?.prepaidTokens ?? 0)
  }

  private nextArrivalMs (): number {
    return -Math.log(1 - this.random()) * MS_PER_SECOND / this.shape.requestsPerS
  }

  private async callVm (from: string, address: string, call: LinkCall, timeoutMs: number): Promise<Either<Failure, unknown>> {
    this.peerCalls += 1
    if (this.stalledLinks.delete(`${from} ${address}`)) {
      this.timedOutLinks.add(`${from} ${address}`)
      await this.time.sleep(timeoutMs)
      return Left(new Failure('peerUnreachable', 'peer call timed out', { ran: 'unknown' }))
    }
    await this.time.sleep(LINK_LATENCY_MS)
    if (this.timedOutLinks.delete(`${from} ${address}`)) this.clearStalled(from)
    if (!this.vms.some(vm => vm.address === address)) return Left(new Failure('peerUnreachable', 'connection refused', { ran: 'no' }))
    const answer = this.answer(address, call)
    await this.time.sleep(LINK_LATENCY_MS)
    return Right(answer)
  }

  private answer (address: string, { method, params }: LinkCall): unknown {
    const budgets = this.vms.find(vm => vm.address === address)?.budgets
    if (method === GRANT_METHOD) return budgets?.onGrantRequest(params as GrantRequest)
    if (method === HAND_BACK_METHOD) return budgets?.onHandBack((params as { readonly grants: readonly GrantedTokens[] }).grants)
    const { budget, tokens } = params as Handover
    budgets?.onHandover(budget, tokens)
    return null
  }

  /** Mirrors the peer client: a response on a new link makes it replace its other stalled links. */
  private clearStalled (from: string): void {
    for (const { address } of this.vms) this.stalledLinks.delete(`${from} ${address}`)
  }

  private createStore (holder: string, address: string): TableStore {
    const caller = { holder, address }
    return {
      // The modelled store reads one row per call.
      read: async (keys: readonly RowKey[]) => await this.callStore<ReadAnswer>(caller, keys.length, 0, () => Right(this.state.read(keys))),
      scan: async (req: ScanRequest) => await this.callStore<ScanAnswer>(caller, 1, 0, () => Right(this.state.scan(req))),
      transact: async (tx: Transaction) => await this.callStore<TransactAnswer>(caller, 0, 1, () =>
        this.state.transact(structuredClone(tx)).mapLeft(() => new Failure('platformConflict', 'transaction condition failed: a row has changed', { ran: 'no' })))
    }
  }

  private async callStore<T> ({ holder, address }: Pick<FleetVm, 'holder' | 'address'>, reads: number, writes: number, execute: () => Either<Failure, T>): Promise<Either<Failure, T>> {
    if (this.ended.has(holder)) return await new Promise(() => {})
    this.storeCalls += reads + writes
    if (this.stalledLinks.delete(`${holder} store`) || this.time.mono < (this.cutOffUntil.get(address) ?? 0)) {
      await this.time.sleep(STORE_TIMEOUT_MS)
      return Left(new Failure(writes > 0 ? 'platformOutcomeUnknown' : 'platformUnavailable', 'store call timed out', { ran: 'unknown' }))
    }
    await this.time.sleep(STORE_ROUND_TRIP_MS / 2)
    const isAdmitted = this.admitCalls(reads, writes)
    const queuedMs = writes === 0 ? 0 : Math.max(0, this.partitionFreeAt - this.time.mono)
    if (!isAdmitted || queuedMs > MAX_QUEUED_MS) {
      await this.time.sleep(STORE_ROUND_TRIP_MS / 2)
      return Left(new Failure('platformUnavailable', 'store rate or queue limit exceeded', { ran: 'no' }))
    }
    if (writes > 0) {
      this.partitionFreeAt = this.time.mono + queuedMs + TRANSACTION_MS
      await this.time.sleep(queuedMs + TRANSACTION_MS)
    }
    const answer = execute()
    await this.time.sleep(STORE_ROUND_TRIP_MS / 2)
    return answer
  }

  private admitCalls (reads: number, writes: number): boolean {
    const second = Math.floor(this.time.mono / MS_PER_SECOND)
    if (second !== this.second) Object.assign(this, { second, reads: 0, writes: 0 })
    this.reads += reads
    this.writes += writes
    return this.reads <= this.shape.readsPerS && this.writes <= this.shape.writesPerS
  }
}

/** Traffic weight of a team; the first team sends most. */
function weightOf (index: number): number {
  return 1 / (index + 1)
}

/** Maps a random number in [0, 1) to an index by weight. */
function pickWeighted (weights: readonly number[], value: number): number {
  let remaining = value * weights.reduce((sum, weight) => sum + weight, 0)
  const index = weights.findIndex(weight => {
    remaining -= weight
    return remaining < 0
  })
  return Math.max(0, index)
}
