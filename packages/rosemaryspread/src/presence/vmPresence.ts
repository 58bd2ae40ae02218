/**
 * Tells the other VMs of this one and follows what they tell: one row a VM, rewritten with each
 * heartbeat. It needs no messages between VMs.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { selectAdvertisedVms, type CallerLocation } from '@rosemaryspread/decisions/membership/advertisedVms.js'
import { HASH_RANGE, hashName } from '@rosemaryspread/decisions/routing/rendezvous.js'
import type { FeedRow, TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { TableDigest } from '../digest/tableDigest.js'
import type { BudgetMember } from '../budget/budgetPeers.js'
import { digestedPresenceSchema, PRESENCE_TABLE, presenceRowSchema, type PresenceRow } from './presenceTypes.js'
import { PresenceView } from './presenceView.js'

/** Milliseconds between two heartbeats of a small fleet. */
const HEARTBEAT_MS = 1_500
/** Heartbeats that all VMs together write in a second at most; a larger fleet beats less often. */
const FLEET_BEATS_PER_S = 40
/** Heartbeats that may be missed. */
const MISSED_BEATS = 3
const MS_PER_SECOND = 1_000
/**
 * Milliseconds from the first read of all rows until the view counts as settled: VMs that start together have written theirs
 * by then. Sixty VMs that each took themselves for alone drew all budgets at once, and 672 of their draws failed.
 */
const SETTLE_MS = 1_200

/** Milliseconds between two ticks from which on this VM stood still; ticks come every 50 to 150, and late by some hundred on a busy VM. */
const STANDSTILL_MS = 1_000

/** Another VM and the address of its links. */
export interface PeerVm {
  readonly holder: string
  readonly address: string
}

/** What presence works with. */
export interface PresenceParts {
  readonly self: Pick<PresenceRow, 'vm' | 'holder' | 'domain' | 'region' | 'callers' | 'peers'>
  readonly table: TableStore
  readonly feed: TableFeed
  readonly digest: Pick<TableDigest, 'follow'>
  readonly clock: Clock
  readonly log: EventLog
  /** Told when a process of another VM was seen for the first time; gets its holder. */
  onJoined (holder: string): void
}

/** Milliseconds between two heartbeats of a VM. */
function beatMs (vms: number): number {
  return Math.max(HEARTBEAT_MS, vms * MS_PER_SECOND / FLEET_BEATS_PER_S)
}

/** Presence of this VM and of the others. */
export class VmPresence {
  private readonly view: PresenceView
  private state: PresenceRow['state'] = 'starting'
  /** Last holder seen of each other VM. */
  private readonly seenHolders = new Map<string, string>()
  private isPressed = false
  private hasLeft = false
  private beat = 0
  private nextBeatAt = 0
  private tickedAt = Infinity
  private writing = false
  private firstReadAt: number | undefined

  constructor (private readonly parts: PresenceParts) {
    this.view = new PresenceView(parts.self.vm, vms => beatMs(vms) * (MISSED_BEATS + 1), vms => beatMs(vms) * MISSED_BEATS)
  }

  /** Begins to follow the other VMs. */
  start (): void {
    this.parts.digest.follow<unknown>({
      name: PRESENCE_TABLE,
      follow: handler => this.parts.feed.follow(PRESENCE_TABLE, handler),
      encode: value => withoutBeat(value),
      decode: (value, isLate) => ({ ...digestedPresenceSchema.parse(value), beat: 0, isLate }),
      stageOf: vm => this.view.stageOf(vm, this.mono),
      handler: {
        replaced: rows => {
          this.firstReadAt ??= this.mono
          this.view.replaced(rows.flatMap(row => this.rowOf(row) ?? []), this.mono)
          this.noteJoined()
        },
        changed: rows => {
          for (const row of rows) this.view.changed(row.key, this.rowOf(row), this.mono)
          this.noteJoined()
        },
        failed: () => { this.view.feedFailed() },
        vouched: isVouched => { this.view.vouched(isVouched) }
      }
    })
  }

  /** Writes a heartbeat when one is due; to be called several times a second. */
  tick (): void {
    this.noteStandstill()
    if (this.hasLeft || this.writing || this.mono < this.nextBeatAt) return
    this.write().catch((err: unknown) => { this.parts.log.write('fault', { err: String(err) }) })
  }

