/**
 * Order in which the requests that wait for tokens of one budget are admitted: the most urgent first, equally urgent ones as they
 * arrived. A request that fits passes equally urgent ones that don't, and less urgent ones for a bounded time leave them the
 * tokens that are free.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { WaitingRequest } from './budgetEntryTypes.js'
import type { UrgentHold } from './urgentHold.js'

/** Urgency of requests that name none; lower values are more urgent. */
export const DEFAULT_PRIORITY = 0

/** Priority of the most urgent waiting request; undefined if none waits. */
export function mostUrgent (waiting: readonly WaitingRequest[]): number | undefined {
  return waiting.length === 0 ? undefined : Math.min(...waiting.map(({ priority }) => priority))
}

export interface AdmissionOrder {
  readonly urgentHoldMs: number
  readonly hold: UrgentHold
}

/**
 * Admits waiting requests in order.
 * @param order - absent for the order of arrival
 * @param tryAdmit - reserves the tokens of a request if they are free
 * @returns the requests that go on waiting, in order of arrival
 */
export function admitInOrder (waiting: readonly WaitingRequest[], order: AdmissionOrder | undefined, tryAdmit: (item: WaitingRequest) => boolean, now: Instant): WaitingRequest[] {
  if (order === undefined) return waiting.filter(item => !tryAdmit(item))
  const { hold, urgentHoldMs } = order
  const admitted = new Set<WaitingRequest>()
  for (const item of [...waiting].sort((a, b) => a.priority - b.priority)) {
    if (hold.holds(item.priority, urgentHoldMs, now.mono) && hasMoreUrgent(waiting, admitted, item)) break
    if (tryAdmit(item)) admitted.add(item)
    else hold.record(item.priority, now.mono)
  }
  return waiting.filter(item => !admitted.has(item))
}

/** Whether a more urgent request than this one is left waiting. */
function hasMoreUrgent (waiting: readonly WaitingRequest[], admitted: ReadonlySet<WaitingRequest>, { priority }: WaitingRequest): boolean {
  return waiting.some(other => other.priority < priority && !admitted.has(other))
}
