/**
 * Test harness that simulates a fleet around real budget drivers in virtual time: table, peers,
 * engines and requests. The budget measurements and the property test use it.
 */
import seedrandom from 'seedrandom'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import type { BudgetPeers } from 'rosemaryspread/budget/budgetPeers.js'
import { TableState } from '../../table/tableState.js'
import { BudgetEngines } from './budgetEngines.js'
import { NetworkFaults, PeerNetwork, RemoteTable, type Latencies } from './budgetNetwork.js'
import { BudgetVm, type Spender, type SpenderDeps } from './budgetVm.js'
import { VirtualTime } from '../../time/virtualTime.js'

/** Creates the budget accounting of one VM. */
export type SpenderFactory = (deps: SpenderDeps) => Spender

/** Size and timing of the simulated fleet. */
export interface HarnessShape {
  readonly seed: string
  readonly domains: readonly string[]
  readonly vmsPerDomain: number
  readonly latencies: Latencies
  readonly tickMs: number
  /** Lag of the platform's VM list. */
  readonly listLagMs: number
  /** Interval of recovery passes. */
  readonly recoverEveryMs: number
  readonly spender: SpenderFactory
}

/** A request to serve. */
export interface HarnessRequest {
  readonly requestId: string
  readonly budget: string
  /** Worst-case cost, which is reserved. */
  readonly tokens: number
  /** Actual cost. */
  readonly used: number
  readonly runMs: number
  readonly giveUpAfterMs: number
}

/** A VM with its budget accounting and its table client. */
export interface HarnessNode {
  readonly vm: BudgetVm
  readonly spender: Spender
  readonly table: RemoteTable
}

/** Outcome of a request. */
export type RequestOutcome = { readonly kind: 'admitted' } | { readonly kind: 'refused', readonly failure: Failure }

/** Delay between a reservation and the dispatch of its run. */
const DISPATCH_DELAY_MS = 2

/** Simulated fleet. */
export class BudgetHarness {
  readonly time = new VirtualTime()
  readonly faults = new NetworkFaults()
  readonly state = new TableState(() => this.time.mono)
  readonly nodes: HarnessNode[] = []
  readonly engines: BudgetEngines
  readonly random: () => number
  private readonly network: PeerNetwork
  /** Terminated VMs, with the time of termination. */
  private readonly gone: Array<{ readonly vm: string, readonly at: number }> = []
  private readonly replaced = new Set<BudgetVm>()
  private started = 0

  constructor (readonly shape: HarnessShape) {
    this.random = seedrandom(shape.seed)
    this.network = new PeerNetwork(this.time, this.faults, shape.latencies, this.random)
    this.engines = new BudgetEngines(shape.domains, this.network)
    for (const domain of shape.domains) {
      for (let index = 0; index < shape.vmsPerDomain; index += 1) this.startVm(domain)
    }
    this.tick()
    this.recover()
  }

  /** VMs of a failure domain that accept requests. */
  serving (domain: string): readonly HarnessNode[] {
    return this.nodes.filter(node => node.vm.domain === domain && node.vm.isServing)
  }

  startVm (domain: string): HarnessNode {
    this.started += 1
    const name = `vm${this.started}`
    const vm = new BudgetVm(name, `${name}~1`, domain, this.time)
    const table = new RemoteTable(this.state, domain, this.time, this.faults, this.shape.latencies, this.random)
    const spender = this.shape.spender({
      holder: vm.holder,
      domain,
      store: vm.guardStore(table),
      peers: vm.guardPeers(this.createPeers(vm)),
      runners: this.engines.clientFrom(domain),
      clock: vm.clock
    })
    const node = { vm, spender, table }
    this.nodes.push(node)
    return node
  }

  /** Terminates a VM; the platform's list shows it after its lag. */
  kill (node: HarnessNode): void {
    node.vm.isDead = true
    this.gone.push({ vm: node.vm.vm, at: this.time.mono })
  }

