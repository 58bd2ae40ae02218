/**
 * What one holder knows of one budget it draws on: tokens held and what binds them, the lease on
 * its allotment, demand, and requests that wait for tokens.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import { BudgetAim } from './budgetAim.js'
import { usableMs, type BudgetPolicy } from './budgetPolicy.js'
import type { OpenDraw, ReservedTokens, Round, Shortage, WaitingRequest } from './budgetEntryTypes.js'
import type { BudgetView, Transfer } from './budgetTypes.js'
import { GiftPurse } from './giftPurse.js'
import { NeedsOfOthers } from './needsOfOthers.js'
import { ReceivedTransfers } from './receivedTransfers.js'
import { allowanceOf, ReportBounds, type ReportAllowance } from './reportBound.js'

/** Part of what is dealt out evenly below which a holder asks for more though it has no use for it yet. */
const LEAST_OF_EVEN = 0.5

/** Flushes after which the last written report shows that the table does not answer: without bills one comes every three. */
const SILENT_FLUSHES = 5

/** One budget at one holder. All amounts in tokens, all plain numbers of time monotonic milliseconds. */
export class BudgetEntry {
  /** Durable tokens of this holder, with those received from other holders, less those settled or given. */
  held = 0
  /** Worst cases of running requests. */
  reserved = 0
  /** Bills not yet durable. */
  unsettled = 0
  /** Part of `unsettled` that is in the flush in flight. */
  flushing = 0
  /** Tokens on their way back to the table. */
  returning = 0
  /** Bills dropped because a recovery accounts for them. */
  inDoubt = 0
  /** Free tokens right after the last change from outside; the low-water mark is a part of it. */
  level = 0
  lastAskedAt = 0
  /** Cleared when the holder drains or the budget is idle: no more tokens are drawn. */
  isWanted = true
  touchedAt: Instant | undefined
  /** When a renewal was last queued. */
  renewedAt: Instant | undefined
  /** Set when the allotment was closed and the next draw has to open it again. */
  reopen = false
  draw: OpenDraw | undefined
  round: Round | undefined
  shortage: Shortage | undefined
  /** When the shortage was learned. */
  shortageAt = 0
  /** Tokens held by holders that the last recall could not reach. */
  unreachable = 0
  nextDrawAt = 0
  drawPauseMs = 0
  nextRoundAt = 0
  roundPauseMs = 0
  waiting: WaitingRequest[] = []
  /** What other holders gave; no part of the allotment. */
  readonly purse = new GiftPurse()
  /** The ask for a gift that is open. */
  giftAsk: string | undefined
  nextGiftAt = 0
  /** When other holders last had too little for the requests that waited. */
  giftShortAt = -Infinity
  /** When other holders were last asked in vain: none answered. */
  othersSilentAt = -Infinity
  private readonly needs = new NeedsOfOthers()
  /** How much of the budget is aimed at. */
  readonly aim: BudgetAim
  /** What may be in use without the table knowing it. */
  readonly bounds = new ReportBounds()
  private readonly received = new ReceivedTransfers()

  /**
   * @param budget - budget id
   * @param policy - sizes and times
   * @param isOwnedNow - whether this holder owns the budget
   */
  constructor (readonly budget: string, private readonly policy: BudgetPolicy, private readonly isOwnedNow: () => boolean = () => true) {
    this.aim = new BudgetAim(policy, isOwnedNow)
  }

  /** Whether this holder owns the budget. */
  get isOwned (): boolean {
    return this.isOwnedNow()
  }

  /**
   * Whether tokens are held ahead of need: this holder owns the budget, or has much demand for it.
   * @param mono - present time
   */
  isSupplied (mono: number): boolean {
    return this.isOwned || this.aim.isBusy(mono)
  }

  /**
   * Notes that requests ask for this budget, or may at any time.
   * @param mono - present time
   */
  noteAsked (mono: number): void {
    this.lastAskedAt = mono
    this.isWanted = true
  }

  /**
   * Notes a need of a holder that does not own the budget, and so counts no demand of its own.
   * @param tokens - tokens asked for
   * @param given - tokens that it got
   * @param mono - present time
   */
  noteNeedOfOther (tokens: number, given: number, mono: number): void {
    this.noteAsked(mono)
    this.aim.largest = Math.max(this.aim.largest, tokens)
    this.needs.note(tokens, given, mono)
    this.aim.rate.add(tokens, mono)
  }

  /** Has the table asked again at once, because more may be had now. */
  forgetShortage (): void {
    this.shortage = undefined
    this.nextDrawAt = 0
    this.drawPauseMs = 0
    this.nextRoundAt = 0
    this.roundPauseMs = 0
  }

  /** Tokens that bind nothing. */
  get free (): number {
    return this.held - this.reserved - this.unsettled - this.returning
  }

  /** Free tokens that the table knows as held by this holder; only they may be given on. */
  get giveable (): number {
    return Math.max(0, this.free - this.received.tokens)
  }

  /** Tokens that waiting requests ask for. */
  get waitingTokens (): number {
    return this.waiting.reduce((sum, item) => sum + item.tokens, 0)
  }

  /** Tokens that waiting requests lack. */
  get need (): number {
    return Math.max(0, this.waitingTokens - Math.max(0, this.free))
  }

