/**
 * Grant requests to an owner of a budget by holders that do not own it: the largest, and the last that could not be met in full.
 */
import { DEFAULT_PRIORITY } from './admissionOrder.js'
import { UrgentHold } from './urgentHold.js'

/** Time within which a holder that was granted too little requests again: it retries after 40 ms, for at most half of its objective. */
const UNMET_REQUEST_MS = 200

/** Time after a request that was not met in which other holders are asked to give up tokens that they do not need soon. */
const SHORT_MS = 1_000

/** Demand of other holders for one budget. Times in monotonic milliseconds. */
export class PeerDemand {
  private maxRequested = 0
  private lastUnmet = { tokens: 0, at: -Infinity }
  private shortAt = -Infinity
  private readonly urgentHold = new UrgentHold()
  /** What the most urgent request that was not met lacked. */
  private urgent = { priority: DEFAULT_PRIORITY, tokens: 0 }

  /**
   * Largest grant request so far. Reports allow this much only for peers that do not own the budget: if all holders own it,
   * that would bill more tokens when VMs terminate.
   */
  get largestRequest (): number {
    return this.maxRequested
  }

  /**
   * Records a grant request.
   * @param requested - tokens requested
   * @param granted - tokens granted
   * @param priority - 0 is the most urgent
   */
  record (requested: number, granted: number, mono: number, priority = DEFAULT_PRIORITY): void {
    this.maxRequested = Math.max(this.maxRequested, requested)
    this.lastUnmet = { tokens: granted < requested ? requested : 0, at: mono }
    if (granted < requested) this.shortAt = mono
    this.recordUrgent(requested - granted, priority, mono)
  }

  /**
   * Tokens that a more urgent grant request lacked and asks for again soon. They are kept for it for at most `holdMs` from the first
   * request that was not met, so that a request larger than any balance does not stop the others.
   */
  heldFor (priority: number, holdMs: number, mono: number): number {
    return this.urgentHold.holds(priority, holdMs, mono) ? this.urgent.tokens : 0
  }

  /** Whether a request was not met recently. */
  isShort (mono: number): boolean {
    return mono - this.shortAt < SHORT_MS
  }

  /** Tokens of an unmet grant request that is about to be repeated. */
  unmetTokens (mono: number): number {
    return mono - this.lastUnmet.at < UNMET_REQUEST_MS ? this.lastUnmet.tokens : 0
  }

  private recordUrgent (lacking: number, priority: number, mono: number): void {
    if (lacking > 0) {
      if (this.urgentHold.record(priority, mono)) this.urgent = { priority, tokens: lacking }
    } else if (priority <= this.urgent.priority) {
      this.urgent = { priority, tokens: 0 }
    }
  }
}
