/**
 * State of one budget at one holder: allotted and reserved tokens, the lease of the allotment, demand, and requests waiting
 * for tokens.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import { DesiredAllotment } from './desiredAllotment.js'
import { usableMs, type BudgetPolicy } from './budgetPolicy.js'
import type { OpenDraw, ReservedTokens, AcquisitionRound, Shortage, WaitingRequest } from './budgetEntryTypes.js'
import type { BudgetView, Transfer } from './budgetTypes.js'
import { GrantPool } from './grantPool.js'
import { PeerDemand } from './peerDemand.js'
import { UrgentHold } from './urgentHold.js'
import { ReceivedTransfers } from './receivedTransfers.js'
import { allowanceOf, ReportBounds, type ReportAllowance } from './reportBound.js'

/** Fraction of the fair share below which a holder refills without local demand. */
const MIN_FAIR_SHARE_RATIO = 0.5

/** Report age, in flush intervals, that shows an unresponsive table: without bills a report is written every three. */
const UNRESPONSIVE_FLUSHES = 5

/** One budget at one holder. Amounts in tokens, plain times in monotonic milliseconds. */
export class BudgetEntry {
  /** Allotted tokens plus received transfers, minus settled and transferred tokens. */
  held = 0
  /** Worst-case cost of running requests. */
  reserved = 0
  /** Bills not yet durable. */
  unsettled = 0
  /** Share of `unsettled` in the open flush. */
  flushing = 0
  /** Tokens queued for return to the table. */
  returning = 0
  /** Tokens of dropped bills, for which a recovery accounts. */
  inDoubt = 0
  /** Free tokens after the last draw, transfer or return; base of the low-water mark. */
  level = 0
  lastRequestedAt = 0
  /** Whether the allotment is refilled ahead of need; false while draining or idle. */
  isRefilled = true
  /** Start of the lease: when the last successful table write was sent. */
  leaseStartedAt: Instant | undefined
  /** When a renewal was last queued. */
  renewalQueuedAt: Instant | undefined
  /** Whether the allotment was closed and the next draw must reopen it. */
  mustReopen = false
  draw: OpenDraw | undefined
  round: AcquisitionRound | undefined
  shortage: Shortage | undefined
  /** When `shortage` was recorded. */
  shortageAt = 0
  /** Tokens allotted to holders that the last recall could not reach. */
  unreachable = 0
  nextDrawAt = 0
  drawPauseMs = 0
  nextRoundAt = 0
  roundPauseMs = 0
  waiting: WaitingRequest[] = []
  /** For how long free tokens are kept for urgent ones of them. */
  readonly admissionHold = new UrgentHold()
  /** Tokens granted by other holders; not part of the allotment. */
  readonly grantedBalance = new GrantPool()
  /** Id of the open grant request. */
  grantRequestId: string | undefined
  nextGrantRequestAt = 0
  /** Pause after the last grant request, longer each time that nothing was granted. */
  grantPauseMs = 0
  /** When other holders last granted less than waiting requests need. */
  grantsShortAt = -Infinity
  /** When a grant request last got no answer from any peer. */
  peersUnresponsiveAt = -Infinity
  private readonly peerDemand = new PeerDemand()
  readonly desired: DesiredAllotment
  /** Bounds on unreported use. */
  readonly bounds = new ReportBounds()
  private readonly received = new ReceivedTransfers()

  /** @param checkOwned - whether this holder owns the budget */
  constructor (readonly budget: string, private readonly policy: BudgetPolicy, private readonly checkOwned: () => boolean = () => true) {
    this.desired = new DesiredAllotment(policy, checkOwned)
  }

  /** Whether this holder owns the budget. */
  get isOwned (): boolean {
    return this.checkOwned()
  }

  /** Whether tokens are drawn ahead of need: this holder owns the budget or has high demand for it. */
  drawsAhead (mono: number): boolean {
    return this.isOwned || this.desired.isBusy(mono)
  }

  /** Records that requests for this budget arrived, or may arrive at any time. */
  recordRequest (mono: number): void {
    this.lastRequestedAt = mono
    this.isRefilled = true
  }

  /**
   * Counts a grant request as demand, because a holder that does not own the budget draws nothing for it.
   * @param granted - tokens granted
   */
  recordPeerDemand ({ tokens, priority }: { readonly tokens: number, readonly priority?: number }, granted: number, mono: number): void {
    this.recordRequest(mono)
    this.desired.largest = Math.max(this.desired.largest, tokens)
    this.peerDemand.record(tokens, granted, mono, priority)
    this.desired.recordDemand(tokens, mono)
  }

  /** Tokens kept for more urgent grant requests, see {@link PeerDemand.heldFor}. */
  heldForPeers (priority: number, holdMs: number, mono: number): number {
    return this.peerDemand.heldFor(priority, holdMs, mono)
  }

  /** Whether a grant request of another holder recently got too little, and the table has no more. */
  isShortForPeers (mono: number): boolean {
    return this.shortage?.kind === 'short' && this.peerDemand.isShort(mono)
  }

  /** Clears the pause of grant requests, so that owners are asked again immediately. */
  clearGrantPause (): void {
    this.nextGrantRequestAt = 0
    this.grantPauseMs = 0
  }

  /** Clears the shortage and all pauses, so that the table is queried again immediately. */
  clearShortage (): void {
    this.shortage = undefined
    this.nextDrawAt = 0
    this.drawPauseMs = 0
    this.nextRoundAt = 0
    this.roundPauseMs = 0
  }

  /** Tokens neither reserved, billed nor being returned. */
  get free (): number {
    return this.held - this.reserved - this.unsettled - this.returning
  }