  /**
   * Tells a new state at once.
   * @param state - the state
   */
  async tell (state: PresenceRow['state']): Promise<void> {
    if (this.state === state) return
    this.state = state
    await this.write()
    // VMs that begin together would go on to beat together, more at once than the store takes.
    this.nextBeatAt = this.mono + beatMs(this.size) * hashName(this.parts.self.vm) / HASH_RANGE
  }

  /** Deletes the row of this VM and writes none any more. */
  async leave (): Promise<void> {
    // A row written after its deletion would name a VM that has ended.
    this.hasLeft = true
    await this.parts.table.transact({ checks: [], writes: [{ table: PRESENCE_TABLE, key: this.parts.self.vm, value: null }] })
  }

  /** The other VMs that hold budgets. */
  members (): readonly BudgetMember[] {
    return this.view.others(this.mono).map(({ holder, domain }) => ({ holder, domain }))
  }

  /** The other VMs that can be asked directly. */
  peers (): readonly PeerVm[] {
    return this.view.others(this.mono).flatMap(({ holder, peers, state }) => peers === undefined || state === 'leaving' ? [] : [{ holder, address: peers }])
  }

  /** Whether the other VMs that began together with this one are known. */
  get isSettled (): boolean {
    return this.firstReadAt !== undefined && this.mono - this.firstReadAt >= SETTLE_MS
  }

  /** VMs present, this one included. */
  get size (): number {
    return this.view.others(this.mono).length + 1
  }

  /** Names of the VMs present, this one included; empty until those that began together are known. */
  get names (): readonly string[] {
    return this.isSettled ? [this.parts.self.vm, ...this.view.others(this.mono).map(({ vm }) => vm)] : []
  }

  /**
   * Addresses for a caller, of VMs that serve, this one included. Those that missed their heartbeats are left out before they count as
   * gone: an address of an ended VM costs a caller a second, while its tokens must not be taken early.
   * @param place - the caller
   */
  addresses (place: CallerLocation): readonly string[] {
    const all = [this.ownRow, ...this.view.punctual(this.mono)]
    return selectAdvertisedVms(place, all.filter(({ state }) => state === 'serving')).map(({ callers }) => callers)
  }

  /**
   * Takes whether this VM has more to do than it can; a change is told with the next tick, as heartbeats of a large fleet are seldom.
   * @param isPressed - whether it has
   */
  pressed (isPressed: boolean): void {
    if (isPressed !== this.isPressed) this.nextBeatAt = Math.min(this.nextBeatAt, this.mono)
    this.isPressed = isPressed
  }

  private get ownRow (): PresenceRow {
    return { ...this.parts.self, state: this.state, beat: this.beat, ...(this.isPressed ? { isPressed: true } : {}) }
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }

  /** A VM that stood still heard nothing meanwhile: the others are as present as before until the feed works again. */
  private noteStandstill (): void {
    const { mono } = this
    if (mono - this.tickedAt > STANDSTILL_MS) this.view.feedFailed()
    this.tickedAt = mono
  }

  private noteJoined (): void {
    for (const { vm, holder } of this.view.others(this.mono)) {
      if (this.seenHolders.get(vm) === holder) continue
      this.seenHolders.set(vm, holder)
      this.parts.onJoined(holder)
    }
  }

  private async write (): Promise<void> {
    this.writing = true
    this.beat += 1
    this.nextBeatAt = this.mono + beatMs(this.size)
    const value = this.ownRow
    const written = await this.parts.table.transact({ checks: [], writes: [{ table: PRESENCE_TABLE, key: value.vm, value }] })
    this.writing = false
    written.ifLeft(({ code }) => { this.parts.log.write('platformFault', { service: 'table', operation: 'presence', code }) })
  }

  private rowOf ({ value }: FeedRow): PresenceRow | null {
    const parsed = presenceRowSchema.safeParse(value)
    return parsed.success ? parsed.data : null
  }
}

/** A row without what changes with each heartbeat; what is no row stays as it is. */
function withoutBeat (value: unknown): unknown {
  const parsed = digestedPresenceSchema.safeParse(value)
  return parsed.success ? parsed.data : value
}
