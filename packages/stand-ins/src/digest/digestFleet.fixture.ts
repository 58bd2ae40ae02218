/**
 * A fleet whose VMs follow heartbeat tables, in virtual time. Presence and digest are the product's; the table, its feeds and the
 * targets are fakes. A VM may terminate, freeze, or lose reads, writes or both to the table.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { publisherRank } from '@rosemaryspread/decisions/digest/digestRank.js'
import type { FeedHandler, FeedRow, TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { ReadAnswer, ScanAnswer, TableStore, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'
import { TableDigest } from 'rosemaryspread/digest/tableDigest.js'
import { VmPresence } from 'rosemaryspread/presence/vmPresence.js'
import { VirtualTime } from '../time/virtualTime.js'

const CALL_LATENCY_MS = 4
const FEED_WAIT_MS = 1_000
const FEED_BATCH_MS = 500
const FEED_RETRY_MS = 150
const TICK_MS = 150
const TARGET_HEARTBEAT_MS = 1_200
const TARGETS_TABLE = 'register'

/** Rows of one table, ordered by version. */
class VirtualRows {
  private readonly rows = new Map<string, FeedRow>()
  private readonly waiting = new Set<() => void>()

  put (row: FeedRow): void {
    this.rows.delete(row.key)
    this.rows.set(row.key, row)
    for (const wake of this.waiting) wake()
    this.waiting.clear()
  }

  get (key: string): FeedRow | undefined {
    return this.rows.get(key)
  }

  since (version: number): readonly FeedRow[] {
    return [...this.rows.values()].filter(row => row.version > version)
  }

  /** Resolves at the next write, or after `ms`. */
  nextWrite (time: VirtualTime, ms: number): Promise<void> {
    return new Promise(resolve => {
      const cancel = time.after(ms, resolve)
      this.waiting.add(() => {
        cancel()
        resolve()
      })
    })
  }
}

class VirtualTable {
  private readonly tables = new Map<string, VirtualRows>()
  version = 0

  put (table: string, key: string, value: unknown): void {
    this.version += 1
    this.of(table).put({ key, value, version: this.version })
  }

  of (table: string): VirtualRows {
    const rows = this.tables.get(table) ?? new VirtualRows()
    this.tables.set(table, rows)
    return rows
  }

  all (table: string): readonly FeedRow[] {
    return this.of(table).since(0).filter(({ value }) => value !== null)
  }
}

/** Current fault of a VM. */
export type VmFault = 'ended' | 'frozen' | 'cut' | 'writesFail' | 'readsFail'

const unreachable = new Failure('platformUnavailable', 'no connection', { ran: 'no' })

export class DigestVm {
  /** Number of feed calls, and of rows received by them. */
  calls = 0
  rows = 0
  fault: VmFault | undefined
  readonly presence: VmPresence
  readonly digest: TableDigest
  /** State of each target, as seen by this VM. */
  readonly targets = new Map<string, unknown>()
  readonly events: string[] = []
  /** Lag of its feeds, in milliseconds. */
  lagMs = 0

  constructor (readonly name: string, private readonly fleet: DigestFleet) {
    const feed: TableFeed = { follow: (table, handler) => this.follow(table, handler) }
    const store: TableStore = {
      read: async (): Promise<Either<Failure, ReadAnswer>> => Right({ rows: [], now: 0 }),
      scan: async (): Promise<Either<Failure, ScanAnswer>> => Right({ rows: [], now: 0 }),
      transact: async transaction => await this.transact(transaction)
    }
    const clock = fleet.time
    const log = { write: (event: string) => { this.events.push(event) } }
    this.digest = new TableDigest({ vm: name, table: store, feed, clock, log, vms: () => this.presence.names })
    const self = { vm: name, holder: `${name}~1`, domain: 'd', callers: `${name}:1` }
    this.presence = new VmPresence({ self, table: store, feed, digest: this.digest, clock, log, onJoined: () => {} })
  }

  async run (): Promise<void> {
    this.presence.start()
    this.digest.follow<unknown>({
      name: 'targets',
      follow: handler => this.follow(TARGETS_TABLE, handler),
      encode: value => ({ state: (value as { readonly state: string }).state }),
      decode: value => value,
      stageOf: () => 'present',
      handler: {
        replaced: rows => {
          this.targets.clear()
          this.applyRows(rows)
        },
        changed: rows => { this.applyRows(rows) },
        failed: () => {}
      }
    })
    while (!this.isTerminated) {
      await this.fleet.time.sleep(TICK_MS)
      if (this.isTerminated || this.fault === 'frozen') continue
      await this.presence.publishState('serving')
      this.presence.tick()
      this.digest.tick()
    }
  }

