/**
 * Budgets of a whole fleet of gateways in virtual time, over a table with the rates of the users'
 * store and links between the VMs. Connections can go silent: what is sent on one gets no answer
 * until its caller gives it up, and the next call opens another.
 */
import { Left, Right, type Either } from 'purify-ts'
import seedrandom from 'seedrandom'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ReadAnswer, RowKey, ScanAnswer, ScanRequest, TableStore, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'
import type { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import { GRANT_METHOD, type GrantRequest, type Handover } from 'rosemaryspread/budget/budgetGrantCalls.js'
import { BudgetPreparation } from 'rosemaryspread/gateway/budgetPreparation.js'
import { createBudgetDriver } from 'rosemaryspread/gateway/budgetDriverFactory.js'
import { gatewayConfigSchema, type GatewayConfig } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import { TableState } from '../../table/tableState.js'
import { VirtualTime } from '../../time/virtualTime.js'

/** Milliseconds between two ticks of a gateway. */
const TICK_MS = 50
/** Milliseconds before a VM tries again to take back what it held. */
const TAKE_OVER_RETRY_MS = 300
/** Milliseconds, one way, between two VMs. */
const LINK_MS = 1
/** Milliseconds of a call of the store, both ways. */
const STORE_MS = 4
/** Milliseconds of a transaction; those of one part are carried out one after another. */
const TRANSACTION_MS = 1_000 / 300
/** Milliseconds of transactions that may wait in a part before it refuses more. */
const MOST_QUEUED_MS = 1_000
/** Milliseconds after which a call of the store without an answer is given up. */
const STORE_TIMEOUT_MS = 1_000
const MS_PER_SECOND = 1_000
/** Part of what was paid that users count on: what is left of it may be in use at the same moment. */
const OWED_PART = 0.97

/** Size and traffic of a fleet. */
export interface FleetShape {
  readonly seed: string
  readonly vms: number
  readonly teams: number
  /** Calls that the store takes from all VMs in a second. */
  readonly readsPerS: number
  readonly writesPerS: number
  readonly requestsPerS: number
  /** Prepaid tokens, as a multiple of what the requests of `paidForMs` use. */
  readonly paidPart: number
  readonly paidForMs: number
  /** Whether the callers of the largest team all keep to the first VM. */
  readonly isLargestKept?: boolean
  /** Kinds of request: part of the traffic, worst case and use in tokens, milliseconds of a run. */
  readonly kinds: ReadonlyArray<{ readonly part: number, readonly tokens: number, readonly used: number, readonly runMs: number, readonly waitMs: number }>
}

/** What became of the requests that began in one span of time. */
export interface FleetCounts {
  readonly asked: number
  readonly refused: number
  /** Refusals of requests that fit into what was paid: with all that was used and their worst case, into {@link OWED_PART} of it. */
  readonly owed: number
  /** Refusals by result code. */
  readonly codes: Readonly<Record<string, number>>
  readonly storeCalls: number
}

/** Counts while they are made. */
interface OpenCounts {
  asked: number
  refused: number
  owed: number
  readonly codes: Record<string, number>
}

/** A call over a link. */
interface LinkCall {
  readonly method: string
  readonly params: unknown
}

/** One VM. */
interface FleetVm {
  readonly holder: string
  readonly address: string
  readonly budgets: BudgetDriver
  readonly preparation: BudgetPreparation
}

/** A fleet. */
export class GatewayFleet {
  readonly time = new VirtualTime()
  private readonly random: () => number
  private readonly state = new TableState(() => this.time.mono)
  private vms: FleetVm[] = []
  /** Holders that ended: what they had under way comes to nothing. */
  private readonly ended = new Set<string>()
  private life = 1
  private readonly config: GatewayConfig
  /** Connections that went silent: who has them, and to whom. */
  private readonly silent = new Set<string>()
  /** Links on which a call got no answer. */
  private readonly unanswered = new Set<string>()
  private readonly used = new Map<string, number>()
  private partFreeAt = 0
  private cutUntil = 0
  private second = 0
  private reads = 0
  private writes = 0
  private storeCalls = 0
  private requests = 0

  constructor (private readonly shape: FleetShape) {
    this.random = seedrandom(shape.seed)
    this.config = this.configOf()
    for (let index = 0; index < shape.vms; index += 1) this.vms.push(this.startVm(`vm${index}`))
    this.tick()
  }

  /**
   * Plays a span of time with traffic, and counts what begins in it.
   * @param ms - virtual milliseconds
   */
  async serve (ms: number): Promise<FleetCounts> {
    const end = this.time.mono + ms
    const callsBefore = this.storeCalls
    const counts: OpenCounts = { asked: 0, refused: 0, owed: 0, codes: {} }
    for (let at = this.gap(); at < ms; at += this.gap()) this.time.after(at, () => { this.begin(counts) })
    await this.time.runUntil(end)
    return { ...counts, storeCalls: this.storeCalls - callsBefore }
  }

  /** Has each VM look for ended holders once; answers the calls of the store that it took. */
  async recover (): Promise<number> {
    const before = this.storeCalls
    await this.time.until(Promise.all(this.vms.map(async ({ budgets }) => { await budgets.recoverTerminated() })))
    return this.storeCalls - before
  }

  /** Silences all connections that are open now. */
  silence (): void {
    for (const { holder } of this.vms) {
      this.silent.add(`${holder} store`)
      for (const { address } of this.vms) this.silent.add(`${holder} ${address}`)
    }
  }

  /**
   * Cuts all VMs off from the store, and not from each other.
   * @param ms - virtual milliseconds
   */
  cutOff (ms: number): void {
    this.cutUntil = this.time.mono + ms
  }

  /**
   * Ends all VMs at once; they begin again some time later and take back what their earlier processes held.
   * @param downMs - virtual milliseconds until they are back
   */
  async endAll (downMs: number): Promise<void> {
    const names = this.vms.map(({ address }) => address)
    for (const { holder } of this.vms) this.ended.add(holder)
    this.vms = []
    this.life += 1
    await this.time.run(downMs)
    for (const name of names) this.vms.push(this.startVm(name))
    for (const { budgets } of this.vms) this.takeOver(budgets)
  }

  /** Part of what was paid that is used. */
  get usedPart (): number {
    const paid = Object.values(this.config.teams).reduce((sum, { prepaidTokens }) => sum + (prepaidTokens ?? 0), 0)
    return [...this.used.values()].reduce((sum, tokens) => sum + tokens, 0) / paid
  }

  /** Tokens used beyond what was paid, over all budgets. */
  get overspent (): number {
    return Object.entries(this.config.teams).reduce((sum, [team, { prepaidTokens }]) =>
      sum + Math.max(0, (this.used.get(team) ?? 0) - (prepaidTokens ?? 0)), 0)
  }

  private configOf (): GatewayConfig {
    const { teams, kinds, requestsPerS, paidForMs, paidPart } = this.shape
    const mean = kinds.reduce((sum, { part, used }) => sum + part * used, 0)
    const inAll = mean * requestsPerS * paidForMs / MS_PER_SECOND * paidPart
    const names = Array.from({ length: teams }, (_, index) => `team${index}`)
    const weights = names.map((_, index) => weightOf(index))
    const sum = weights.reduce((total, weight) => total + weight, 0)
    return gatewayConfigSchema.parse({
      version: 1,
      routes: [],
      services: {},
      teams: Object.fromEntries(names.map((name, index) => [name, { keyHashes: [], prepaidTokens: Math.floor(inAll * (weights[index] ?? 0) / sum) }])),
      limits: {}
    })
  }

  private startVm (name: string): FleetVm {
    const holder = `${name}~${this.life}`
    const bornAt = this.time.mono
    const others = (): readonly FleetVm[] => this.vms.filter(vm => vm.holder !== holder)
    const budgets = createBudgetDriver({
      holder,
      domain: `domain${this.vms.length % 3}`,
      place: name,
      store: this.storeOf(holder),
      // As in a process, whose monotonic clock begins with it.
      clock: { now: () => ({ mono: this.time.mono - bornAt, wall: this.time.mono }) },
      log: { write: () => {} },
      fleet: {
        members: () => others().map(vm => ({ holder: vm.holder, domain: '' })),
        peers: () => others().map(vm => ({ holder: vm.holder, address: vm.address })),
        get size () { return others().length + 1 }
      },
      call: async (address, method, params, timeoutMs) => await this.callVm(holder, address, { method, params }, timeoutMs),
      declared: team => ({ tokens: this.config.teams[team]?.prepaidTokens ?? 0, version: this.config.version })
    })
    return { holder, address: name, budgets, preparation: new BudgetPreparation(name, budgets) }
  }

  private takeOver (budgets: BudgetDriver): void {
    budgets.recoverPredecessors().then(isDone => {
      if (!isDone) this.time.after(TAKE_OVER_RETRY_MS, () => { this.takeOver(budgets) })
    }, err => { throw err })
  }

  private tick (): void {
    for (const { budgets, preparation } of this.vms) {
      preparation.tick(this.config, this.time.mono)
      budgets.tick()
    }
    this.time.after(TICK_MS, () => { this.tick() })
  }

  private begin (counts: OpenCounts): void {
    const { kinds } = this.shape
    const kind = kinds[chosen(kinds.map(({ part }) => part), this.random())]
    const index = chosen(Object.keys(this.config.teams).map((_, index) => weightOf(index)), this.random())
    const team = `team${index}`
    const vm = this.vms[index === 0 && this.shape.isLargestKept === true ? 0 : Math.floor(this.random() * this.vms.length)]
    if (kind === undefined || vm === undefined) return
    this.requests += 1
    const requestId = `r${this.requests}`
    counts.asked += 1
    vm.budgets.reserve(team, kind.tokens, kind.waitMs).then(reserved => reserved.caseOf({
      Left: ({ code, message }) => {
        counts.refused += 1
        if (this.fits(team, kind.tokens)) counts.owed += 1
        counts.codes[code] = (counts.codes[code] ?? 0) + 1
      },
      Right: reservation => {
        this.used.set(team, (this.used.get(team) ?? 0) + kind.used)
        this.time.after(kind.runMs, () => { if (!this.ended.has(vm.holder)) vm.budgets.settle(reservation, { requestId, budget: team, team, tokens: kind.used, runner: '' }) })
      }
    }), err => { throw err })
  }

  private fits (team: string, tokens: number): boolean {
    return (this.used.get(team) ?? 0) + tokens <= OWED_PART * (this.config.teams[team]?.prepaidTokens ?? 0)
  }

  private gap (): number {
    return -Math.log(1 - this.random()) * MS_PER_SECOND / this.shape.requestsPerS
  }

  private async callVm (from: string, address: string, call: LinkCall, timeoutMs: number): Promise<Either<Failure, unknown>> {
    if (this.silent.delete(`${from} ${address}`)) {
      this.unanswered.add(`${from} ${address}`)
      await this.time.sleep(timeoutMs)
      return Left(new Failure('peerUnreachable', 'no answer', { ran: 'unknown' }))
    }
    await this.time.sleep(LINK_MS)
    if (this.unanswered.delete(`${from} ${address}`)) this.dropSilent(from)
    const answer = this.answer(address, call)
    await this.time.sleep(LINK_MS)
    return Right(answer)
  }

  private answer (address: string, { method, params }: LinkCall): unknown {
    const budgets = this.vms.find(vm => vm.address === address)?.budgets
    if (method === GRANT_METHOD) return budgets?.onGrantRequest(params as GrantRequest)
    const { budget, tokens } = params as Handover
    budgets?.onHandover(budget, tokens)
    return null
  }

  /** As the client of the links does: a new link was answered, so links that were silent since are not used again. */
  private dropSilent (from: string): void {
    for (const { address } of this.vms) this.silent.delete(`${from} ${address}`)
  }

  private storeOf (holder: string): TableStore {
    return {
      // A row is read with a call of its own, as the users' store is.
      read: async (keys: readonly RowKey[]) => await this.callStore<ReadAnswer>(holder, keys.length, 0, () => Right(this.state.read(keys))),
      scan: async (req: ScanRequest) => await this.callStore<ScanAnswer>(holder, 1, 0, () => Right(this.state.scan(req))),
      transact: async (tx: Transaction) => await this.callStore<TransactAnswer>(holder, 0, 1, () =>
        this.state.transact(structuredClone(tx)).mapLeft(() => new Failure('platformConflict', 'a row changed')))
    }
  }

  private async callStore<T> (holder: string, reads: number, writes: number, effect: () => Either<Failure, T>): Promise<Either<Failure, T>> {
    if (this.ended.has(holder)) return await new Promise(() => {})
    this.storeCalls += reads + writes
    if (this.silent.delete(`${holder} store`) || this.time.mono < this.cutUntil) {
      await this.time.sleep(STORE_TIMEOUT_MS)
      return Left(new Failure(writes > 0 ? 'platformOutcomeUnknown' : 'platformUnavailable', 'no answer', { ran: 'unknown' }))
    }
    await this.time.sleep(STORE_MS / 2)
    const isTaken = this.takeRate(reads, writes)
    const queuedMs = writes === 0 ? 0 : Math.max(0, this.partFreeAt - this.time.mono)
    if (!isTaken || queuedMs > MOST_QUEUED_MS) {
      await this.time.sleep(STORE_MS / 2)
      return Left(new Failure('platformUnavailable', 'too many calls', { ran: 'no' }))
    }
    if (writes > 0) {
      this.partFreeAt = this.time.mono + queuedMs + TRANSACTION_MS
      await this.time.sleep(queuedMs + TRANSACTION_MS)
    }
    const answer = effect()
    await this.time.sleep(STORE_MS / 2)
    return answer
  }

  private takeRate (reads: number, writes: number): boolean {
    const second = Math.floor(this.time.mono / MS_PER_SECOND)
    if (second !== this.second) Object.assign(this, { second, reads: 0, writes: 0 })
    this.reads += reads
    this.writes += writes
    return this.reads <= this.shape.readsPerS && this.writes <= this.shape.writesPerS
  }
}

/** Teams differ in size: the first sends most. */
function weightOf (index: number): number {
  return 1 / (index + 1)
}

/** Index drawn by weight. */
function chosen (weights: readonly number[], at: number): number {
  let left = at * weights.reduce((sum, weight) => sum + weight, 0)
  const index = weights.findIndex(weight => {
    left -= weight
    return left < 0
  })
  return Math.max(0, index)
}
