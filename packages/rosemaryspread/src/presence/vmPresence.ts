/**
 * Publishes the presence of this VM and follows that of the others: one table row per VM, rewritten
 * with each heartbeat. It needs no messages between VMs.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { selectAdvertisedVms, type CallerLocation } from '@rosemaryspread/decisions/membership/advertisedVms.js'
import type { ForwardingPeer } from '@rosemaryspread/decisions/load/forwardingPeers.js'
import { HASH_RANGE, hashName } from '@rosemaryspread/decisions/routing/rendezvous.js'
import type { FeedRow, TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { TableDigest } from '../digest/tableDigest.js'
import type { BudgetMember } from '../budget/budgetPeers.js'
import { digestedPresenceSchema, PRESENCE_TABLE, presenceRowSchema, type PresenceRow } from './presenceTypes.js'
import { PresenceView } from './presenceView.js'

/** Heartbeat interval of a small fleet. */
const MIN_HEARTBEAT_MS = 1_500
/** Limit of heartbeats per second of all VMs together; a larger fleet uses a longer interval. */
const FLEET_HEARTBEATS_PER_S = 40
/** Missed heartbeats after which a VM is late; it expires after one more. */
const MAX_MISSED_HEARTBEATS = 3
const MS_PER_SECOND = 1_000
/**
 * Milliseconds from the first full read until the list of VMs counts as complete: VMs that start together have written their
 * rows by then. Without this delay each of them takes itself for the only one and draws from every budget at once, and many draws fail.
 */
const SETTLE_MS = 1_200

/** Gap between two ticks that counts as a pause of this VM. Ticks come every 50 to 150 ms, and a few hundred milliseconds late on a busy VM. */
const MIN_PAUSE_MS = 1_000

/** Another VM and the IPv4:port of its links. */
export interface PeerVm {
  readonly holder: string
  readonly address: string
}

/** Another VM that serves, and the services that it cannot reach. */
export interface ServingPeer extends PeerVm {
  readonly unreachable: readonly string[]
}

export interface PresenceParts {
  readonly self: Pick<PresenceRow, 'vm' | 'holder' | 'domain' | 'region' | 'callers' | 'peers' | 'forwarding'>
  readonly table: TableStore
  readonly feed: TableFeed
  readonly digest: Pick<TableDigest, 'follow'>
  readonly clock: Clock
  readonly log: EventLog
  /** Called when a process of another VM is seen for the first time. */
  onJoined (holder: string): void
}

/** Interval between two heartbeats of one VM, by the size of the fleet. */
function heartbeatIntervalMs (vms: number): number {
  return Math.max(MIN_HEARTBEAT_MS, vms * MS_PER_SECOND / FLEET_HEARTBEATS_PER_S)
}

/** Presence of this VM and its view of the others. */
export class VmPresence {
  private readonly view: PresenceView
  private state: PresenceRow['state'] = 'starting'
  /** Last reported holder of each other VM. */
  private readonly reportedHolders = new Map<string, string>()
  private isPressed = false
  private hasSpareCapacity = false
  private unreachable: readonly string[] = []
  private hasLeft = false
  private beat = 0
  private nextHeartbeatAt = 0
  private lastTickAt = Infinity
  private isWriting = false
  private firstReadAt: number | undefined

  constructor (private readonly parts: PresenceParts) {
    this.view = new PresenceView(parts.self.vm, vms => heartbeatIntervalMs(vms) * (MAX_MISSED_HEARTBEATS + 1), vms => heartbeatIntervalMs(vms) * MAX_MISSED_HEARTBEATS)
  }

  start (): void {
    this.parts.digest.follow<unknown>({
      name: PRESENCE_TABLE,
      follow: handler => this.parts.feed.follow(PRESENCE_TABLE, handler),
      encode: value => withoutHeartbeat(value),
      decode: (value, isLate) => ({ ...digestedPresenceSchema.parse(value), beat: 0, isLate }),
      stageOf: vm => this.view.stageOf(vm, this.mono),
      handler: {
        replaced: rows => {
          this.firstReadAt ??= this.mono
          this.view.replaced(rows.flatMap(row => this.parseRow(row) ?? []), this.mono)
          this.reportJoined()
        },
        changed: rows => {
          for (const row of rows) this.view.changed(row.key, this.parseRow(row), this.mono)
          this.reportJoined()
        },
        failed: () => { this.view.feedFailed() },
        sourceChanged: isFromDigest => { this.view.sourceChanged(isFromDigest) }
      }
    })
  }

  /** Writes a heartbeat when one is due. Must be called several times a second. */
  tick (): void {
    this.detectPause()
    if (this.hasLeft || this.isWriting || this.mono < this.nextHeartbeatAt) return
    this.write().catch((err: unknown) => { this.parts.log.write('fault', { err: String(err) }) })
  }

  /** Publishes a new state immediately. */
  async publishState (state: PresenceRow['state']): Promise<void> {
    if (this.state === state) return
    this.state = state
    await this.write()
    // VMs that start together would otherwise send their heartbeats together, more than the store can handle at once.
    this.nextHeartbeatAt = this.mono + heartbeatIntervalMs(this.size) * hashName(this.parts.self.vm) / HASH_RANGE
  }

  /** Deletes the row of this VM and stops writing it. */
  async leave (): Promise<void> {
    // A row written after its deletion would advertise a terminated VM.
    this.hasLeft = true
    await this.parts.table.transact({ checks: [], writes: [{ table: PRESENCE_TABLE, key: this.parts.self.vm, value: null }] })
  }

