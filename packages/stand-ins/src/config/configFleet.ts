/**
 * Several VMs' configuration stores and spreads in one process, over one table in memory and in
 * virtual time. For tests and for `npm run measure -- config`.
 */
import { Left, Right, type Either } from 'purify-ts'
import seedrandom from 'seedrandom'
import type { ConfigDecider, ConfigSource } from '@rosemaryspread/decisions/config/configDecider.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { PatchAnswer } from '@rosemaryspread/operators/admin/adminTypes.js'
import { ConfigPropagation, FETCH_METHOD, PUSH_METHOD } from 'rosemaryspread/config/configPropagation.js'
import { ConfigStore } from 'rosemaryspread/config/configStore.js'
import { defaultPropagationSettings, type ConfigPeers, type ConfigPropagationSettings, type ConfigTimers } from 'rosemaryspread/config/configTypes.js'
import { MemoryTableStore } from '../table/memoryTableStore.js'
import { TableState } from '../table/tableState.js'
import { FleetTable, LaggingReplica, type Traffic } from './fleetTable.js'
import { MemoryObjects } from './memoryObjects.js'
import { VirtualTime } from '../time/virtualTime.js'

/** How a fleet is made. */
export interface FleetOptions {
  readonly vms: number
  readonly seed: string
  /** One-way milliseconds to the table and between VMs; each message takes up to twice as long. */
  readonly tableMs?: number
  readonly peerMs?: number
  readonly settings?: Partial<ConfigPropagationSettings>
  /** Makes the decider of each VM; the product's unless given. */
  readonly holder?: () => ConfigDecider
  /** Makes the table as each VM reaches it; without faults unless given. */
  readonly table?: (state: TableState) => MemoryTableStore
}

/** A version that came into force. */
export interface InForceRecord {
  readonly vm: string
  readonly incarnation: number
  readonly version: number
  readonly digest: string
  readonly source: ConfigSource
  readonly at: number
}

/** One VM. */
export class FleetVm implements ConfigPeers, ConfigTimers {
  readonly table: FleetTable
  readonly peerTraffic: Traffic = { messages: 0, bytes: 0 }
  readonly log: string[] = []
  store!: ConfigStore
  spread!: ConfigPropagation
  alive = false
  incarnation = 0
  /** Milliseconds that each message to and from the table takes on top. */
  extraTableMs = 0
  #frozen: (() => void)[] | undefined