  /** Starts a replacement for a VM that membership no longer lists, although the VM may still wake. */
  replace (node: HarnessNode): void {
    this.replaced.add(node.vm)
    this.startVm(node.vm.domain)
  }

  /** Serves one request at the VM that the caller connected to. */
  async request (node: HarnessNode, req: HarnessRequest): Promise<RequestOutcome> {
    const { vm, spender } = node
    const reserved = await spender.reserve(req.budget, req.tokens, req.giveUpAfterMs)
    if (reserved.isLeft()) return { kind: 'refused', failure: reserved.extract() as Failure }
    const reservation = reserved.unsafeCoerce()
    await this.time.sleep(DISPATCH_DELAY_MS)
    await vm.whenRunning(undefined)
    const confirmed = spender.confirm(reservation)
    if (confirmed.isLeft()) {
      spender.settle(reservation)
      return { kind: 'refused', failure: confirmed.extract() as Failure }
    }
    this.engines.start(vm.domain, { requestId: req.requestId, holder: vm.holder, budget: req.budget, tokens: req.used })
    this.time.after(req.runMs, () => this.finish(node, req, () => {
      spender.settle(reservation, { requestId: req.requestId, budget: req.budget, team: req.budget, tokens: req.used, runner: vm.domain })
    }))
    return { kind: 'admitted' }
  }

  /** The platform's VM list, with its lag. */
  get list (): { readonly asOf: number, readonly vms: ReadonlyArray<{ readonly vm: string, readonly state: string }> } {
    const asOf = this.time.mono - this.shape.listLagMs
    return { asOf, vms: this.gone.filter(item => item.at <= asOf).map(item => ({ vm: item.vm, state: 'gone' })) }
  }

  private finish (node: HarnessNode, req: HarnessRequest, settle: () => void): void {
    this.engines.end(node.vm.domain, req.requestId)
    node.vm.whenRunning(undefined).then(settle).catch(err => { throw err })
  }

  private tick (): void {
    for (const { vm, spender } of this.nodes) if (vm.isServing) spender.tick()
    this.time.after(this.shape.tickMs, () => this.tick())
  }

  private recover (): void {
    const { list } = this
    const candidates = this.nodes.filter(node => node.vm.isServing && !this.faults.cut.has(node.vm.domain))
    for (const { spender } of candidates.slice(0, 2)) {
      if (spender instanceof BudgetDriver) spender.recoverTerminated(list).catch(err => { throw err })
    }
    this.time.after(this.shape.recoverEveryMs, () => this.recover())
  }

  private createPeers (localVm: BudgetVm): BudgetPeers {
    const find = (holder: string): HarnessNode | undefined => this.nodes.find(node => node.vm.holder === holder)
    const call = async <T>(holder: string, handler: (driver: BudgetDriver) => Promise<T>): ReturnType<typeof this.network.call<T>> => {
      const node = find(holder)
      const driver = node?.spender
      const isAlive = node !== undefined && !node.vm.isDead && driver instanceof BudgetDriver
      return await this.network.call(localVm.domain, node?.vm.domain ?? localVm.domain, isAlive
        ? async () => {
          await node.vm.whenRunning(undefined)
          return await handler(driver)
        }
        : undefined)
    }
    return {
      members: () => {
        const terminatedNames = new Set(this.list.vms.map(item => item.vm))
        return this.nodes
          .filter(node => node.vm !== localVm && !terminatedNames.has(node.vm.vm) && !this.replaced.has(node.vm))
          .map(({ vm }) => ({ holder: vm.holder, domain: vm.domain }))
      },
      requestTransfer: async (holder, request) => await call(holder, async driver => driver.onTransferRequest(request)),
      recall: async (holder, request) => await call(holder, async driver => await driver.onRecall(request)),
      confirmNoTransfers: async (holder, request) => await call(holder, async driver => driver.onConfirmRequest(request))
    }
  }
}
