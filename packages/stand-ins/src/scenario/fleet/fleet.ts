/**
 * Fleet of one scenario on loopback: the processes of stand-ins and VMs, and the links between VMs.
 */
import { join } from 'node:path'
import type { HistoryRecord } from '../../history/historyTypes.js'
import { TestOperator } from '../callers/testOperator.js'
import type { FleetDefinition } from '../language/scenarioSchema.js'
import { FakeLink } from './fakeLink.js'
import { initialPatch, vmSettings, type PlatformUrls } from './fleetConfig.js'
import { allocatePort } from './freePorts.js'
import { Network } from './network.js'
import { StandInProcess } from './standInProcess.js'
import { VmProcess } from './vmProcess.js'
import { waitFor } from './waitFor.js'

const PLATFORM = ['table', 'objects', 'weights', 'vm-list'] as const
const VM_LIST_LAG_MS = 300
const START_TIMEOUT_MS = 30_000
const DRAIN_TIMEOUT_MS = 60_000
const INITIAL_PATCH_ID = 'scenario-first'

export interface FleetOptions {
  readonly definition: FleetDefinition
  /** Folder for the settings and output of all processes. */
  readonly folder: string
  /** Whether VMs connect to each other through links that can be cut. */
  readonly links: boolean
  /** Name of the faulty part to bind in all VMs. */
  readonly faultyPart: string | undefined
  /** Arguments of `node` for each VM. */
  readonly nodeArgs?: readonly string[]
}

export class Fleet {
  readonly records: HistoryRecord[] = []
  readonly vms = new Map<string, VmProcess>()
  readonly standIns = new Map<string, StandInProcess>()
  readonly operator = new TestOperator()
  readonly network: Network
  /** VMs that did not exit cleanly after a graceful stop. */
  private readonly failedStops: string[] = []
  private readonly links = new Map<string, FakeLink>()
  private readonly listedStates = new Map<string, 'live' | 'leaving' | 'gone'>()

  private constructor (private readonly options: FleetOptions) {
    this.network = new Network(this.links, this.standIns, name => this.resolveName(name), {
      lost: vm => { if (this.vm(vm).isUp) this.addRecord({ kind: 'vmDown', at: Date.now(), vm, cause: 'cut' }) },
      regained: vm => { this.recordUp(vm) }
    })
  }