  private get isTerminated (): boolean {
    return this.fault === 'ended'
  }

  private applyRows (rows: readonly FeedRow[]): void {
    for (const { key, value } of rows) {
      if (value === null) this.targets.delete(key)
      else this.targets.set(key, (value as { readonly state: string }).state)
    }
  }

  private async transact ({ writes }: Transaction): Promise<Either<Failure, TransactAnswer>> {
    await this.fleet.time.sleep(CALL_LATENCY_MS)
    if (this.fault !== undefined && this.fault !== 'readsFail') return Left(unreachable)
    for (const { table, key, value } of writes) this.fleet.table.put(table, key, value)
    return Right({ version: this.fleet.table.version, now: 0 })
  }

  private follow (table: string, handler: FeedHandler<unknown>): () => void {
    const state = { stopped: false }
    this.followLoop(table, handler, state).catch((err: unknown) => { throw err })
    return () => { state.stopped = true }
  }

  private async followLoop (table: string, handler: FeedHandler<unknown>, state: { readonly stopped: boolean }): Promise<void> {
    const { time, table: rows } = this.fleet
    let since: number | undefined
    while (!state.stopped && !this.isTerminated) {
      await time.sleep(CALL_LATENCY_MS + this.lagMs)
      if (this.fault === 'frozen') continue
      this.calls += 1
      if (this.fault === 'cut' || this.fault === 'readsFail') {
        handler.failed(unreachable)
        await time.sleep(FEED_RETRY_MS)
        continue
      }
      const lastVersion: number = since ?? 0
      if (since !== undefined && rows.of(table).since(lastVersion).length === 0) await rows.of(table).nextWrite(time, FEED_WAIT_MS)
      const newRows = since === undefined ? rows.all(table) : rows.of(table).since(lastVersion)
      const version = rows.version
      if (this.lagMs > 0) await time.sleep(this.lagMs)
      if (state.stopped) return
      this.rows += newRows.length
      if (since === undefined) handler.replaced(newRows)
      else if (newRows.length > 0) handler.changed(newRows)
      since = version
      handler.answered?.()
      await time.sleep(FEED_BATCH_MS)
    }
  }
}

export class DigestFleet {
  readonly time = new VirtualTime()
  readonly table = new VirtualTable()
  readonly vms: DigestVm[] = []
  private readonly heartbeating = new Set<string>()

  constructor (vms: number, targets: number) {
    for (let index = 0; index < targets; index += 1) this.scheduleHeartbeat(`t${index}`, index * TARGET_HEARTBEAT_MS / targets)
    this.add(vms)
  }

  add (vms: number): void {
    for (let index = 0; index < vms; index += 1) {
      const vm = new DigestVm(`vm-${this.vms.length}`, this)
      this.vms.push(vm)
      this.time.after(index, () => { vm.run().catch((err: unknown) => { throw err }) })
    }
  }

  /** VMs that publish the digest, by rank. */
  get publishers (): readonly DigestVm[] {
    const names = this.vms.filter(({ fault: currentFault }) => currentFault !== 'ended').map(({ name }) => name)
    return this.vms.filter(({ name }) => publisherRank(name, names) !== undefined).sort((a, b) => (publisherRank(a.name, names) ?? 0) - (publisherRank(b.name, names) ?? 0))
  }

  /** VMs without a fault that do not publish the digest. */
  get readers (): readonly DigestVm[] {
    const publisherSet = new Set(this.publishers)
    return this.vms.filter(vm => vm.fault === undefined && !publisherSet.has(vm))
  }

  /** Marks a target as leaving. */
  leave (target: string): void {
    this.table.put(TARGETS_TABLE, target, { state: 'leaving', beat: this.table.version })
  }

  private scheduleHeartbeat (target: string, afterMs: number): void {
    this.heartbeating.add(target)
    this.time.after(afterMs, () => {
      const state = (this.table.of(TARGETS_TABLE).get(target)?.value as { readonly state: string } | undefined)?.state ?? 'ready'
      this.table.put(TARGETS_TABLE, target, { state, beat: this.table.version })
      this.scheduleHeartbeat(target, TARGET_HEARTBEAT_MS)
    })
  }
}