  /** Free tokens recorded for this holder in the table; only they may be transferred. */
  get transferable (): number {
    return Math.max(0, this.free - this.received.tokens)
  }

  /** Tokens needed by waiting requests. */
  get waitingTokens (): number {
    return this.waiting.reduce((sum, item) => sum + item.tokens, 0)
  }

  /** Tokens needed by waiting requests beyond the free ones. */
  get deficit (): number {
    return Math.max(0, this.waitingTokens - Math.max(0, this.free))
  }

  /** Milliseconds for which tokens of the allotment may still be reserved. */
  leaseLeftMs (now: Instant): number {
    if (this.leaseStartedAt === undefined) return 0
    return usableMs(this.policy) - elapsedMs(this.leaseStartedAt, now)
  }

  /** Whether tokens may be reserved now: neither the local allotment nor a received transfer has expired. */
  isUsable (now: Instant): boolean {
    if (this.received.hasExpired(now)) return false
    if (this.leaseStartedAt === undefined) return !this.received.isEmpty && !this.mustReopen
    return this.leaseLeftMs(now) > 0
  }

  /**
   * Whether a transfer may be requested: not while the local allotment row may be closed, because a transfer
   * to a closed row cannot be recorded.
   */
  mayRequestTransfer (now: Instant): boolean {
    if (this.mustReopen) return false
    if (this.leaseStartedAt !== undefined) return this.leaseLeftMs(now) > 0
    return this.draw === undefined || elapsedMs(this.draw.since, now) < usableMs(this.policy)
  }

  /** Whether demand does not exceed the fair share, so that a draw requests only that. */
  isFairShareOnly (now: Instant): boolean {
    return this.waiting.length === 0 && this.desired.isWithinFairShare(now.mono)
  }

  /** Allowance of a report made now. */
  allowance (now: Instant): ReportAllowance {
    return allowanceOf({
      // Without the bills of the open flush: they are settled by the transaction that writes the report.
      inUse: this.reserved + this.unsettled - this.flushing + this.waitingTokens,
      held: this.held,
      largestPeerRequest: this.peerDemand.largestRequest,
      maxUnreported: this.peerDemand.largestRequest > 0 ? this.desired.maxUnreported : Infinity,
      unmetPeerTokens: this.peerDemand.unmetTokens(now.mono),
      demandPerMs: this.desired.sustainedRate.perMs(now.mono),
      fairShare: this.desired.fairShare
    })
  }

  /** Free tokens that may be reserved now under the last report. */
  usable (now: Instant): number {
    if (!this.policy.boundsUnreportedUse) return this.free
    return Math.min(this.free, this.bounds.capacity(this.reserved + this.unsettled, this.flushing, now))
  }

  /** Reserves from granted tokens first, then from the allotment; undefined if both are insufficient. */
  reserve (tokens: number, now: Instant): ReservedTokens | undefined {
    const allotted = Math.max(0, tokens - this.grantedBalance.free)
    if (allotted > 0 && (!this.isUsable(now) || allotted > this.usable(now))) return undefined
    this.reserved += allotted
    return { fromAllotment: allotted, fromGrants: this.grantedBalance.withdraw(tokens) }
  }

  /** Milliseconds until the last report allows to reserve `tokens`; undefined if too few are free. */
  untilUsableMs (tokens: number, now: Instant): number | undefined {
    if (!this.policy.boundsUnreportedUse || tokens > this.free) return undefined
    return this.bounds.untilCapacityMs(tokens, this.reserved + this.unsettled, this.flushing, now)
  }

  /** Level from which the low-water mark is computed: free tokens after the last draw, or a fraction of the fair share. */
  refillBase (now: Instant): number {
    return Math.min(this.desired.tokens(now.mono), Math.max(this.level, this.desired.fairShare * MIN_FAIR_SHARE_RATIO))
  }

  /**
   * Adds a received transfer.
   * @param requestedAt - when it was requested
   */
  receive (transfer: Transfer, requestedAt: Instant): void {
    this.received.add(transfer, requestedAt)
    this.held += transfer.tokens
    this.level = Math.max(0, this.free)
  }

  /** Marks a received transfer as recorded in the table. */
  markRecorded (transferId: string): void {
    this.received.remove(transferId)
  }

  /** Revokes a received transfer that can no longer be recorded. */
  revokeTransfer (transferId: string): void {
    this.held -= this.received.remove(transferId)
  }

  /** Whether the table cannot serve a waiting request: it has too few tokens, or did not answer recently. */
  isDrawFutile (now: Instant): boolean {
    return this.shortage?.kind === 'short' || this.shortage?.kind === 'unavailable' || this.bounds.ageMs(now) > this.policy.flushMs * UNRESPONSIVE_FLUSHES
  }

  /** Whether nothing is allotted, owed or awaited, so that the entry can be removed. */
  get isEmpty (): boolean {
    return this.held === 0 && this.reserved === 0 && this.unsettled === 0 && this.waiting.length === 0 &&
      this.draw === undefined && this.round === undefined && this.received.isEmpty && this.grantedBalance.free === 0 && this.grantRequestId === undefined
  }

  /** Drops all tokens after the allotment was closed. */
  reset (): void {
    this.bounds.reset()
    this.held = 0
    this.reserved = 0
    this.unsettled = 0
    this.flushing = 0
    this.returning = 0
    this.level = 0
    this.leaseStartedAt = undefined
    this.mustReopen = true
    this.received.clear()
  }

  view (): BudgetView {
    const { budget, held, reserved, unsettled, inDoubt } = this
    return { budget, held, reserved, unsettled, inDoubt }
  }
}
