/**
 * Bounds the unreported use of an allotment. Each report, written with a flush, allows an amount immediately and more as time
 * passes. If a VM terminates without returning its tokens, at most the bound of its last report was spent, and the rest returns
 * to the budget. An allotment can therefore cover a long outage at little cost.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { AllotmentRow, FleetSpending } from './budgetTypes.js'

/** Unreported use that a report allows. */
export interface ReportAllowance {
  /** Tokens that may be reserved, or billed and not yet flushed. */
  readonly tokens: number
  /** Additional tokens per millisecond since the report, after {@link GROWTH_AFTER_MS}. */
  readonly perMs: number
}

/** An allowance and the time of its report by the holder's clocks. */
export interface ReportBound extends ReportAllowance {
  readonly at: Instant
}

/**
 * Fraction of an allotment that may be used immediately beyond the tokens in use. It is lost if the holder terminates. As holders
 * grant each other their usable tokens, a tenth of each allotment is a tenth of all of them.
 */
const UNREPORTED_RATIO = 0.1
/**
 * Fraction of the paid amount that the reports of all holders of a budget together allow beyond the tokens in use. Callers rely on
 * 97 percent of it: once more is lost to terminated holders, all later requests of the team are refused. Lower values cost more
 * table calls.
 */
const UNREPORTED_RATIO_OF_PAID = 0.03
/**
 * Milliseconds without growth. While the table is reachable, a new report is written sooner; a killed process has a successor by
 * then, so that its recovery bills no growth.
 */
const GROWTH_AFTER_MS = 1_500
/**
 * Milliseconds in which the allowance grows by the fair share of the holder, or by what its demand takes in that time if that is
 * more. Growth beyond both would be billed unused if the holder terminates. The fair share is for callers that move here later and
 * for grants: a VM that is cut off reaches only the tokens of VMs on its side of the partition.
 */
const GROWTH_PERIOD_MS = 5_000

export interface AllowanceInputs {
  /** Tokens reserved, requested by waiting requests, or billed and not in the open flush. */
  readonly inUse: number
  /** Tokens of the allotment. */
  readonly held: number
  /** Largest grant request of holders that do not own the budget, 0 if all do. A lower allowance would make each such request wait for a report. */
  readonly largestPeerRequest: number
  /** Maximum immediate allowance, see {@link maxUnreportedTokens}; unlimited if every holder owns the budget, as a small fleet recovers too few tokens with it. */
  readonly maxUnreported: number
  /** Tokens of a recent grant request that could not be met, for which this report is sent. */
  readonly unmetPeerTokens: number
  /** Sustained demand that this holder meets, in tokens per millisecond. */
  readonly demandPerMs: number
  /** Fair share of this holder, see budgetPolicy. */
  readonly fairShare: number
}

/** Computes the allowance of a report. */
export function allowanceOf ({ inUse, held, largestPeerRequest, maxUnreported, unmetPeerTokens, demandPerMs, fairShare }: AllowanceInputs): ReportAllowance {
  const unreported = Math.min(maxUnreported, Math.max(held * UNREPORTED_RATIO, Math.min(held, largestPeerRequest)))
  const immediate = Math.max(unreported, Math.min(held, unmetPeerTokens))
  const growth = Math.min(held, Math.max(fairShare, demandPerMs * GROWTH_PERIOD_MS))
  return { tokens: Math.ceil(inUse + immediate), perMs: growth / GROWTH_PERIOD_MS }
}

/**
 * Maximum tokens beyond those in use that the report of one holder allows immediately; unlimited before the first draw, when the
 * paid amount is unknown.
 */
export function maxUnreportedTokens (fleet: Pick<FleetSpending, 'paid' | 'holders'> | undefined): number {
  return fleet === undefined ? Infinity : fleet.paid * UNREPORTED_RATIO_OF_PAID / Math.max(1, fleet.holders)
}

/**
 * Completes the first report of an allotment once the allotted amount is known.
 * @param report - made before the draw
 * @param held - tokens allotted by the draw
 */
