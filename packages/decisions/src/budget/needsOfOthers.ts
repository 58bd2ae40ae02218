/**
 * Grant requests to an owner of a budget by holders that do not own it: the largest, and the last that could not be met in full.
 */

/** Time within which a holder that was granted too little requests again: after 40 ms, and for half of its objective at most. */
const UNMET_MS = 200

/** Demand of other holders for one budget. Times in monotonic milliseconds. */
export class NeedsOfOthers {
  private most = 0
  private unmet = { tokens: 0, at: -Infinity }

  /**
   * Largest grant request so far. Reports allow this much only for peers that do not own the budget: if all holders own it,
   * that would bill more tokens when VMs terminate.
   */
  get largest (): number {
    return this.most
  }

  /**
   * Records a grant request.
   * @param asked - tokens requested
   * @param given - tokens granted
   */
  note (asked: number, given: number, mono: number): void {
    this.most = Math.max(this.most, asked)
    this.unmet = { tokens: given < asked ? asked : 0, at: mono }
  }

  /** Tokens of an unmet grant request that is about to be repeated. */
  unmetTokens (mono: number): number {
    return mono - this.unmet.at < UNMET_MS ? this.unmet.tokens : 0
  }
}