  /** The other VMs that may hold budget allotments. */
  members (): readonly BudgetMember[] {
    return this.view.presentPeers(this.mono).map(({ holder, domain }) => ({ holder, domain }))
  }

  /** The other VMs that can be called over links. */
  peers (): readonly PeerVm[] {
    return this.view.presentPeers(this.mono).flatMap(({ holder, peers, state }) => peers === undefined || state === 'leaving' ? [] : [{ holder, address: peers }])
  }

  /** The other VMs that serve callers and can be called over links. */
  servingPeers (): readonly ServingPeer[] {
    return this.view.onTimePeers(this.mono).flatMap(({ holder, peers, state, unreachable = [] }) => peers === undefined || state !== 'serving' ? [] : [{ holder, address: peers, unreachable }])
  }

  /** The other VMs of this failure domain that serve, have capacity, reach their targets and accept forwarded connections. */
  forwardingPeers (): readonly ForwardingPeer[] {
    return this.view.onTimePeers(this.mono)
      .filter(({ domain, state, isPressed, unreachable = [] }) => domain === this.parts.self.domain && state === 'serving' && isPressed !== true && unreachable.length === 0)
      .flatMap(({ vm, forwarding }) => forwarding === undefined ? [] : [{ vm, address: forwarding }])
  }

  /** Whether VMs that started together with this one had time to publish their rows. */
  get isSettled (): boolean {
    return this.firstReadAt !== undefined && this.mono - this.firstReadAt >= SETTLE_MS
  }

  /** Number of VMs present, this one included. */
  get size (): number {
    return this.view.presentPeers(this.mono).length + 1
  }

  /** Names of the VMs present, this one included; empty until {@link isSettled}. */
  get names (): readonly string[] {
    return this.isSettled ? [this.parts.self.vm, ...this.view.presentPeers(this.mono).map(({ vm }) => vm)] : []
  }

  /**
   * Addresses of serving VMs for a caller, this one included. Late VMs are left out before they expire: the address of a terminated VM
   * costs a caller a second, while its allotments must not be reclaimed early.
   */
  addresses (location: CallerLocation): readonly string[] {
    const all = [this.localRow, ...this.view.onTimePeers(this.mono)]
    return selectAdvertisedVms(location, all.filter(({ state }) => state === 'serving')).map(({ callers }) => callers)
  }

  /** Sets whether this VM is overloaded; a change is published with the next tick, as heartbeats of a large fleet are rare. */
  setOverloaded (isOverloaded: boolean): void {
    if (isOverloaded !== this.isPressed) this.nextHeartbeatAt = Math.min(this.nextHeartbeatAt, this.mono)
    this.isPressed = isOverloaded
  }

  /**
   * Sets whether this VM accepts forwarded connections. The end is published with the next tick, the begin with the next heartbeat: VMs that
   * learn of it late only miss capacity.
   */
  setSpareCapacity (hasSpareCapacity: boolean): void {
    if (this.parts.self.forwarding !== undefined && this.hasSpareCapacity && !hasSpareCapacity) this.nextHeartbeatAt = Math.min(this.nextHeartbeatAt, this.mono)
    this.hasSpareCapacity = hasSpareCapacity
  }

  /** Sets the services that this VM cannot reach; a change is published with the next tick. */
  setUnreachable (services: readonly string[]): void {
    if (services.join() !== this.unreachable.join()) this.nextHeartbeatAt = Math.min(this.nextHeartbeatAt, this.mono)
    this.unreachable = services
  }

  private get localRow (): PresenceRow {
    const { forwarding, ...self } = this.parts.self
    return {
      ...self,
      ...(forwarding === undefined || !this.hasSpareCapacity ? {} : { forwarding }),
      state: this.state,
      beat: this.beat,
      ...(this.isPressed ? { isPressed: true } : {}),
      ...(this.unreachable.length === 0 ? {} : { unreachable: [...this.unreachable] })
    }
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }

  /** A VM that was paused received no updates: it treats the others as present until the feed delivers rows again. */
  private detectPause (): void {
    const { mono } = this
    if (mono - this.lastTickAt > MIN_PAUSE_MS) this.view.feedFailed()
    this.lastTickAt = mono
  }

  private reportJoined (): void {
    for (const { vm, holder } of this.view.presentPeers(this.mono)) {
      if (this.reportedHolders.get(vm) === holder) continue
      this.reportedHolders.set(vm, holder)
      this.parts.onJoined(holder)
    }
  }

  private async write (): Promise<void> {
    this.isWriting = true
    this.beat += 1
    this.nextHeartbeatAt = this.mono + heartbeatIntervalMs(this.size)
    const value = this.localRow
    const written = await this.parts.table.transact({ checks: [], writes: [{ table: PRESENCE_TABLE, key: value.vm, value }] })
    this.isWriting = false
    written.ifLeft(({ code }) => { this.parts.log.write('platformFault', { service: 'table', operation: 'presence', code }) })
  }

  private parseRow ({ value }: FeedRow): PresenceRow | null {
    const parsed = presenceRowSchema.safeParse(value)
    return parsed.success ? parsed.data : null
  }
}

/** A row without the heartbeat counter; a value that is not a row is returned unchanged. */
function withoutHeartbeat (value: unknown): unknown {
  const parsed = digestedPresenceSchema.safeParse(value)
  return parsed.success ? parsed.data : value
}
