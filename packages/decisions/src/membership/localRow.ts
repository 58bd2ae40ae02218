/**
 * State of this VM's row in the table: written at the start over any earlier incarnation, then renewed only while it still names
 * this process. A row that names another holder means that this VM was replaced.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { HolderId } from '../names/nameTypes.js'
import type { MemberAction, MemberRow, LocalWriteOutcome } from './memberTypes.js'

/** Delay before a failed call to the table is retried. */
const RETRY_MS = 1_000

type Phase =
  /** The row was not yet seen in the table. */
  | 'starting'
  | 'registered'
  /** After a pause or a lost response: the row has to be read. */
  | 'unverified'
  | 'replaced'

/** Decides when to read and write the local row. */
export class LocalRow {
  private phase: Phase = 'starting'
  private version: number | null = null
  private isCallInFlight = false
  private isReadRequired = true
  private isWriteRequired = false
  private lastCallAt: Instant | undefined
  private lastWriteAt: Instant | undefined
  private lastCallFailed = false
  private lastWritten: MemberRow | undefined
  private paused = false

  /** @param renewMs - milliseconds between two renewals */
  constructor (private readonly holder: HolderId, private readonly renewMs: number) {}

  /** Whether the table was last seen to store the row of this process. */
  get isRegistered (): boolean {
    return this.phase === 'registered'
  }

  get mayBeReplaced (): boolean {
    return this.paused || this.phase === 'replaced'
  }

  /** Handles a possible pause of the process: the row is read before it is written again. */
  handlePause (): void {
    if (this.phase !== 'starting') this.paused = true
    this.requireRead()
  }

  /** Schedules a read of the row, without assuming a pause. */
  requireRead (): void {
    this.isReadRequired = true
    if (this.phase === 'registered') this.phase = 'unverified'
  }

  /** Schedules a write of the row as soon as possible, as when this VM leaves. */
  requireWrite (): void {
    this.isWriteRequired = true
  }

  /**
   * The next call to the table, if one is due.
   * @param row - the desired content of the row
   */
  nextCall (row: MemberRow, now: Instant): readonly MemberAction[] {
    if (this.isCallInFlight || this.phase === 'replaced' || this.isTooEarly(now)) return []
    if (this.isReadRequired) return this.start(now, { kind: 'readLocalRow' })
    if (!this.needsWrite(row, now)) return []
    this.isWriteRequired = false
    this.lastWritten = row
    this.lastWriteAt = now
    return this.start(now, { kind: 'writeLocalRow', row, version: this.version })
  }

  /**
   * Handles a read of the row.
   * @param found - its holder and version; null if there is no row
   */
  handleRead (found: { readonly holder: HolderId, readonly version: number } | null): readonly MemberAction[] {
    if (found !== null && this.version !== null && found.version < this.version) {
      // An outdated replica responded; its holder is no longer valid.
      this.handleReadFailure()
      return []
    }
    this.isCallInFlight = false
    this.lastCallFailed = false
    this.isReadRequired = false
    const isLocal = found?.holder === this.holder
    if (!isLocal && found !== null && this.phase !== 'starting') return this.markReplaced(found.holder)
    const writeTookEffect = isLocal && found?.version !== this.version
    this.version = found?.version ?? null
    this.paused = false
    this.isWriteRequired = !writeTookEffect
    if (isLocal) this.phase = 'registered'
    return []
  }

  /** Handles a failed read of the table. */
  handleReadFailure (): void {
    this.isCallInFlight = false
    this.lastCallFailed = true
  }

  /** Handles the outcome of a write. */
  handleWriteOutcome (outcome: LocalWriteOutcome): void {
    this.isCallInFlight = false
    this.lastCallFailed = outcome.kind === 'unavailable'
    if (outcome.kind === 'written') {
      this.phase = 'registered'
      this.version = outcome.version
      return
    }
    this.isWriteRequired = true
    if (outcome.kind !== 'unavailable') this.requireRead()
  }

  private markReplaced (by: HolderId): readonly MemberAction[] {
    this.phase = 'replaced'
    return [{ kind: 'replaced', by }]
  }

  private needsWrite (row: MemberRow, now: Instant): boolean {
    if (this.isWriteRequired || this.lastWritten === undefined || this.lastWriteAt === undefined) return true
    if (row.configVersion !== this.lastWritten.configVersion || row.state !== this.lastWritten.state) return true
    return elapsedMs(this.lastWriteAt, now) >= this.renewMs
  }

  private isTooEarly (now: Instant): boolean {
    return this.lastCallFailed && this.lastCallAt !== undefined && elapsedMs(this.lastCallAt, now) < RETRY_MS
  }

  private start (now: Instant, action: MemberAction): readonly MemberAction[] {
    this.isCallInFlight = true
    this.lastCallAt = now
    return [action]
  }
}
