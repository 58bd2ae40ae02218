/**
 * Order in which the requests that wait for tokens of one budget are admitted: the most urgent first, equally urgent ones as they
 * arrived. A request that fits passes equally urgent ones that don't, and less urgent ones for a bounded time leave them the
 * tokens that are free.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { WaitingRequest } from './budgetEntryTypes.js'
import type { GrantPolicy } from './grantPolicy.js'

/** Urgency of requests that name none; lower values are more urgent. */
export const DEFAULT_PRIORITY = 0

/** Priority of the most urgent waiting request; undefined if none waits. */
export function mostUrgent (waiting: readonly WaitingRequest[]): number | undefined {
  return waiting.length === 0 ? undefined : Math.min(...waiting.map(({ priority }) => priority))
}

/**
 * Admits waiting requests in order.
 * @param policy - absent for the order of arrival
 * @param tryAdmit - reserves the tokens of a request if they are free
 * @returns the requests that go on waiting, in order of arrival
 */
export function admitInOrder (waiting: readonly WaitingRequest[], policy: Pick<GrantPolicy, 'urgentHoldMs'> | undefined, tryAdmit: (item: WaitingRequest) => boolean, now: Instant): WaitingRequest[] {
  if (policy === undefined) return waiting.filter(item => !tryAdmit(item))
  const admitted = new Set<WaitingRequest>()
  let heldFor = Infinity
  for (const item of [...waiting].sort((a, b) => a.priority - b.priority)) {
    if (item.priority > heldFor) break
    if (tryAdmit(item)) admitted.add(item)
    else if (now.mono - item.since.mono < policy.urgentHoldMs) heldFor = Math.min(heldFor, item.priority)
  }
  return waiting.filter(item => !admitted.has(item))
}
