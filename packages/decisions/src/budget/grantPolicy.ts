/**
 * How holders treat tokens granted to them, and which of several waiting requests is served first. Without this policy granted
 * tokens stay where they are until they are used, and requests are served in the order of their arrival.
 */
import * as z from 'zod'

const milliseconds = z.number().int().positive()

export const grantPolicySchema = z.object({
  /**
   * Milliseconds for which granted tokens may lie unused at a holder that does not own their budget. Shorter times send more
   * messages; what lies there is lost to the team if the process ends, and no other holder can use it meanwhile.
   */
  handBackAfterMs: milliseconds,
  /** Longest pause between two grant requests for one budget while the owners have nothing left. */
  maxAskPauseMs: milliseconds,
  /** Longest time for which tokens are kept for a more urgent request that too few are free for. */
  urgentHoldMs: milliseconds
})
export type GrantPolicy = z.infer<typeof grantPolicySchema>

/** The policy at present; undefined without one, and where every holder owns all budgets. */
export type GrantPolicySource = () => GrantPolicy | undefined
