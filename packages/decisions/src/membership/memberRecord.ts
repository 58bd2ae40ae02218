/**
 * Evidence about one VM. Every piece of evidence has an age; the VM's state follows from the evidence and the current time.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { MemberLimits, MemberUpdate, MemberRow, MemberState, MemberView, StoredMember } from './memberTypes.js'

/** Both clocks as they were some milliseconds before a reading. */
export function instantBefore (at: Instant, ms: number): Instant {
  return { mono: at.mono - ms, wall: at.wall - ms }
}

/** Whether one reading of this process's clocks is later than another. */
function isLater (a: Instant, b: Instant): boolean {
  return a.mono > b.mono
}

/** Evidence about one incarnation of a VM. */
export class MemberRecord {
  private row: MemberRow
  private rowVersion: number
  private beat = -1
  private openRequests = 0
  private leaving: boolean
  private lastHeardAt: Instant
  /** First sign of life of this incarnation; older entries of the list refer to an earlier one. */
  private firstHeardAt: Instant
  private terminatedAt: Instant | undefined
  /** Last heartbeat that peers received before they suspected the VM. */
  private suspectedHeartbeat = -1
  /** Since when heartbeats of this VM are expected here; undefined if none are. */
  private watchedSince: Instant | undefined

  /** @param requestedAt - when the row was requested */
  constructor (read: StoredMember, requestedAt: Instant) {
    this.row = read.row
    this.rowVersion = read.version
    this.leaving = read.row.state === 'leaving'
    this.lastHeardAt = instantBefore(requestedAt, read.ageMs)
    this.firstHeardAt = this.lastHeardAt
  }

  get vm (): string {
    return this.row.vm
  }

  get holder (): string {
    return this.row.holder
  }

  get version (): number {
    return this.rowVersion
  }

  get domain (): string {
    return this.row.domain
  }

  get peers (): string {
    return this.row.peers
  }

  get isWatched (): boolean {
    return this.watchedSince !== undefined
  }

  /**
   * Applies a row if it is newer than the current one.
   * @param requestedAt - when the row was requested
   */
  applyRow (read: StoredMember, requestedAt: Instant): void {
    if (read.version <= this.rowVersion) return
    const at = instantBefore(requestedAt, read.ageMs)
    if (read.row.holder === this.row.holder) {
      this.row = { ...read.row, configVersion: newerVersion(read.row.configVersion, this.row.configVersion) }
    } else {
      this.row = read.row
      this.restart(at)
    }
    this.rowVersion = read.version
    this.leaving ||= read.row.state === 'leaving'
    this.recordSignOfLife(at)
  }

  /** Applies an update about the current incarnation. */
  applyUpdate (update: MemberUpdate, now: Instant): void {
    this.leaving ||= update.state === 'leaving'
    if (update.state === 'suspected') {
      if (update.beat >= this.beat) this.suspectedHeartbeat = update.beat
      return
    }
    if (update.beat <= this.beat) return
    this.beat = update.beat
    this.openRequests = update.open
    this.row = { ...this.row, configVersion: newerVersion(update.config, this.row.configVersion) }
    this.recordSignOfLife(instantBefore(now, update.age))
  }

  /**
   * Applies an entry of the platform's list, unless other evidence is newer.
   * @param at - latest time at which the entry was certainly valid
   */
  applyListEntry (state: 'live' | 'leaving' | 'gone', at: Instant): void {
    if (state === 'leaving' && isLater(at, this.firstHeardAt)) this.leaving = true
    if (state === 'gone' && isLater(at, this.lastHeardAt)) this.terminatedAt = at
  }

  /** Sets whether heartbeats of this VM are expected here. */
  setWatched (isExpected: boolean, now: Instant): void {
    if (!isExpected) this.watchedSince = undefined
    else this.watchedSince ??= now
  }

  /** Restarts the measurement of silence after a pause of this process. */
  resetWatch (now: Instant): void {
    if (this.isWatched) this.watchedSince = now
  }

  /** Milliseconds without a heartbeat that count against a watched VM; 0 for others. */
  silenceMs (now: Instant): number {
    if (this.watchedSince === undefined) return 0
    return elapsedMs(isLater(this.lastHeardAt, this.watchedSince) ? this.lastHeardAt : this.watchedSince, now)
  }

  /** Milliseconds since the last sign of life. */
  ageMs (now: Instant): number {
    return elapsedMs(this.lastHeardAt, now)
  }

  /**
   * The state that follows from all evidence.
   * @param staleMs - age of the last sign of life from which a VM is suspected
   */
  state (now: Instant, limits: MemberLimits, staleMs: number): MemberState {
    if (this.terminatedAt !== undefined) return 'gone'
    if (this.leaving) return 'leaving'
    if (this.silenceMs(now) > limits.suspectAfterMs) return 'suspected'
    if (this.suspectedHeartbeat >= 0 && this.suspectedHeartbeat >= this.beat) return 'suspected'
    return this.ageMs(now) > staleMs ? 'suspected' : 'live'
  }

  /** Update about this VM for peers; undefined if the VM terminated. */
  news (state: MemberState, now: Instant): MemberUpdate | undefined {
    if (state === 'gone') return undefined
    const age = Math.round(this.ageMs(now))
    const beat = Math.max(this.beat, state === 'suspected' ? this.suspectedHeartbeat : 0, 0)
    return { holder: this.holder, beat, state, config: this.row.configVersion, open: this.openRequests, age }
  }

  view (state: MemberState, now: Instant): MemberView {
    return { ...this.row, state, openRequests: this.openRequests, ageMs: this.ageMs(now) }
  }

  private recordSignOfLife (at: Instant): void {
    if (!isLater(at, this.lastHeardAt)) return
    this.lastHeardAt = at
    if (this.terminatedAt !== undefined && isLater(at, this.terminatedAt)) this.terminatedAt = undefined
  }

  private restart (at: Instant): void {
    this.beat = -1
    this.suspectedHeartbeat = -1
    this.openRequests = 0
    this.leaving = false
    this.terminatedAt = undefined
    this.firstHeardAt = at
    this.lastHeardAt = at
  }
}

function newerVersion (a: number | null, b: number | null): number | null {
  if (a === null || b === null) return a ?? b
  return Math.max(a, b)
}
