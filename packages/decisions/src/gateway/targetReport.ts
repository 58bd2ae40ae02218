/**
 * What a target says of itself with an answer, whatever the answer is. It holds for the process that
 * answered, not only for the request.
 */

/** What one answer says of its target. */
export interface TargetReport {
  readonly isLeaving: boolean
  /** Milliseconds for which the target wants no further request of this VM; absent where it names no time. */
  readonly pauseMs?: number
  /** The time as sent, where it cannot be read. */
  readonly flaw?: string
}
