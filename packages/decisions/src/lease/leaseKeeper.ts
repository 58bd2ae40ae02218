/**
 * Takes, renews and gives up the lease of one role. The holder counts the lease from the moment
 * before its write was sent, on whichever of its clocks saw more time pass, and stops a margin
 * early; others wait a margin longer by the table's clock. So a holder that was paused finds
 * its lease ended on waking, and two processes never may act at once while clocks drift less
 * than the margin allows and, on each machine, one of the two clocks goes on during pauses and
 * is not set back.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { HolderId } from '../names/nameTypes.js'
import { defaultLeaseLimits, FENCE_TABLE, LEASE_TABLE, type FenceRow, type LeaseAction, type LeaseDecider, type LeaseEvent, type LeaseLimits, type LeaseRow, type LeaseRowCheck, type LeaseRowWrite, type LeaseWriteOutcome, type ReadLease } from './leaseTypes.js'

interface HeldLease {
  readonly fencing: number
  readonly leaseVersion: number
  readonly fenceVersion: number
  /** Just before the write that the lease rests on was sent. */
  readonly validFrom: Instant
}

/** A write whose end is not known yet. */
interface Attempt {
  readonly row: LeaseRow
  readonly fenceVersion: number | null
  readonly startedAt: Instant
}

/** Keeper of one role's lease. */
export class LeaseKeeper implements LeaseDecider {
  private held: HeldLease | undefined
  private wanted = false
  private releasingSince: Instant | undefined
  private done = false
  /** A lapse once seen stays, though a clock be set back later. */
  private lapsed = false
  private busy = false
  private wantsRead = false
  private lastCallAt: Instant | undefined
  private lastFailed = false
  /** Highest version of the lease row seen; a replica that shows a lower one lags. */
  private seenVersion = 0
  private renewal = 0
  private attempt: Attempt | undefined
  /** Writes without an answer, by the number of the renewal. */
  private readonly unresolved = new Map<number, Instant>()

  /**
   * @param role - name of the role
   * @param self - holder id of this process
   * @param limits - duration, margin and periods
   */
  constructor (private readonly role: string, private readonly self: HolderId, private readonly limits: LeaseLimits = defaultLeaseLimits) {}

  handle (event: LeaseEvent, now: Instant): readonly LeaseAction[] {
    switch (event.kind) {
      case 'tick': return this.next(now)
      case 'candidate': return this.want(event.wanted)
      case 'doubt': return this.doubt(now)
      case 'release': return this.release(now)
      case 'readAnswered': return this.readAnswered(event.read, now)
      case 'readFailed': return this.failed()
      case 'writeAnswered': return this.writeAnswered(event.outcome, now)
    }
  }

  mayAct (now: Instant): boolean {
    if (this.held === undefined || this.releasingSince !== undefined || this.lapsed) return false
    this.lapsed = elapsedMs(this.held.validFrom, now) >= this.limits.durationMs - this.limits.marginMs
    return !this.lapsed
  }

  fencing (): number | undefined {
    return this.held?.fencing
  }

  leaseCheck (now: Instant): LeaseRowCheck | undefined {
    if (this.held === undefined || !this.mayAct(now)) return undefined
    return { table: FENCE_TABLE, key: this.role, version: this.held.fenceVersion }
  }

  holder (): HolderId {
    return this.self
  }

  private want (wanted: boolean): readonly LeaseAction[] {
    this.wanted = wanted
    return []
  }

  private doubt (now: Instant): readonly LeaseAction[] {
    this.wantsRead = true
    return this.next(now)
  }

  private release (now: Instant): readonly LeaseAction[] {
    this.wanted = false
    this.releasingSince ??= now
    return this.next(now)
  }

  /** The next call to the table, if one is due. */
  private next (now: Instant): readonly LeaseAction[] {
    const lost = this.noticeLapse(now)
    return [...lost, ...this.nextCall(now)]
  }

  private noticeLapse (now: Instant): readonly LeaseAction[] {
    if (this.held === undefined || this.releasingSince !== undefined || this.mayAct(now)) return []
    const { fencing } = this.held
    this.held = undefined
    this.wantsRead = true
    return [{ kind: 'lost', fencing }]
  }

  private nextCall (now: Instant): readonly LeaseAction[] {
    if (this.done) return []
    if (this.hasGivenUp(now)) return this.finish()
    if (this.busy || (this.lastFailed && !this.isPast(this.limits.retryMs, now))) return []
    const isInvolved = this.wanted || this.releasingSince !== undefined || this.held !== undefined
    if (this.wantsRead && isInvolved) return this.read(now)
    if (this.releasingSince !== undefined) return this.nextRelease(now)
    if (this.held !== undefined) return elapsedMs(this.held.validFrom, now) >= this.limits.renewMs ? this.renew(this.held, now) : []
    return this.wanted && this.isPast(this.limits.pollMs, now) ? this.read(now) : []
  }

  private isPast (periodMs: number, now: Instant): boolean {
    return this.lastCallAt === undefined || elapsedMs(this.lastCallAt, now) >= periodMs
  }

  /** Whether a release took so long that the lease ended by itself. */
  private hasGivenUp (now: Instant): boolean {
    return this.releasingSince !== undefined && elapsedMs(this.releasingSince, now) >= this.limits.durationMs
  }

  private nextRelease (now: Instant): readonly LeaseAction[] {
    if (this.held === undefined) return this.finish()
    const row = this.rowOf(this.held.fencing, true)
    return this.write(row, this.held.leaseVersion, this.held.fenceVersion, [], now)
  }

