/**
 * Grant requests to an owner of a budget by holders that do not own it: the largest, and the last that could not be met in full.
 */

/** Time within which a holder that was granted too little requests again: it retries after 40 ms, for at most half of its objective. */
const UNMET_REQUEST_MS = 200

/** Demand of other holders for one budget. Times in monotonic milliseconds. */
export class PeerDemand {
  private maxRequested = 0
  private lastUnmet = { tokens: 0, at: -Infinity }

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
   */
  record (requested: number, granted: number, mono: number): void {
    this.maxRequested = Math.max(this.maxRequested, requested)
    this.lastUnmet = { tokens: granted < requested ? requested : 0, at: mono }
  }

  /** Tokens of an unmet grant request that is about to be repeated. */
  unmetTokens (mono: number): number {
    return mono - this.lastUnmet.at < UNMET_REQUEST_MS ? this.lastUnmet.tokens : 0
  }
}
