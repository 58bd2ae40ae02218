/**
 * Evidence about one VM. Every piece of evidence has an age; the VM's state follows from the evidence and the current time.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { MemberLimits, MemberNews, MemberRow, MemberState, MemberView, ReadMember } from './memberTypes.js'

/** Both clocks as they were some milliseconds before a reading. */
export function earlier (at: Instant, ms: number): Instant {
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
  private heardAt: Instant
  /** First sign of life of this incarnation; older entries of the list refer to an earlier one. */
  private firstHeardAt: Instant
  private goneAt: Instant | undefined
  /** Last heartbeat that peers received before they suspected the VM. */
  private suspectedBeat = -1
  /** Since when heartbeats of this VM are expected here; undefined if none are. */
  private watchedSince: Instant | undefined

  /** @param askedAt - when the row was requested */
  constructor (read: ReadMember, askedAt: Instant) {
    this.row = read.row
    this.rowVersion = read.version
    this.leaving = read.row.state === 'leaving'
    this.heardAt = earlier(askedAt, read.ageMs)
    this.firstHeardAt = this.heardAt
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

  get watched (): boolean {
    return this.watchedSince !== undefined
  }

  /**
   * Applies a row if it is newer than the current one.
   * @param askedAt - when the row was requested
   */
  readRow (read: ReadMember, askedAt: Instant): void {
    if (read.version <= this.rowVersion) return
    const at = earlier(askedAt, read.ageMs)
    if (read.row.holder === this.row.holder) {
      this.row = { ...read.row, configVersion: newerVersion(read.row.configVersion, this.row.configVersion) }
    } else {
      this.row = read.row
      this.restart(at)
    }
    this.rowVersion = read.version
    this.leaving ||= read.row.state === 'leaving'
    this.heard(at)
  }

  /** Applies an update about the current incarnation. */
  hear (news: MemberNews, now: Instant): void {
    this.leaving ||= news.state === 'leaving'
    if (news.state === 'suspected') {
      if (news.beat >= this.beat) this.suspectedBeat = news.beat
      return
    }
    if (news.beat <= this.beat) return
    this.beat = news.beat
    this.openRequests = news.open
    this.row = { ...this.row, configVersion: newerVersion(news.config, this.row.configVersion) }
    this.heard(earlier(now, news.age))
  }

  /**
   * Applies an entry of the platform's list, unless other evidence is newer.
   * @param at - latest time at which the entry was certainly valid
   */
  readList (state: 'live' | 'leaving' | 'gone', at: Instant): void {
    if (state === 'leaving' && isLater(at, this.firstHeardAt)) this.leaving = true
    if (state === 'gone' && isLater(at, this.heardAt)) this.goneAt = at
  }

  /** Sets whether heartbeats of this VM are expected here. */
  watch (due: boolean, now: Instant): void {
    if (!due) this.watchedSince = undefined
    else this.watchedSince ??= now
  }

  /** Restarts the measurement of silence after a pause of this process. */
  resetWatch (now: Instant): void {
    if (this.watched) this.watchedSince = now
  }

  /** Milliseconds without a heartbeat that count against a watched VM; 0 for others. */
  silenceMs (now: Instant): number {
    if (this.watchedSince === undefined) return 0
    return elapsedMs(isLater(this.heardAt, this.watchedSince) ? this.heardAt : this.watchedSince, now)
  }

  /** Milliseconds since the last sign of life. */
  ageMs (now: Instant): number {
    return elapsedMs(this.heardAt, now)
  }

  /**
   * The state that follows from all evidence.
   * @param staleMs - age of the last sign of life from which a VM is suspected
   */
  state (now: Instant, limits: MemberLimits, staleMs: number): MemberState {
    if (this.goneAt !== undefined) return 'gone'
    if (this.leaving) return 'leaving'
    if (this.silenceMs(now) > limits.suspectAfterMs) return 'suspected'
    if (this.suspectedBeat >= 0 && this.suspectedBeat >= this.beat) return 'suspected'
    return this.ageMs(now) > staleMs ? 'suspected' : 'live'
  }

  /** Update about this VM for peers; undefined if the VM terminated. */
  news (state: MemberState, now: Instant): MemberNews | undefined {
    if (state === 'gone') return undefined
    const age = Math.round(this.ageMs(now))
    const beat = Math.max(this.beat, state === 'suspected' ? this.suspectedBeat : 0, 0)
    return { holder: this.holder, beat, state, config: this.row.configVersion, open: this.openRequests, age }
  }

  view (state: MemberState, now: Instant): MemberView {
    return { ...this.row, state, openRequests: this.openRequests, ageMs: this.ageMs(now) }
  }

  private heard (at: Instant): void {
    if (!isLater(at, this.heardAt)) return
    this.heardAt = at
    if (this.goneAt !== undefined && isLater(at, this.goneAt)) this.goneAt = undefined
  }

  private restart (at: Instant): void {
    this.beat = -1
    this.suspectedBeat = -1
    this.openRequests = 0
    this.leaving = false
    this.goneAt = undefined
    this.firstHeardAt = at
    this.heardAt = at
  }
}

function newerVersion (a: number | null, b: number | null): number | null {
  if (a === null || b === null) return a ?? b
  return Math.max(a, b)
}