  constructor (readonly name: string, private readonly fleet: ConfigFleet) {
    this.table = new FleetTable(fleet.options.table?.(fleet.state) ?? new MemoryTableStore(fleet.state), async () => { await this.#travel() })
  }

  /** Starts a fresh process: nothing is kept of an earlier one. */
  async start (): Promise<void> {
    this.incarnation++
    const { incarnation, fleet } = this
    const log = { write: (event: string, fields: object) => { this.log.push(`${event} ${JSON.stringify(fields)}`) } }
    const random = fleet.random
    const parts = { table: this.table, objects: fleet.objects, clock: fleet.time, log, timers: this, random }
    this.store = new ConfigStore(parts, fleet.options.holder?.())
    const settings = { ...defaultPropagationSettings, ...fleet.options.settings }
    this.spread = new ConfigPropagation({ store: this.store, peers: this, address: this.name, timers: this, random, log, settings })
    this.store.onChange(({ version, digest }, source) => {
      if (this.alive && incarnation === this.incarnation) fleet.inForce.push({ vm: this.name, incarnation, version, digest, source, at: fleet.time.now().wall })
    })
    this.alive = true
    await this.store.load()
    this.spread.start()
  }

  /** Ends the process at once. */
  kill (): void {
    this.alive = false
    this.spread.stop()
  }

  /** Stops the process where it stands; timers and answers wait. */
  freeze (): void {
    this.#frozen ??= []
  }

  /** Lets it go on. */
  thaw (): void {
    const waiting = this.#frozen ?? []
    this.#frozen = undefined
    for (const go of waiting) go()
  }

  /** Resolves when the process is not frozen. */
  async thawed (): Promise<void> {
    while (this.#frozen !== undefined) await new Promise<void>(resolve => { this.#frozen?.push(resolve) })
  }

  after (ms: number, fn: () => void): () => void {
    const { incarnation } = this
    return this.fleet.time.after(ms, () => {
      const go = (): void => { if (this.alive && incarnation === this.incarnation) fn() }
      if (this.#frozen === undefined) go()
      else this.#frozen.push(go)
    })
  }

  addresses (): readonly string[] {
    return this.fleet.vms.filter(vm => vm !== this && vm.alive).map(vm => vm.name)
  }

  async call (address: string, method: string, params: unknown, timeoutMs: number): Promise<Either<Failure, unknown>> {
    const { fleet } = this
    const peer = fleet.vms.find(vm => vm.name === address)
    this.#count(params)
    if (peer === undefined || fleet.isLost(this, peer, method)) {
      await fleet.time.sleep(timeoutMs)
      return Left(new Failure('peerUnreachable', address, { ran: 'unknown' }))
    }
    await fleet.time.sleep(fleet.latency(fleet.peerMs))
    await peer.thawed()
    const answer = await peer.serve(method, structuredClone(params))
    await fleet.time.sleep(fleet.latency(fleet.peerMs))
    await this.thawed()
    this.#count(answer)
    return Right(structuredClone(answer))
  }

  /** One message from or to the table; a process that ended meanwhile never sees the end of it. */
  async #travel (): Promise<void> {
    const { incarnation, fleet } = this
    await fleet.time.sleep(fleet.latency(fleet.tableMs) + this.extraTableMs)
    await this.thawed()
    if (!this.alive || incarnation !== this.incarnation) await new Promise(() => {})
  }

  private async serve (method: string, params: unknown): Promise<unknown> {
    this.#count(params)
    if (!this.alive) return null
    const answer = method === PUSH_METHOD ? await this.spread.onPush(params) : method === FETCH_METHOD ? await this.spread.onFetch(params) : null
    this.#count(answer)
    return answer
  }

  #count (value: unknown): void {
    this.peerTraffic.messages++
    this.peerTraffic.bytes += JSON.stringify(value ?? null).length
  }
}

/** All VMs and what they share. */
export class ConfigFleet {
  readonly time = new VirtualTime()
  readonly state = new TableState(() => this.time.now().wall)
  readonly replica = new LaggingReplica(this.state, () => this.time.now().wall)
  readonly objects = new MemoryObjects()
  readonly inForce: InForceRecord[] = []
  readonly random: () => number
  readonly vms: readonly FleetVm[]
  tableMs: number
  peerMs: number
  /** Whether a message between VMs is lost. */
  isLost: (from: FleetVm, to: FleetVm, method: string) => boolean = () => false

  /**
   * @param options - size, seed and latencies
   */
  constructor (readonly options: FleetOptions) {
    this.random = seedrandom(options.seed)
    this.tableMs = options.tableMs ?? 2
    this.peerMs = options.peerMs ?? 1
    this.vms = Array.from({ length: options.vms }, (_, index) => new FleetVm(`vm${index + 1}`, this))
  }

  /** Starts all VMs. */
  async start (): Promise<void> {
    await this.time.until(Promise.all(this.vms.map(async vm => { await vm.start() })))
  }

  /** Stops all VMs. */
  stop (): void {
    for (const vm of this.vms) vm.kill()
  }

  /**
   * One VM.
   * @param index - from 0
   */
  vm (index: number): FleetVm {
    const vm = this.vms[index % this.vms.length]
    if (vm === undefined) throw new Error('the fleet is empty')
    return vm
  }

  /**
   * Has a VM accept a patch that adds a model; time passes meanwhile.
   * @param vm - where the operator connects
   * @param base - version it is based on
   * @param patchId - also the id of the model
   */
  async addModel (vm: FleetVm, base: number, patchId: string): Promise<Either<Failure, PatchAnswer>> {
    return await this.time.until(vm.store.patch(modelPatch(base, patchId)))
  }

  /**
   * Milliseconds that one message takes.
   * @param ms - the least
   */
  latency (ms: number): number {
    return ms * (1 + this.random())
  }
}

/**
 * A patch that adds a model named as the patch.
 * @param base - version it is based on
 * @param patchId - patch id
 */
export function modelPatch (base: number, patchId: string): { base: number, patchId: string, author: string, dryRun: boolean, patch: Record<string, unknown>[] } {
  return { base, patchId, author: 'operator', dryRun: false, patch: [{ op: 'add', path: `/models/${patchId}`, value: {} }] }
}
