/**
 * Table calls of one lease manager, at most one at a time. Builds reads and writes, and tracks
 * writes with an unknown outcome, since a later read may show that they took effect.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { HolderId } from '../names/nameTypes.js'
import { FENCE_TABLE, LEASE_TABLE, type LeaseAction, type LeaseLimits, type LeaseRow, type LeaseRowWrite, type LeaseWriteOutcome, type ReadLease } from './leaseTypes.js'

/** Versions that a write requires of both rows; null when a row must not exist. */
export interface LeaseVersions {
  readonly lease: number | null
  readonly fence: number | null
}

/** The write in progress. */
export interface LeaseWriteAttempt {
  readonly row: LeaseRow
  /** Null when the write replaces the fence row, whose new version is not known before the response. */
  readonly fenceVersion: number | null
  readonly startedAt: Instant
}

export class LeaseCalls {
  private callInProgress = false
  private lastCallAt: Instant | undefined
  private lastFailed = false
  private renewal = 0
  private attempt: LeaseWriteAttempt | undefined
  /** Start times of writes with an unknown outcome, by renewal number. */
  private readonly unresolved = new Map<number, Instant>()

  /** @param self - holder id of this process */
  constructor (private readonly role: string, private readonly self: HolderId, private readonly limits: LeaseLimits) {}

  /** Whether no call may start: one is in progress, or the last one failed less than the retry delay ago. */
  mustWait (now: Instant): boolean {
    return this.callInProgress || (this.lastFailed && !this.isPeriodOver(this.limits.retryMs, now))
  }

  /** Whether the last call started at least a period ago. */
  isPeriodOver (periodMs: number, now: Instant): boolean {
    return this.lastCallAt === undefined || elapsedMs(this.lastCallAt, now) >= periodMs
  }

  /** Starts a read of both rows. */
  read (now: Instant): readonly LeaseAction[] {
    this.begin(now)
    return [{ kind: 'read' }]
  }

  /**
   * Starts a write of the lease row that leaves the fence row unchanged.
   * @param fencing - current fencing number
   * @param released - whether the write releases the lease
   * @param versions - versions that the rows must have
   */
  renew (fencing: number, released: boolean, versions: LeaseVersions, now: Instant): readonly LeaseAction[] {
    return this.write(this.rowOf(fencing, released), versions, [], now)
  }

  /**
   * Starts a write that acquires the lease.
   * @param fencing - new fencing number
   * @param versions - versions that the rows must have
   */
  acquire (fencing: number, versions: LeaseVersions, now: Instant): readonly LeaseAction[] {
    const fence: LeaseRowWrite = { table: FENCE_TABLE, key: this.role, value: { role: this.role, holder: this.self, fencing } }
    return this.write(this.rowOf(fencing, false), versions, [fence], now)
  }

  readDone (): void {
    this.callInProgress = false
    this.lastFailed = false
  }

  /** Records a failed read, or one that returned outdated rows. */
  readFailed (): void {
    this.callInProgress = false
    this.lastFailed = true
  }

  /** Records the outcome of a write; returns the write, if one was in progress. */
  writeDone (outcome: LeaseWriteOutcome): LeaseWriteAttempt | undefined {
    const attempt = this.attempt
    this.callInProgress = false
    this.attempt = undefined
    this.lastFailed = outcome.kind === 'unavailable' || outcome.kind === 'conflict'
    if (outcome.kind === 'unavailable' && attempt !== undefined) this.unresolved.delete(attempt.row.renewal)
    return attempt
  }

  /** When a write with an unknown outcome was sent, by its renewal number. */
  sentAt (renewal: number): Instant | undefined {
    return this.unresolved.get(renewal)
  }

  /** Called once a later write is known to have taken effect. */
  clearUnresolved (): void {
    this.unresolved.clear()
  }

  private begin (now: Instant): void {
    this.callInProgress = true
    this.lastCallAt = now
  }

  private rowOf (fencing: number, released: boolean): LeaseRow {
    this.renewal += 1
    return { role: this.role, holder: this.self, fencing, durationMs: this.limits.durationMs, renewal: this.renewal, released }
  }

  private write (row: LeaseRow, { lease, fence }: LeaseVersions, moreWrites: readonly LeaseRowWrite[], now: Instant): readonly LeaseAction[] {
    this.begin(now)
    this.attempt = { row, fenceVersion: moreWrites.length === 0 ? fence : null, startedAt: now }
    this.dropExpiredWrites(now)
    this.unresolved.set(row.renewal, now)
    const checks = [
      { table: LEASE_TABLE, key: this.role, version: lease },
      { table: FENCE_TABLE, key: this.role, version: fence }
    ]
    return [{ kind: 'write', checks, writes: [{ table: LEASE_TABLE, key: this.role, value: row }, ...moreWrites] }]
  }

  /** A lease from a write older than its duration has expired, so such writes are no longer tracked. */
  private dropExpiredWrites (now: Instant): void {
    for (const [renewal, startedAt] of this.unresolved) {
      if (elapsedMs(startedAt, now) >= this.limits.durationMs) this.unresolved.delete(renewal)
    }
  }
}

export function versionsOf (read: ReadLease): LeaseVersions {
  return { lease: read.lease?.version ?? null, fence: read.fence?.version ?? null }
}
