/**
 * State of this VM's row in the table: written at the start over any earlier incarnation, then renewed only while it still names
 * this process. A row that names another holder means that this VM was replaced.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { HolderId } from '../names/nameTypes.js'
import type { MemberAction, MemberRow, OwnWriteOutcome } from './memberTypes.js'

/** Delay before a failed call to the table is retried. */
const RETRY_MS = 1_000

type Phase =
  /** The row was not yet seen in the table. */
  | 'starting'
  | 'registered'
  /** After a pause or a lost response: the row has to be read. */
  | 'unsure'
  | 'replaced'

/** Decides when to read and write the local row. */
export class OwnRow {
  private phase: Phase = 'starting'
  private version: number | null = null
  private busy = false
  private wantsRead = true
  private wantsWrite = false
  private lastCallAt: Instant | undefined
  private lastWriteAt: Instant | undefined
  private failed = false
  private written: MemberRow | undefined
  private paused = false

  /** @param renewMs - milliseconds between two renewals */
  constructor (private readonly holder: HolderId, private readonly renewMs: number) {}

  get registered (): boolean {
    return this.phase === 'registered'
  }

  get mayBeReplaced (): boolean {
    return this.paused || this.phase === 'replaced'
  }

  /** Handles a possible pause of the process: the row is read before it is written again. */
  doubt (): void {
    if (this.phase !== 'starting') this.paused = true
    this.unsure()
  }

  /** Schedules a read of the row, without assuming a pause. */
  unsure (): void {
    this.wantsRead = true
    if (this.phase === 'registered') this.phase = 'unsure'
  }

  /** Schedules a write of the row as soon as possible, as when this VM leaves. */
  makeDue (): void {
    this.wantsWrite = true
  }

  /**
   * The next call to the table, if one is due.
   * @param row - the desired content of the row
   */
  due (row: MemberRow, now: Instant): readonly MemberAction[] {
    if (this.busy || this.phase === 'replaced' || this.isTooEarly(now)) return []
    if (this.wantsRead) return this.start(now, { kind: 'readOwn' })
    if (!this.needsWrite(row, now)) return []
    this.wantsWrite = false
    this.written = row
    this.lastWriteAt = now
    return this.start(now, { kind: 'writeOwn', row, version: this.version })
  }

  /**
   * Handles a read of the row.
   * @param found - its holder and version; null if there is no row
   */
  read (found: { readonly holder: HolderId, readonly version: number } | null): readonly MemberAction[] {
    if (found !== null && this.version !== null && found.version < this.version) {
      // An outdated replica responded; its holder is no longer valid.
      this.unreadable()
      return []
    }
    this.busy = false
    this.failed = false
    this.wantsRead = false
    const isOwn = found?.holder === this.holder
    if (!isOwn && found !== null && this.phase !== 'starting') return this.replaced(found.holder)
    const tookEffect = isOwn && found?.version !== this.version
    this.version = found?.version ?? null
    this.paused = false
    this.wantsWrite = !tookEffect
    if (isOwn) this.phase = 'registered'
    return []
  }

  /** Handles a failed read of the table. */
  unreadable (): void {
    this.busy = false
    this.failed = true
  }

  /** Handles the outcome of a write. */
  wrote (outcome: OwnWriteOutcome): void {
    this.busy = false
    this.failed = outcome.kind === 'unavailable'
    if (outcome.kind === 'written') {
      this.phase = 'registered'
      this.version = outcome.version
      return
    }
    this.wantsWrite = true
    if (outcome.kind !== 'unavailable') this.unsure()
  }

  private replaced (by: HolderId): readonly MemberAction[] {
    this.phase = 'replaced'
    return [{ kind: 'replaced', by }]
  }

  private needsWrite (row: MemberRow, now: Instant): boolean {
    if (this.wantsWrite || this.written === undefined || this.lastWriteAt === undefined) return true
    if (row.configVersion !== this.written.configVersion || row.state !== this.written.state) return true
    return elapsedMs(this.lastWriteAt, now) >= this.renewMs
  }

  private isTooEarly (now: Instant): boolean {
    return this.failed && this.lastCallAt !== undefined && elapsedMs(this.lastCallAt, now) < RETRY_MS
  }

  private start (now: Instant, action: MemberAction): readonly MemberAction[] {
    this.busy = true
    this.lastCallAt = now
    return [action]
  }
}
