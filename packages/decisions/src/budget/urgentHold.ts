/**
 * Bounds the time for which tokens are kept for urgent requests that lack some. While requests of one urgency lack tokens again and again, the
 * time runs from the first of them, so that a steady stream of them does not stop less urgent ones.
 */

/** Time without a request that lacks tokens after which the next one counts as the first. */
const RECURRENCE_MS = 200

/** Times are monotonic milliseconds; priority 0 is the most urgent. */
export class UrgentHold {
  private unmet: { readonly priority: number, readonly since: number, readonly at: number } | undefined

  /**
   * Records a request that lacks tokens.
   * @returns whether no more urgent one lacked some recently
   */
  record (priority: number, mono: number): boolean {
    const { unmet } = this
    const isRecurring = unmet !== undefined && mono - unmet.at < RECURRENCE_MS
    if (isRecurring && priority > unmet.priority) return false
    this.unmet = { priority, since: isRecurring && priority === unmet.priority ? unmet.since : mono, at: mono }
    return true
  }

  /** Whether tokens are kept from requests of a priority. */
  holds (priority: number, holdMs: number, mono: number): boolean {
    return this.unmet !== undefined && priority > this.unmet.priority && mono - this.unmet.since < holdMs
  }
}
