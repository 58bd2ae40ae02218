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

/** Demand, in milliseconds, that a report allows beyond what is in use: about two flushes. */
const HEADROOM_MS = 1_000
/** Tokens that it allows beyond, whatever the demand: one or two usual requests; a larger one waits for a report. */
const HEADROOM_TOKENS = 8_000
/** Milliseconds without growth: while the table can be reached, a new report comes sooner. */
const GROWTH_AFTER_MS = 1_000
/** Times the demand by which the allowance grows: callers of a VM cut off may be more than before. */
const GROWTH = 2
/** Tokens a millisecond by which it grows at least: one usual request in two seconds. */
const LEAST_GROWTH = 2

/**
 * What a report should allow.
 * @param inUse - tokens reserved, waited for, or billed and not written
 * @param ratePerMs - demand in tokens a millisecond
 */
export function allowanceOf (inUse: number, ratePerMs: number): ReportAllowance {
  return {
    tokens: Math.ceil(inUse + Math.max(ratePerMs * HEADROOM_MS, HEADROOM_TOKENS)),
    perMs: Math.max(ratePerMs * GROWTH, LEAST_GROWTH)
  }
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

function grown (perMs: number, elapsed: number): number {
  return perMs * Math.max(0, elapsed - GROWTH_AFTER_MS)
}

/** The bounds of one allotment: that of the report known to be written, and one whose outcome is open. */
export class ReportBounds {
  private known: ReportBound | undefined
  private sent: ReportBound | undefined

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