  private finish (): readonly LeaseAction[] {
    this.done = true
    this.held = undefined
    return [{ kind: 'released' }]
  }

  private renew (held: HeldLease, now: Instant): readonly LeaseAction[] {
    return this.write(this.rowOf(held.fencing, false), held.leaseVersion, held.fenceVersion, [], now)
  }

  private take (read: ReadLease, fencing: number, now: Instant): readonly LeaseAction[] {
    const fence: LeaseRowWrite = { table: FENCE_TABLE, key: this.role, value: { role: this.role, holder: this.self, fencing } }
    return this.write(this.rowOf(fencing, false), read.lease?.version ?? null, read.fence?.version ?? null, [fence], now)
  }

  private rowOf (fencing: number, released: boolean): LeaseRow {
    this.renewal += 1
    return { role: this.role, holder: this.self, fencing, durationMs: this.limits.durationMs, renewal: this.renewal, released }
  }

  private read (now: Instant): readonly LeaseAction[] {
    this.busy = true
    this.lastCallAt = now
    return [{ kind: 'read' }]
  }

  private write (row: LeaseRow, version: number | null, fenceVersion: number | null, more: readonly LeaseRowWrite[], now: Instant): readonly LeaseAction[] {
    this.busy = true
    this.lastCallAt = now
    // A write that replaces the fence row gives it a version that is not known yet.
    this.attempt = { row, fenceVersion: more.length === 0 ? fenceVersion : null, startedAt: now }
    this.forgetOldWrites(now)
    this.unresolved.set(row.renewal, now)
    const checks = [
      { table: LEASE_TABLE, key: this.role, version },
      { table: FENCE_TABLE, key: this.role, version: fenceVersion }
    ]
    return [{ kind: 'write', checks, writes: [{ table: LEASE_TABLE, key: this.role, value: row }, ...more] }]
  }

  private failed (): readonly LeaseAction[] {
    this.busy = false
    this.lastFailed = true
    return []
  }

  private writeAnswered (outcome: LeaseWriteOutcome, now: Instant): readonly LeaseAction[] {
    const attempt = this.attempt
    this.busy = false
    this.attempt = undefined
    this.lastFailed = outcome.kind === 'unavailable' || outcome.kind === 'conflict'
    if (attempt === undefined) return []
    if (outcome.kind === 'written') return this.written(attempt, outcome.version, now)
    if (outcome.kind === 'unavailable') {
      this.unresolved.delete(attempt.row.renewal)
      return []
    }
    this.wantsRead = true
    return this.next(now)
  }

  private written (attempt: Attempt, version: number, now: Instant): readonly LeaseAction[] {
    this.seenVersion = version
    if (attempt.row.released) return this.finish()
    return this.hold({
      fencing: attempt.row.fencing,
      leaseVersion: version,
      fenceVersion: attempt.fenceVersion ?? version,
      validFrom: attempt.startedAt
    }, now)
  }

  private hold (held: HeldLease, now: Instant): readonly LeaseAction[] {
    const isNew = this.held === undefined
    this.held = held
    this.lapsed = false
    this.unresolved.clear()
    if (this.releasingSince !== undefined || !isNew) return this.next(now)
    if (this.mayAct(now)) return [{ kind: 'taken', fencing: held.fencing }, ...this.next(now)]
    // The answer came after the lease had ended; it may be renewed if nobody took it since.
    this.held = undefined
    this.wantsRead = true
    return this.next(now)
  }

  private readAnswered (read: ReadLease, now: Instant): readonly LeaseAction[] {
    if (read.lease !== null && read.lease.version < this.seenVersion) return this.failed()
    this.seenVersion = read.lease?.version ?? this.seenVersion
    this.busy = false
    this.lastFailed = false
    this.wantsRead = false
    const { lease, fence } = read
    if (lease !== null && fence !== null && this.isOwn(lease.row, fence.row)) {
      return this.adopt(lease.row, lease.version, fence.version, now)
    }
    if (this.releasingSince !== undefined) return this.finish()
    const lost = this.forget()
    if (!this.wanted || !this.isFree(read)) return lost
    return [...lost, ...this.take(read, (lease?.row.fencing ?? 0) + 1, now)]
  }

  private isOwn (lease: LeaseRow, fence: FenceRow): boolean {
    return lease.holder === this.self && !lease.released && fence.holder === this.self && fence.fencing === lease.fencing
  }

  /** The rows name this process: by a write that is known, or by one too old to count on. */
  private adopt (row: LeaseRow, leaseVersion: number, fenceVersion: number, now: Instant): readonly LeaseAction[] {
    const startedAt = this.unresolved.get(row.renewal)
    const held = { fencing: row.fencing, leaseVersion, fenceVersion, validFrom: startedAt ?? now }
    if (startedAt !== undefined || this.releasingSince !== undefined) return this.hold(held, now)
    if (this.held === undefined) return this.renew(held, now)
    this.held = { ...held, validFrom: this.held.validFrom }
    return this.next(now)
  }

  /** Writes so old that a lease resting on them would have ended need not be known. */
  private forgetOldWrites (now: Instant): void {
    for (const [renewal, startedAt] of this.unresolved) {
      if (elapsedMs(startedAt, now) >= this.limits.durationMs) this.unresolved.delete(renewal)
    }
  }

  private forget (): readonly LeaseAction[] {
    if (this.held === undefined) return []
    const { fencing } = this.held
    this.held = undefined
    return [{ kind: 'lost', fencing }]
  }

  private isFree (read: ReadLease): boolean {
    if (read.lease === null || read.lease.row.released) return true
    return read.lease.ageMs > read.lease.row.durationMs + this.limits.marginMs
  }
}
