/**
 * Acquires, renews and releases the lease of one role. The holder counts the lease from just before
 * its write was sent, by whichever of its clocks advanced more, and stops a margin early; others
 * wait a margin longer by the table's clock. A paused holder therefore finds its lease expired on
 * resuming. Two processes never may act at once, provided that clocks drift less than the margin
 * and that, on each machine, at least one of the two clocks runs during pauses and is not set back.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { HolderId } from '../names/nameTypes.js'
import { LeaseCalls, versionsOf, type LeaseWriteAttempt, type LeaseVersions } from './leaseCalls.js'
import { isAvailable, isHeldBy } from './leaseRules.js'
import { defaultLeaseLimits, FENCE_TABLE, type LeaseAction, type LeaseDecider, type LeaseEvent, type LeaseLimits, type LeaseRow, type LeaseRowCheck, type LeaseWriteOutcome, type ReadLease } from './leaseTypes.js'

interface HeldLease {
  readonly fencing: number
  readonly versions: LeaseVersions
  /** Time just before the write that established the lease was sent. */
  readonly validFrom: Instant
}

export class LeaseManager implements LeaseDecider {
  private readonly calls: LeaseCalls
  private held: HeldLease | undefined
  private wanted = false
  private releasingSince: Instant | undefined
  private done = false
  /** Stays set once expiry was seen, even if a clock is set back later. */
  private expired = false
  private needsRead = false
  /** Highest version of the lease row seen; a replica that returns a lower one lags. */
  private highestVersion = 0

  /** @param self - holder id of this process */
  constructor (private readonly role: string, private readonly self: HolderId, private readonly limits: LeaseLimits = defaultLeaseLimits) {
    this.calls = new LeaseCalls(role, self, limits)
  }

  handle (event: LeaseEvent, now: Instant): readonly LeaseAction[] {
    switch (event.kind) {
      case 'tick': return this.next(now)
      case 'candidate': return this.setCandidate(event.wanted)
      case 'recheck': return this.recheck(now)
      case 'release': return this.release(now)
      case 'readAnswered': return this.readAnswered(event.read, now)
      case 'readFailed': return this.recordReadFailure()
      case 'writeAnswered': return this.writeAnswered(event.outcome, now)
    }
  }

  mayAct (now: Instant): boolean {
    if (this.held === undefined || this.releasingSince !== undefined || this.expired) return false
    this.expired = elapsedMs(this.held.validFrom, now) >= this.limits.durationMs - this.limits.marginMs
    return !this.expired
  }

  fencing (): number | undefined {
    return this.held?.fencing
  }

  leaseCheck (now: Instant): LeaseRowCheck | undefined {
    if (this.held === undefined || !this.mayAct(now)) return undefined
    return { table: FENCE_TABLE, key: this.role, version: this.held.versions.fence }
  }

  holder (): HolderId {
    return this.self
  }

  private setCandidate (wanted: boolean): readonly LeaseAction[] {
    this.wanted = wanted
    return []
  }

  private recheck (now: Instant): readonly LeaseAction[] {
    this.needsRead = true
    return this.next(now)
  }

  private release (now: Instant): readonly LeaseAction[] {
    this.wanted = false
    this.releasingSince ??= now
    return this.next(now)
  }

  /** Reports an expired lease, then returns the next call to the table, if one is due. */
  private next (now: Instant): readonly LeaseAction[] {
    const lost = this.detectExpiry(now)
    return [...lost, ...this.nextCall(now)]
  }

  private detectExpiry (now: Instant): readonly LeaseAction[] {
    if (this.held === undefined || this.releasingSince !== undefined || this.mayAct(now)) return []
    this.needsRead = true
    return this.dropLease()
  }

  private nextCall (now: Instant): readonly LeaseAction[] {
    if (this.done) return []
    if (this.hasReleaseTimedOut(now)) return this.finish()
    if (this.calls.mustWait(now)) return []
    const isInvolved = this.wanted || this.releasingSince !== undefined || this.held !== undefined
    if (this.needsRead && isInvolved) return this.calls.read(now)
    if (this.releasingSince !== undefined) return this.nextRelease(now)
    if (this.held !== undefined) return elapsedMs(this.held.validFrom, now) >= this.limits.renewMs ? this.renew(this.held, now) : []
    return this.wanted && this.calls.isPeriodOver(this.limits.pollMs, now) ? this.calls.read(now) : []
  }