export function withAllotment<T extends ReportAllowance> (report: T, held: number): T {
  const allowance = allowanceOf({ inUse: 0, held, largestPeerRequest: 0, maxUnreported: Infinity, unmetPeerTokens: 0, demandPerMs: 0, fairShare: held })
  return { ...report, tokens: report.tokens + allowance.tokens, perMs: report.perMs + allowance.perMs }
}

/**
 * Tokens that may be in use now. Uses only the monotonic clock: a wall clock set forward would allow more than recovery bills by
 * the table clock.
 */
export function allowedNow ({ tokens, perMs, at }: ReportBound, now: Instant): number {
  return tokens + growthTokens(perMs, now.mono - at.mono)
}

/**
 * Maximum tokens of an allotment that its terminated holder may have spent without a report.
 * @param endedBy - table clock in milliseconds at which the holder had certainly terminated
 */
export function maxUnreportedSpend (row: AllotmentRow, endedBy: number): number {
  if (row.report === undefined) return row.held
  const { tokens, perMs, since } = row.report
  return Math.min(row.held, Math.ceil(tokens + growthTokens(perMs, endedBy - since)))
}

/** Milliseconds until `inUse` tokens are allowed without another report. */
function untilAllowedMs ({ tokens, perMs, at }: ReportBound, inUse: number, now: Instant): number {
  if (inUse <= tokens) return 0
  return GROWTH_AFTER_MS + (inUse - tokens) / perMs - (now.mono - at.mono)
}

function growthTokens (perMs: number, elapsed: number): number {
  return perMs * Math.max(0, elapsed - GROWTH_AFTER_MS)
}

/** Bounds of one allotment: the last written report, and one with unknown outcome. */
export class ReportBounds {
  private confirmed: ReportBound | undefined
  private sent: ReportBound | undefined

  /**
   * Milliseconds until `tokens` more may be used without another report; infinite if never.
   * @param inUse - tokens reserved, or billed and not known to be written
   * @param inReport - share of them that the open report writes
   */
  untilCapacityMs (tokens: number, inUse: number, inReport: number, now: Instant): number {
    const byConfirmed = this.confirmed === undefined ? Infinity : untilAllowedMs(this.confirmed, inUse + tokens, now)
    const bySent = this.sent === undefined ? 0 : untilAllowedMs(this.sent, inUse - inReport + tokens, now)
    return Math.max(0, byConfirmed, bySent)
  }

  /** Milliseconds since the last written report; 0 before the first. */
  ageMs (now: Instant): number {
    return this.confirmed === undefined ? 0 : elapsedMs(this.confirmed.at, now)
  }

  /** Whether no report has been written yet. */
  get isEmpty (): boolean {
    return this.confirmed === undefined
  }

  /** Sets the first bound, written with the allotment. */
  begin (bound: ReportBound): void {
    this.confirmed = bound
    this.sent = undefined
  }

  /** Records a sent report; both bounds apply until its outcome is known. */
  send (bound: ReportBound): void {
    this.sent = bound
  }

  /** Records that the open report was written. */
  written (): void {
    this.confirmed = this.sent ?? this.confirmed
    this.sent = undefined
  }

  /** Records that the open report was certainly not written. */
  dropped (): void {
    this.sent = undefined
  }

  /** Clears both bounds after the allotment was closed. */
  reset (): void {
    this.confirmed = undefined
    this.sent = undefined
  }

  /**
   * Tokens that may be used now beyond those in use.
   * @param inUse - tokens reserved, or billed and not known to be written
   * @param inReport - share of them that the open report writes
   */
  capacity (inUse: number, inReport: number, now: Instant): number {
    const byConfirmed = this.confirmed === undefined ? 0 : allowedNow(this.confirmed, now) - inUse
    const bySent = this.sent === undefined ? Infinity : allowedNow(this.sent, now) - (inUse - inReport)
    return Math.min(byConfirmed, bySent)
  }
}
