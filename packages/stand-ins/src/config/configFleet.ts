/**
 * Configuration stores and propagation of several VMs in one process, over one in-memory table and in virtual time. Used
 * by tests and by `npm run measure -- config`.
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

export interface FleetOptions {
  readonly vms: number
  readonly seed: string
  /** Minimum one-way latency to the table and between VMs, in milliseconds; a message takes up to twice as long. */
  readonly tableMs?: number
  readonly peerMs?: number
  readonly settings?: Partial<ConfigPropagationSettings>
  /** Creates the decider of each VM; defaults to the product's. */
  readonly holder?: () => ConfigDecider
  /** Creates the table client of each VM; defaults to one without faults. */
  readonly table?: (state: TableState) => MemoryTableStore
}

/** A version that a VM brought into force. */
export interface InForceRecord {
  readonly vm: string
  readonly incarnation: number
  readonly version: number
  readonly digest: string
  readonly source: ConfigSource
  readonly at: number
}

export class FleetVm implements ConfigPeers, ConfigTimers {
  readonly table: FleetTable
  readonly peerTraffic: Traffic = { messages: 0, bytes: 0 }
  readonly log: string[] = []
  store!: ConfigStore
  propagation!: ConfigPropagation
  alive = false
  incarnation = 0
  /** Additional latency of each message to and from the table, in milliseconds. */
  extraTableMs = 0
  #frozen: (() => void)[] | undefined

  constructor (readonly name: string, private readonly fleet: ConfigFleet) {
    this.table = new FleetTable(fleet.options.table?.(fleet.state) ?? new MemoryTableStore(fleet.state), async () => { await this.#delayMessage() }, async ms => { await fleet.time.sleep(ms) })
  }

  /** Starts a new process, without any state of an earlier one. */
  async start (): Promise<void> {
    this.incarnation++
    const { incarnation, fleet } = this
    const log = { write: (event: string, fields: object) => { this.log.push(`${event} ${JSON.stringify(fields)}`) } }
    const random = fleet.random
    const parts = { table: this.table, objects: fleet.objects, clock: fleet.time, log, timers: this, random }
    this.store = new ConfigStore(parts, fleet.options.holder?.())
    const settings = { ...defaultPropagationSettings, ...fleet.options.settings }
    this.propagation = new ConfigPropagation({ store: this.store, peers: this, address: this.name, timers: this, random, log, settings })
    this.store.onChange(({ version, digest }, source) => {
      if (this.alive && incarnation === this.incarnation) fleet.inForce.push({ vm: this.name, incarnation, version, digest, source, at: fleet.time.now().wall })
    })
    this.alive = true
    await this.store.load()
    this.propagation.start()
  }

  /** Terminates the process immediately. */
  kill (): void {
    this.alive = false
    this.propagation.stop()
  }

  /** Pauses the process; timers and answers wait until {@link thaw}. */
  freeze (): void {
    this.#frozen ??= []
  }

  thaw (): void {
    const pending = this.#frozen ?? []
    this.#frozen = undefined
    for (const resume of pending) resume()
  }

  /** Resolves as soon as the process is not frozen. */
  async waitUntilThawed (): Promise<void> {
    while (this.#frozen !== undefined) await new Promise<void>(resolve => { this.#frozen?.push(resolve) })
  }

  after (ms: number, fn: () => void): () => void {
    const { incarnation } = this
    return this.fleet.time.after(ms, () => {
      const fire = (): void => { if (this.alive && incarnation === this.incarnation) fn() }
      if (this.#frozen === undefined) fire()
      else this.#frozen.push(fire)
    })
  }

  addresses (): readonly string[] {
    return this.fleet.vms.filter(vm => vm !== this && vm.alive).map(vm => vm.name)
  }

  async call (address: string, method: string, params: unknown, timeoutMs: number): Promise<Either<Failure, unknown>> {
    const { fleet } = this
    const peer = fleet.vms.find(vm => vm.name === address)
    this.#countMessage(params)
    if (peer === undefined || fleet.isLost(this, peer, method)) {
      await fleet.time.sleep(timeoutMs)
      return Left(new Failure('peerUnreachable', address, { ran: 'unknown' }))
    }
    await fleet.time.sleep(fleet.latency(fleet.peerMs))
    await peer.waitUntilThawed()
    const answer = await peer.serve(method, structuredClone(params))
    await fleet.time.sleep(fleet.latency(fleet.peerMs))
    await this.waitUntilThawed()
    this.#countMessage(answer)
    return Right(structuredClone(answer))
  }

  /** Delays one message from or to the table; never resolves if the process has terminated meanwhile. */
  async #delayMessage (): Promise<void> {
    const { incarnation, fleet } = this
    await fleet.time.sleep(fleet.latency(fleet.tableMs) + this.extraTableMs)
    await this.waitUntilThawed()
    if (!this.alive || incarnation !== this.incarnation) await new Promise(() => {})
  }

  private async serve (method: string, params: unknown): Promise<unknown> {
    this.#countMessage(params)
    if (!this.alive) return null
    const answer = method === PUSH_METHOD ? await this.propagation.onPush(params) : method === FETCH_METHOD ? await this.propagation.onFetch(params) : null
    this.#countMessage(answer)
    return answer
  }

  #countMessage (value: unknown): void {
    this.peerTraffic.messages++
    this.peerTraffic.bytes += JSON.stringify(value ?? null).length
  }
}

/** All VMs, with the table, object store and clock that they share. */
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

  constructor (readonly options: FleetOptions) {
    this.random = seedrandom(options.seed)
    this.tableMs = options.tableMs ?? 2
    this.peerMs = options.peerMs ?? 1
    this.vms = Array.from({ length: options.vms }, (_, index) => new FleetVm(`vm${index + 1}`, this))
  }

  async start (): Promise<void> {
    await this.time.until(Promise.all(this.vms.map(async vm => { await vm.start() })))
  }

  stop (): void {
    for (const vm of this.vms) vm.kill()
  }

  /** The VM at an index from 0, modulo the number of VMs. */
  vm (index: number): FleetVm {
    const vm = this.vms[index % this.vms.length]
    if (vm === undefined) throw new Error('the fleet has no VMs')
    return vm
  }

  /**
   * Sends a patch that adds a model to a VM, and advances time until it is answered.
   * @param base - version that the patch is based on
   * @param patchId - also the id of the model
   */
  async addModel (vm: FleetVm, base: number, patchId: string): Promise<Either<Failure, PatchAnswer>> {
    return await this.time.until(vm.store.patch(modelPatch(base, patchId)))
  }

  /** A random one-way latency from `ms` to twice that. */
  latency (ms: number): number {
    return ms * (1 + this.random())
  }
}

/**
 * A patch that adds a model whose id is the patch id.
 * @param base - version that the patch is based on
 */
export function modelPatch (base: number, patchId: string): { base: number, patchId: string, author: string, dryRun: boolean, patch: Record<string, unknown>[] } {
  return { base, patchId, author: 'operator', dryRun: false, patch: [{ op: 'add', path: `/models/${patchId}`, value: {} }] }
}
