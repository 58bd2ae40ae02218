/**
 * What is known of one VM and how sure it is. Every piece of evidence has an age; the state
 * follows from the evidence and the present time.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { MemberLimits, MemberNews, MemberRow, MemberState, MemberView, ReadMember } from './memberTypes.js'

/**
 * The reading of both clocks some time before another.
 * @param at - the later reading
 * @param ms - milliseconds between them
 */
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
  /** First sign of this incarnation; older entries of the list speak of an earlier one. */
  private firstHeardAt: Instant
  private goneAt: Instant | undefined
  /** Heartbeat after which others heard nothing. */
  private suspectedBeat = -1
  /** Since when heartbeats from this VM are due here; undefined when none are. */
  private watchedSince: Instant | undefined

  /**
   * @param read - the row of the VM
   * @param askedAt - when the row was asked for
   */
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

  /** Version of the row. */
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
   * Takes a row that is newer than the one known.
   * @param read - the row
   * @param askedAt - when the row was asked for
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

  /**
   * Takes news of the present incarnation.
   * @param news - what was told
   * @param now - when it arrived
   */
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
   * Takes an entry of the platform's list; one older than what is known is ignored.
   * @param state - what the list says
   * @param at - latest time at which it surely held
   */
  readList (state: 'live' | 'leaving' | 'gone', at: Instant): void {
    if (state === 'leaving' && isLater(at, this.firstHeardAt)) this.leaving = true
    if (state === 'gone' && isLater(at, this.heardAt)) this.goneAt = at
  }

  /**
   * Tells whether heartbeats of this VM are due here.
   * @param due - whether they are
   * @param now - the present time
   */
  watch (due: boolean, now: Instant): void {
    if (!due) this.watchedSince = undefined
    else this.watchedSince ??= now
  }

  /** Starts the count of silence afresh, after a pause of this process. */
  resetWatch (now: Instant): void {
    if (this.watched) this.watchedSince = now
  }

  /** Milliseconds of silence that count against a watched VM; 0 for others. */
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
   * @param now - the present time
   * @param limits - thresholds
   * @param staleMs - age from which unheard VMs are suspected
   */
  state (now: Instant, limits: MemberLimits, staleMs: number): MemberState {
    if (this.goneAt !== undefined) return 'gone'
    if (this.leaving) return 'leaving'
    if (this.silenceMs(now) > limits.suspectAfterMs) return 'suspected'
    if (this.suspectedBeat >= 0 && this.suspectedBeat >= this.beat) return 'suspected'
    return this.ageMs(now) > staleMs ? 'suspected' : 'live'
  }

  /** What to pass on of this VM; nothing of a VM that is gone. */
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