  /** Starts all processes, then applies the configuration and pays the budgets of the scenario. */
  static async start (options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options)
    try {
      await fleet.startStandIns()
      await fleet.prepareVms()
      const initialVms = Object.keys(options.definition.vms).filter(vm => !options.definition.later.includes(vm))
      await Promise.all(initialVms.map(async vm => await fleet.launch(vm)))
      await fleet.configure(initialVms)
      return fleet
    } catch (err) {
      await fleet.killAll()
      throw err
    }
  }

  vm (name: string): VmProcess {
    const vm = this.vms.get(name)
    if (vm === undefined) throw new Error(`there is no VM '${name}'`)
    return vm
  }

  standIn (name: string): StandInProcess {
    const standIn = this.standIns.get(name)
    if (standIn === undefined) throw new Error(`there is no stand-in '${name}'`)
    return standIn
  }

  addRecord (record: HistoryRecord): void {
    this.records.push(record)
  }

  /** Starts or restarts a VM and waits until it is ready. */
  async startVm (name: string): Promise<void> {
    await this.launch(name)
    await this.vm(name).ready()
    this.recordUp(name)
  }

  /** Kills a VM with SIGKILL. */
  async killVm (name: string): Promise<void> {
    this.addRecord({ kind: 'vmDown', at: Date.now(), vm: name, cause: 'killed' })
    await this.vm(name).kill()
    await this.list(name, 'gone')
  }

  /** Starts a graceful stop of a VM; does not wait for its exit. */
  async stopVm (name: string): Promise<void> {
    const vm = this.vm(name)
    if (!vm.running || vm.isStopRequested) return
    this.addRecord({ kind: 'vmDown', at: Date.now(), vm: name, cause: 'stopped' })
    vm.isStopRequested = true
    vm.signal('SIGTERM')
    await this.list(name, 'leaving')
    vm.waitForExit().then(async () => {
      if (vm.exitCode !== 0 && !vm.killed) this.failedStops.push(`${name} (exit ${vm.exitCode})`)
      await this.list(name, 'gone')
    }).catch(() => {})
  }

  /** Pauses a VM with SIGSTOP. */
  freezeVm (name: string): void {
    this.addRecord({ kind: 'vmDown', at: Date.now(), vm: name, cause: 'frozen' })
    this.vm(name).frozen = true
    this.vm(name).signal('SIGSTOP')
  }

  /** Resumes a paused VM. */
  thawVm (name: string): void {
    this.vm(name).signal('SIGCONT')
    this.vm(name).frozen = false
    this.recordUp(name)
  }

  /** Starts or ends an outage of a stand-in. */
  async setOutage (name: string, isStarting: boolean): Promise<void> {
    if (name === 'table' && isStarting) this.addRecord({ kind: 'tableDown', at: Date.now() })
    await this.standIn(name).control({ outage: isStarting })
    if (name === 'table' && !isStarting) this.addRecord({ kind: 'tableUp', at: Date.now() })
  }

  /** Ends all cuts, outages and delays, and resumes all paused VMs. */
  async healAll (): Promise<void> {
    await this.network.healAll()
    await Promise.all([...this.standIns.values()].map(async standIn => await standIn.control({ outage: false, slowMs: 0, loseAnswers: 0, refuse: false })))
    this.addRecord({ kind: 'tableUp', at: Date.now() })
    for (const vm of this.vms.values()) if (vm.frozen && vm.running) this.thawVm(vm.name)
  }

  /** Stops all VMs gracefully and waits for their exits; returns those that did not exit cleanly. */
  async stopAll (): Promise<readonly string[]> {
    const running = [...this.vms.values()].filter(vm => vm.running)
    await Promise.all(running.map(async vm => await this.stopVm(vm.name)))
    await waitFor('all VMs to stop', DRAIN_TIMEOUT_MS, () => running.every(vm => !vm.running))
    return this.failedStops
  }

  /** Whether a VM was killed, so that other VMs have to bill its runs. */
  get hasKilledVms (): boolean {
    return this.records.some(record => record.kind === 'vmDown' && record.cause === 'killed')
  }

  /** VMs that exited without being stopped or killed. */
  crashedVms (): readonly string[] {
    return [...this.vms.values()].filter(vm => vm.exitCode !== undefined && !vm.isStopRequested).map(vm => `${vm.name} (exit ${vm.exitCode})`)
  }

  /** All records of stand-ins and VMs so far. */
  async history (): Promise<readonly HistoryRecord[]> {
    const standInRecords = await Promise.all([...this.standIns.values()].map(async standIn => await standIn.history()))
    return [...this.records, ...standInRecords.flat(), ...[...this.vms.values()].flatMap(vm => vm.records)]
  }

  /** Closes all links and kills all processes. */
  async killAll (): Promise<void> {
    for (const link of this.links.values()) link.close()
    await Promise.all([...this.vms.values()].map(async vm => await vm.kill()))
    await Promise.all([...this.standIns.values()].map(async standIn => await standIn.kill()))
  }

  private resolveName (name: string): readonly string[] {
    const inDomain = [...this.vms.values()].filter(vm => vm.domain === name).map(vm => vm.name)
    const engines = Object.entries(this.options.definition.engines).filter(([, engine]) => engine.domain === name).map(([engine]) => engine)
    const services = Object.values(this.options.definition.services).flatMap(service => Object.entries(service.runners))
    const applications = services.filter(([, domain]) => domain === name).map(([runner]) => runner)
    const members = [...inDomain, ...engines, ...applications]
    if (members.length > 0) return members
    if (!this.vms.has(name) && !this.standIns.has(name)) throw new Error(`there is no VM, stand-in or failure domain '${name}'`)
    return [name]
  }

  private async startStandIns (): Promise<void> {
    const { engines, services } = this.options.definition
    const engineArgs = Object.entries(engines).map(([name, engine]) => [name, [
      'engine', '--name', name, '--slots', String(engine.slots), '--models', engine.models.join(','),
      '--ms-per-token', String(engine.msPerToken), ...(engine.checksFencing ? [] : ['--no-checks-fencing'])
    ]] as const)
    const applicationArgs = Object.entries(services).flatMap(([service, { runners }]) =>
      Object.keys(runners).map(name => [name, ['application', '--name', name, '--service', service]] as const))
    const platformArgs = PLATFORM.map(name =>
      [name, name === 'vm-list' ? [name, '--lag-ms', String(VM_LIST_LAG_MS)] : [name]] as const)
    for (const [name, args] of [...platformArgs, ...engineArgs, ...applicationArgs]) {
      const ports = { listen: await allocatePort(), control: await allocatePort() }
      this.standIns.set(name, new StandInProcess(name, args, ports, join(this.options.folder, `${name}.log`)))
    }
    await Promise.all([...this.standIns.values()].map(async standIn => await standIn.ready()))
  }

  private async prepareVms (): Promise<void> {
    const { definition, folder, links, faultyPart, nodeArgs } = this.options
    for (const [name, domain] of Object.entries(definition.vms)) {
      const [callers, operators, peers] = [await allocatePort(), await allocatePort(), await allocatePort()]
      const ports = { callers, operators, peers, link: links ? await allocatePort() : peers }
      const settings = vmSettings(definition, name, ports, this.platformUrls())
      this.vms.set(name, new VmProcess(name, domain, ports, folder, settings, faultyPart, nodeArgs))
      const link = new FakeLink(ports.link, ports.peers)
      this.links.set(name, link)
      if (links) await link.open()
    }
  }

  private platformUrls (): PlatformUrls {
    const url = (name: typeof PLATFORM[number]): string => this.standIn(name).url
    return { table: url('table'), objects: url('objects'), weights: url('weights'), vmList: url('vm-list') }
  }

  private async launch (name: string): Promise<void> {
    await this.list(name, 'live')
    await this.vm(name).start()
  }

  /** Sets the state of a VM in the VM list stand-in. */
  private async list (name: string, state: 'live' | 'leaving' | 'gone'): Promise<void> {
    this.listedStates.set(name, state)
    const vms = [...this.listedStates].map(([vm, listedState]) => {
      const { domain, ports } = this.vm(vm)
      return { vm, domain, address: `127.0.0.1:${ports.callers}`, state: listedState }
    })
    await this.standIn('vm-list').post('/control/vms', { vms })
  }

  private async configure (started: readonly string[]): Promise<void> {
    const url = this.vm(started[0]!).operatorsUrl
    const patch = initialPatch(this.options.definition, runner => this.standIn(runner).url.replace('http://', ''))
    await this.retryUntilAccepted('the first configuration', async () => await this.operator.patch(url, { base: 0, patchId: INITIAL_PATCH_ID, patch }))
    for (const [budget, tokens] of Object.entries(this.options.definition.budgets)) {
      await this.retryUntilAccepted(`the payment of ${budget}`, async () => await this.operator.topUp(url, budget, `first-${budget}`, tokens))
    }
    await Promise.all(started.map(async name => {
      await this.vm(name).ready()
      await waitFor(`the configuration at VM ${name}`, START_TIMEOUT_MS, () => this.vm(name).versionInForce > 0)
      this.recordUp(name)
    }))
  }

  /** Records `vmUp` if the VM is up and can reach the table. */
  private recordUp (vm: string): void {
    if (this.vm(vm).isUp && !this.network.isCutFromTable(vm)) this.addRecord({ kind: 'vmUp', at: Date.now(), vm })
  }

  private async retryUntilAccepted (description: string, call: () => Promise<{ readonly status: number, readonly name: string | undefined }>): Promise<void> {
    let lastResponse = ''
    await waitFor(description, START_TIMEOUT_MS, async () => {
      const { status, name } = await call()
      lastResponse = `${status} ${name ?? ''}`
      return status >= 200 && status < 300
    }).catch((err: unknown) => { throw new Error(`${String(err)}; last response: ${lastResponse}`) })
  }
}