  /**
   * Milliseconds for which tokens of the allotment may still be reserved.
   * @param now - both clocks
   */
  leaseLeftMs (now: Instant): number {
    if (this.touchedAt === undefined) return 0
    return usableMs(this.policy) - elapsedMs(this.touchedAt, now)
  }

  /**
   * Whether tokens may be reserved now: neither the own allotment nor a received transfer has lapsed.
   * @param now - both clocks
   */
  isUsable (now: Instant): boolean {
    if (this.received.hasLapsed(now)) return false
    if (this.touchedAt === undefined) return !this.received.isEmpty && !this.reopen
    return this.leaseLeftMs(now) > 0
  }

  /**
   * Whether a transfer may be asked for: not while the own row may be closed, because a transfer
   * to a closed row cannot be recorded.
   * @param now - both clocks
   */
  mayAsk (now: Instant): boolean {
    if (this.reopen) return false
    if (this.touchedAt !== undefined) return this.leaseLeftMs(now) > 0
    return this.draw === undefined || elapsedMs(this.draw.since, now) < usableMs(this.policy)
  }

  /**
   * Whether a draw is made for no demand beyond what is dealt out evenly.
   * @param now - both clocks
   */
  isForEvenPart (now: Instant): boolean {
    return this.waiting.length === 0 && this.aim.isEvenPart(now.mono)
  }

  /**
   * What a report made now should allow.
   * @param now - both clocks
   */
  allowance (now: Instant): ReportAllowance {
    return allowanceOf({
      inUse: this.reserved + this.unsettled + this.waitingTokens,
      held: this.held,
      largest: this.needs.largest,
      most: this.needs.largest > 0 ? this.aim.mostAtOnce : Infinity,
      unmet: this.needs.unmetTokens(now.mono)
    })
  }

  /**
   * Tokens that may be reserved now: free ones, as far as the last report allows.
   * @param now - both clocks
   */
  usable (now: Instant): number {
    if (!this.policy.boundsUse) return this.free
    return Math.min(this.free, this.bounds.room(this.reserved + this.unsettled, this.flushing, now))
  }

  /**
   * Reserves from what was given first, the rest from the allotment; undefined where both are too little.
   * @param tokens - amount needed
   * @param now - both clocks
   */
  reserve (tokens: number, now: Instant): ReservedTokens | undefined {
    const own = Math.max(0, tokens - this.purse.free)
    if (own > 0 && (!this.isUsable(now) || own > this.usable(now))) return undefined
    this.reserved += own
    return { own, given: this.purse.take(tokens) }
  }

  /**
   * Milliseconds until so many tokens may be reserved, as far as the last report is what forbids it; undefined where tokens lack.
   * @param tokens - amount needed
   * @param now - both clocks
   */
  untilUsableMs (tokens: number, now: Instant): number | undefined {
    if (!this.policy.boundsUse || tokens > this.free) return undefined
    return this.bounds.untilRoomMs(tokens, this.reserved + this.unsettled, this.flushing, now)
  }

  /**
   * Free tokens that a holder which needs no refill has: the level after the last draw, or a part of what is dealt out evenly.
   * @param now - both clocks
   */
  enough (now: Instant): number {
    return Math.min(this.aim.tokens(now.mono), Math.max(this.level, this.aim.evenPart * LEAST_OF_EVEN))
  }

  /**
   * Takes in a transfer.
   * @param transfer - what was received
   * @param askedAt - when it was asked for
   */
  receive (transfer: Transfer, askedAt: Instant): void {
    this.received.add(transfer, askedAt)
    this.held += transfer.tokens
    this.level = Math.max(0, this.free)
  }

  /**
   * Notes that a transfer is in the table.
   * @param transferId - id of the transfer
   */
  recorded (transferId: string): void {
    this.received.remove(transferId)
  }

  /**
   * Takes back a received transfer that can no longer be recorded.
   * @param transferId - id of the transfer
   */
  loseTransfer (transferId: string): void {
    this.held -= this.received.remove(transferId)
  }

  /**
   * Whether the table is known not to help a waiting request: it has nothing left, or did not answer lately.
   * @param now - both clocks
   */
  isOutOfTouch (now: Instant): boolean {
    return this.shortage?.kind === 'short' || this.shortage?.kind === 'unavailable' || this.bounds.ageMs(now) > this.policy.flushMs * SILENT_FLUSHES
  }

  /** Whether nothing is held, owed or awaited, so that the entry can be forgotten. */
  get isEmpty (): boolean {
    return this.held === 0 && this.reserved === 0 && this.unsettled === 0 && this.waiting.length === 0 &&
      this.draw === undefined && this.round === undefined && this.received.isEmpty && this.purse.free === 0 && this.giftAsk === undefined
  }

  /** Forgets all tokens after the allotment was closed. */
  reset (): void {
    this.bounds.reset()
    this.held = 0
    this.reserved = 0
    this.unsettled = 0
    this.flushing = 0
    this.returning = 0
    this.level = 0
    this.touchedAt = undefined
    this.reopen = true
    this.received.clear()
  }

  view (): BudgetView {
    const { budget, held, reserved, unsettled, inDoubt } = this
    return { budget, held, reserved, unsettled, inDoubt }
  }
}
