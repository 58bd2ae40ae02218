/**
 * How much of an allotment may be in use without the table knowing it. Each report, written with a
 * flush, allows an amount at once and more with the time since. When a VM ends without handing its
 * tokens back, no more than the bound of its last report can have been spent; the rest of its
 * allotment returns to the budget. So an allotment may cover a long outage and costs little all the same.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { AllotmentRow, FleetSpending } from './budgetTypes.js'

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
 * Part of an allotment that may be used at once beyond what is in use. It is lost where the holder ends, and
 * holders that lack tokens are given those that others may use, so a tenth of each is a tenth of all.
 */
const UNREPORTED_PART = 0.1
/**
 * Part of what was paid for a budget that the reports of all its holders together allow at once, beyond what is in use: callers
 * count on 97 of a hundred, and once more is lost all later requests of the team are refused. Where 79 VMs were cut off and then ended,
 * 1,481 of 7,900 requests were refused that fitted into what was paid without this bound and 1,304 with it (mean of three plays), on calm
 * days 38 and 44. With 0.02 it is the same for a tenth more calls of the store.
 */
const ALLOWED_OF_PAID = 0.03
/**
 * Milliseconds without growth: while the table can be reached, a new report comes sooner, and a process that
 * was killed has its successor by then, which bills no growth.
 */
const GROWTH_AFTER_MS = 1_500
/**
 * Part of an allotment that is added for each second after that: a VM that is cut off may use up its allotment in
 * six seconds, about as fast as teams do that have little left. At 0.1 requests were refused in cuts (0.766 of worth
 * against 0.822 on a quiet day with two), at 0.4 a VM that was dark for three seconds lost most of what it held (0.531 against 0.607).
 */
const GROWTH_PART_PER_S = 0.2
const MS_PER_SECOND = 1_000

/** What a report depends on. */
export interface AllowanceInputs {
  /** Tokens reserved, waited for, or billed and not written. */
  readonly inUse: number
  /** Tokens of the allotment. */
  readonly held: number
  /** Largest need of holders that do not own the budget, 0 where all do: less than that at once would have each request of its size wait for a report of its own. */
  readonly largest: number
  /** Tokens that one holder's report allows at once at most, see {@link mostAtOnce}; without bound where every holder owns the budget: a fleet of six recovered too little with it. */
  readonly most: number
  /** Tokens that another holder asked for just now and could not be given: the report goes out for them. */
  readonly unmet: number
}

/**
 * What a report should allow.
 * @param inputs - what it depends on
 */
export function allowanceOf ({ inUse, held, largest, most, unmet }: AllowanceInputs): ReportAllowance {
  const ahead = Math.min(most, Math.max(held * UNREPORTED_PART, Math.min(held, largest)))
  const atOnce = Math.max(ahead, Math.min(held, unmet))
  return { tokens: Math.ceil(inUse + atOnce), perMs: held * GROWTH_PART_PER_S / MS_PER_SECOND }
}

/**
 * Tokens that the report of one holder allows at once at most; no bound before the first draw told what was paid.
 * @param fleet - what a draw told of all holders
 */
export function mostAtOnce (fleet: Pick<FleetSpending, 'paid' | 'holders'> | undefined): number {
  return fleet === undefined ? Infinity : fleet.paid * ALLOWED_OF_PAID / Math.max(1, fleet.holders)
}

/**
 * The first report of an allotment, once it is known how much was allotted.
 * @param report - made before the draw
 * @param held - tokens of the allotment
 */
export function withHeld<T extends ReportAllowance> (report: T, held: number): T {
  const own = allowanceOf({ inUse: 0, held, largest: 0, most: Infinity, unmet: 0 })
  return { ...report, tokens: report.tokens + own.tokens, perMs: report.perMs + own.perMs }
}

/**
 * Tokens that may be in use now. Only the monotonic clock counts: a time of day that was set ahead would allow more than
 * the table's clock does for the end of this holder.
 * @param bound - the last report
 * @param now - both clocks
 */
export function allowedNow ({ tokens, perMs, at }: ReportBound, now: Instant): number {
  return tokens + grown(perMs, now.mono - at.mono)
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
  return GROWTH_AFTER_MS + (inUse - tokens) / perMs - (now.mono - at.mono)
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
