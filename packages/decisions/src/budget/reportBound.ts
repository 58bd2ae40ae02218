/**
 * How much of an allotment may be in use without the table knowing it. Each report, written with a
 * flush, allows an amount at once and more with the time since. When a VM ends without handing its
 * tokens back, no more than the bound of its last report can have been spent; the rest of its
 * allotment returns to the budget. So an allotment may cover a long outage and costs little all the same.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { AllotmentRow } from './budgetTypes.js'

/** What a report allows. */
export interface ReportAllowance {
  /** Tokens that may be reserved, or billed and not yet written. */
  readonly tokens: number
  /** Tokens more for each millisecond since the report, after {@link GROWTH_AFTER_MS}. */
  readonly perMs: number
}

/** An allowance and when its report was made, by the holder's clock. */
export interface ReportBound extends ReportAllowance {
  readonly at: Instant
}

/**
 * Part of an allotment that may be used beyond what is in use. It is lost where the holder ends, so it
 * goes down with what is left of the budget, as the loss matters more.
 */
const UNREPORTED_PART = 0.05
/** Part that is added for each second without contact: a VM that is cut off may use up its allotment in 20 s. */
const GROWTH_PART_PER_S = 0.05
/** Part of what was paid above which a budget is ample: what an end loses is not missed for long. */
const AMPLE_PART = 0.4
/** Tokens allowed beyond what is in use while a budget is ample: a usual request or two of a team that is rarely served here. */
const AMPLE_TOKENS = 8_000
/** Tokens a millisecond by which that grows at least: a usual request in two seconds. */
const AMPLE_GROWTH = 2
/** Demand, in milliseconds, that is allowed then, and times the demand by which it grows: callers of a VM cut off may be more than before. */
const AMPLE_DEMAND_MS = 1_000
const AMPLE_DEMAND_GROWTH = 2
/** Milliseconds without growth: while the table can be reached, a new report comes sooner. */
const GROWTH_AFTER_MS = 1_000
const MS_PER_SECOND = 1_000

/** What a report depends on. */
export interface AllowanceInputs {
  /** Tokens reserved, waited for, or billed and not written. */
  readonly inUse: number
  /** Tokens of the allotment. */
  readonly held: number
  /** Demand in tokens a millisecond. */
  readonly ratePerMs: number
  /** Whether the budget is ample, see {@link isAmple}. */
  readonly isAmple: boolean
}

/**
 * Whether so much of a budget is left that the end of a VM may cost more of it.
 * @param paid - tokens paid in all
 * @param spent - tokens billed in all
 */
export function isAmple (paid: number, spent: number): boolean {
  return paid - spent > paid * AMPLE_PART
}

/**
 * What a report should allow.
 * @param inputs - what it depends on
 */
export function allowanceOf ({ inUse, held, ratePerMs, isAmple }: AllowanceInputs): ReportAllowance {
  const tight = { tokens: held * UNREPORTED_PART, perMs: held * GROWTH_PART_PER_S / MS_PER_SECOND }
  if (!isAmple) return { tokens: Math.ceil(inUse + tight.tokens), perMs: tight.perMs }
  return {
    tokens: Math.ceil(inUse + Math.max(tight.tokens, ratePerMs * AMPLE_DEMAND_MS, AMPLE_TOKENS)),
    perMs: Math.max(tight.perMs, ratePerMs * AMPLE_DEMAND_GROWTH, AMPLE_GROWTH)
  }
}

/**
 * The first report of an allotment, once it is known how much was allotted.
 * @param report - made before the draw
 * @param held - tokens of the allotment
 * @param isAmple - whether the budget is ample
 */
export function withHeld<T extends ReportAllowance> (report: T, held: number, isAmple: boolean): T {
  const own = allowanceOf({ inUse: 0, held, ratePerMs: 0, isAmple })
  return { ...report, tokens: report.tokens + own.tokens, perMs: report.perMs + own.perMs }
}

/**
 * Tokens that may be in use now.
 * @param bound - the last report
 * @param now - both clocks
 */
export function allowedNow ({ tokens, perMs, at }: ReportBound, now: Instant): number {
  return tokens + grown(perMs, elapsedMs(at, now))
}

/**
 * Tokens of an allotment that its ended holder may have spent without writing it.
 * @param row - the allotment
 * @param endedBy - milliseconds of the table's clock at which the holder had certainly ended
 */
export function mayBeSpent (row: AllotmentRow, endedBy: number): number {
  if (row.report === undefined) return row.held
  const { tokens, perMs, since } = row.report
  return Math.min(row.held, Math.ceil(tokens + grown(perMs, endedBy - since)))
}

/**
 * Milliseconds until so much may be in use, without another report.
 * @param bound - the last report
 * @param inUse - tokens in use then
 * @param now - both clocks
 */
function untilAllowedMs ({ tokens, perMs, at }: ReportBound, inUse: number, now: Instant): number {
  if (inUse <= tokens) return 0
  return GROWTH_AFTER_MS + (inUse - tokens) / perMs - elapsedMs(at, now)
}

function grown (perMs: number, elapsed: number): number {
  return perMs * Math.max(0, elapsed - GROWTH_AFTER_MS)
}

/** The bounds of one allotment: that of the report known to be written, and one whose outcome is open. */
export class ReportBounds {
  private known: ReportBound | undefined
  private sent: ReportBound | undefined

  /**
   * Milliseconds until so many tokens more may be put to use without another report; infinite when never.
   * @param tokens - amount needed
   * @param inUse - tokens reserved, or billed and not known to be written
   * @param inReport - part of them that the open report writes
   * @param now - both clocks
   */
  untilRoomMs (tokens: number, inUse: number, inReport: number, now: Instant): number {
    const byKnown = this.known === undefined ? Infinity : untilAllowedMs(this.known, inUse + tokens, now)
    const bySent = this.sent === undefined ? 0 : untilAllowedMs(this.sent, inUse - inReport + tokens, now)
    return Math.max(0, byKnown, bySent)
  }

  /**
   * Milliseconds since the last report that was written; 0 before the first.
   * @param now - both clocks
   */
  ageMs (now: Instant): number {
    return this.known === undefined ? 0 : elapsedMs(this.known.at, now)
  }

  /** Whether no report was written yet. */
  get isEmpty (): boolean {
    return this.known === undefined
  }

  /**
   * Takes the first bound, written with the allotment.
   * @param bound - the bound
   */
  begin (bound: ReportBound): void {
    this.known = bound
    this.sent = undefined
  }

  /**
   * A report goes out; until its outcome is known, what both allow counts.
   * @param bound - the bound
   */
  send (bound: ReportBound): void {
    this.sent = bound
  }

  /** The open report was written. */
  written (): void {
    this.known = this.sent ?? this.known
    this.sent = undefined
  }

  /** The open report was certainly not written. */
  dropped (): void {
    this.sent = undefined
  }

  /** Forgets all; the allotment was closed. */
  reset (): void {
    this.known = undefined
    this.sent = undefined
  }

  /**
   * Tokens that may be put to use now.
   * @param inUse - tokens reserved, or billed and not known to be written
   * @param inReport - part of them that the open report writes
   * @param now - both clocks
   */
  room (inUse: number, inReport: number, now: Instant): number {
    const byKnown = this.known === undefined ? 0 : allowedNow(this.known, now) - inUse
    const bySent = this.sent === undefined ? Infinity : allowedNow(this.sent, now) - (inUse - inReport)
    return Math.min(byKnown, bySent)
  }
}
