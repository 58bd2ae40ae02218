/** Why a queue does not take or keep a request, and when the caller may come back. */
import type { Instant } from '../clock/clockTypes.js'
import { Failure } from '../codes/failure.js'
import type { QueueItem } from './queueTypes.js'

/** Part of an item's slack that it may be predicted to wait; the rest covers errors of the prediction. */
const WAIT_SHARE = 0.9

/** Shortest time to come back, in milliseconds. */
const RETRY_LEAST_MS = 250

/** What a refusal depends on. */
export interface QueueState {
  /** Requests of the team that wait or run. */
  readonly teamInFlight: number
  /** Requests of all teams that wait. */
  readonly waiting: number
  /** Requests that may wait. */
  readonly capacity: number
  /** Predicted milliseconds until the request would start. */
  readonly waitMs: number
  /** Milliseconds between two starts of the team. */
  readonly turnMs: number
}

/**
 * Why a new item is not taken; absent when it is.
 * @param item - the item
 * @param state - the queue as it is without the item
 * @param now - both clocks
 */
export function refusalOf<T> (item: QueueItem<T>, state: QueueState, now: Instant): Failure | undefined {
  const { teamInFlight, waiting, capacity, waitMs, turnMs } = state
  if (teamInFlight >= item.maxInFlight) {
    return new Failure('queueFull', `team ${item.team} has ${item.maxInFlight} requests in progress`, notRun(turnMs))
  }
  if (waiting >= capacity) return new Failure('overloaded', `${capacity} requests wait`, notRun(turnMs))
  const slackMs = item.deadline.mono - now.mono - item.serviceMs
  if (slackMs < 0) return outOfReach('the time left is shorter than the request takes', -slackMs)
  if (waitMs <= slackMs * WAIT_SHARE) return undefined
  return outOfReach(`predicted wait ${Math.round(waitMs)} ms`, waitMs - slackMs * WAIT_SHARE)
}

/**
 * Whether an item that starts now would miss its deadline.
 * @param item - the item
 * @param now - both clocks
 */
export function isLate<T> (item: QueueItem<T>, now: Instant): boolean {
  return now.mono + item.serviceMs > item.deadline.mono
}

/**
 * The failure of a request that cannot end in time.
 * @param detail - the reason
 * @param retryMs - milliseconds after which the caller may come back
 */
export function outOfReach (detail: string, retryMs: number): Failure {
  return new Failure('deadlineOutOfReach', detail, notRun(retryMs))
}

function notRun (retryMs: number): { ran: 'no', retryAfterMs: number } {
  return { ran: 'no', retryAfterMs: Math.ceil(Math.max(RETRY_LEAST_MS, retryMs)) }
}