  /** Whether a release took so long that the lease has expired meanwhile. */
  private hasReleaseTimedOut (now: Instant): boolean {
    return this.releasingSince !== undefined && elapsedMs(this.releasingSince, now) >= this.limits.durationMs
  }

  private nextRelease (now: Instant): readonly LeaseAction[] {
    if (this.held === undefined) return this.finish()
    return this.calls.renew(this.held.fencing, true, this.held.versions, now)
  }

  private finish (): readonly LeaseAction[] {
    this.done = true
    this.held = undefined
    return [{ kind: 'released' }]
  }

  private renew (held: HeldLease, now: Instant): readonly LeaseAction[] {
    return this.calls.renew(held.fencing, false, held.versions, now)
  }

  private recordReadFailure (): readonly LeaseAction[] {
    this.calls.readFailed()
    return []
  }

  private writeAnswered (outcome: LeaseWriteOutcome, now: Instant): readonly LeaseAction[] {
    const attempt = this.calls.writeDone(outcome)
    if (attempt === undefined) return []
    if (outcome.kind === 'written') return this.written(attempt, outcome.version, now)
    if (outcome.kind === 'unavailable') return []
    this.needsRead = true
    return this.next(now)
  }

  private written (attempt: LeaseWriteAttempt, version: number, now: Instant): readonly LeaseAction[] {
    this.highestVersion = version
    if (attempt.row.released) return this.finish()
    return this.hold({
      fencing: attempt.row.fencing,
      versions: { lease: version, fence: attempt.fenceVersion ?? version },
      validFrom: attempt.startedAt
    }, now)
  }

  private hold (held: HeldLease, now: Instant): readonly LeaseAction[] {
    const isNew = this.held === undefined
    this.held = held
    this.expired = false
    this.calls.clearUnresolved()
    if (this.releasingSince !== undefined || !isNew) return this.next(now)
    if (this.mayAct(now)) return [{ kind: 'taken', fencing: held.fencing }, ...this.next(now)]
    // The response arrived after the lease expired; it can be renewed if no one else acquired it since.
    this.held = undefined
    this.needsRead = true
    return this.next(now)
  }

  private readAnswered (read: ReadLease, now: Instant): readonly LeaseAction[] {
    if (read.lease !== null && read.lease.version < this.highestVersion) return this.recordReadFailure()
    this.highestVersion = read.lease?.version ?? this.highestVersion
    this.calls.readDone()
    this.needsRead = false
    const { lease, fence } = read
    if (lease !== null && fence !== null && isHeldBy(lease.row, fence.row, this.self)) {
      return this.adopt(lease.row, { lease: lease.version, fence: fence.version }, now)
    }
    if (this.releasingSince !== undefined) return this.finish()
    const lost = this.dropLease()
    if (!this.wanted || !isAvailable(read, this.limits.marginMs)) return lost
    return [...lost, ...this.calls.acquire((lease?.row.fencing ?? 0) + 1, versionsOf(read), now)]
  }

  /** The rows name this process, through a tracked write or through one too old to rely on, which is renewed first. */
  private adopt (row: LeaseRow, versions: LeaseVersions, now: Instant): readonly LeaseAction[] {
    const startedAt = this.calls.sentAt(row.renewal)
    const held = { fencing: row.fencing, versions, validFrom: startedAt ?? now }
    if (startedAt !== undefined || this.releasingSince !== undefined) return this.hold(held, now)
    if (this.held === undefined) return this.renew(held, now)
    this.held = { ...held, validFrom: this.held.validFrom }
    return this.next(now)
  }

  private dropLease (): readonly LeaseAction[] {
    if (this.held === undefined) return []
    const { fencing } = this.held
    this.held = undefined
    return [{ kind: 'lost', fencing }]
  }
}
