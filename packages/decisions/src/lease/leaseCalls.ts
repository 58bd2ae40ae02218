/**
 * The calls of one lease keeper to the table: at most one is under way. It builds reads and
 * writes, and remembers the writes whose end is not known, as a later read may show them done.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { HolderId } from '../names/nameTypes.js'
import { FENCE_TABLE, LEASE_TABLE, type LeaseAction, type LeaseLimits, type LeaseRow, type LeaseRowWrite, type LeaseWriteOutcome, type ReadLease } from './leaseTypes.js'

/** Versions that a write asks of both rows; null when a row must not exist. */
export interface LeaseVersions {
  readonly lease: number | null
  readonly fence: number | null
}

/** A write whose end is not known yet. */
export interface LeaseAttempt {
  readonly row: LeaseRow
  /** Null when the write replaces the fence row, which gives it a version that is not known yet. */
  readonly fenceVersion: number | null
  readonly startedAt: Instant
}

/** Calls about one role. */
export class LeaseCalls {
  private busy = false
  private lastCallAt: Instant | undefined
  private lastFailed = false
  private renewal = 0
  private attempt: LeaseAttempt | undefined
  /** Writes without an answer, by the number of the renewal. */
  private readonly unresolved = new Map<number, Instant>()

  /**
   * @param role - name of the role
   * @param self - holder id of this process
   * @param limits - duration and periods
   */
  constructor (private readonly role: string, private readonly self: HolderId, private readonly limits: LeaseLimits) {}

  /**
   * Whether no call may begin: one is under way, or the last one failed a moment ago.
   * @param now - both clocks
   */
  mustWait (now: Instant): boolean {
    return this.busy || (this.lastFailed && !this.isPast(this.limits.retryMs, now))
  }

  /**
   * Whether the last call began at least a period ago.
   * @param periodMs - milliseconds
   * @param now - both clocks
   */
  isPast (periodMs: number, now: Instant): boolean {
    return this.lastCallAt === undefined || elapsedMs(this.lastCallAt, now) >= periodMs
  }

  /**
   * Begins a read of both rows.
   * @param now - both clocks
   */
  read (now: Instant): readonly LeaseAction[] {
    this.begin(now)
    return [{ kind: 'read' }]
  }

  /**
   * Begins a write of the lease row under an unchanged fence.
   * @param fencing - fencing number held
   * @param released - whether the write gives the lease up
   * @param versions - versions that the rows must have
   * @param now - both clocks
   */
  renew (fencing: number, released: boolean, versions: LeaseVersions, now: Instant): readonly LeaseAction[] {
    return this.write(this.rowOf(fencing, released), versions, [], now)
  }

  /**
   * Begins a write that takes the lease under a new fencing number.
   * @param fencing - the new number
   * @param versions - versions that the rows must have
   * @param now - both clocks
   */
  take (fencing: number, versions: LeaseVersions, now: Instant): readonly LeaseAction[] {
    const fence: LeaseRowWrite = { table: FENCE_TABLE, key: this.role, value: { role: this.role, holder: this.self, fencing } }
    return this.write(this.rowOf(fencing, false), versions, [fence], now)
  }

  /** The read was answered. */
  readDone (): void {
    this.busy = false
    this.lastFailed = false
  }

  /** The read failed, or its answer was of no use. */
  readFailed (): void {
    this.busy = false
    this.lastFailed = true
  }

  /**
   * The write was answered.
   * @param outcome - how it ended
   * @returns the write, if one was under way
   */
  writeDone (outcome: LeaseWriteOutcome): LeaseAttempt | undefined {
    const attempt = this.attempt
    this.busy = false
    this.attempt = undefined
    this.lastFailed = outcome.kind === 'unavailable' || outcome.kind === 'conflict'
    if (outcome.kind === 'unavailable' && attempt !== undefined) this.unresolved.delete(attempt.row.renewal)
    return attempt
  }

  /**
   * When an unanswered write was sent.
   * @param renewal - its number
   */
  sentAt (renewal: number): Instant | undefined {
    return this.unresolved.get(renewal)
  }

  /** Forgets all unanswered writes: a later one is known. */
  forgetUnresolved (): void {
    this.unresolved.clear()
  }

  private begin (now: Instant): void {
    this.busy = true
    this.lastCallAt = now
  }

  private rowOf (fencing: number, released: boolean): LeaseRow {
    this.renewal += 1
    return { role: this.role, holder: this.self, fencing, durationMs: this.limits.durationMs, renewal: this.renewal, released }
  }

  private write (row: LeaseRow, { lease, fence }: LeaseVersions, more: readonly LeaseRowWrite[], now: Instant): readonly LeaseAction[] {
    this.begin(now)
    this.attempt = { row, fenceVersion: more.length === 0 ? fence : null, startedAt: now }
    this.forgetOldWrites(now)
    this.unresolved.set(row.renewal, now)
    const checks = [
      { table: LEASE_TABLE, key: this.role, version: lease },
      { table: FENCE_TABLE, key: this.role, version: fence }
    ]
    return [{ kind: 'write', checks, writes: [{ table: LEASE_TABLE, key: this.role, value: row }, ...more] }]
  }

  /** Writes so old that a lease resting on them would have ended need not be known. */
  private forgetOldWrites (now: Instant): void {
    for (const [renewal, startedAt] of this.unresolved) {
      if (elapsedMs(startedAt, now) >= this.limits.durationMs) this.unresolved.delete(renewal)
    }
  }
}

/**
 * Versions of both rows as read.
 * @param read - the rows
 */
export function versionsOf (read: ReadLease): LeaseVersions {
  return { lease: read.lease?.version ?? null, fence: read.fence?.version ?? null }
}
