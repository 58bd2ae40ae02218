/** Failures with which a queue refuses a request, each with the delay after which the caller may retry. */
import type { Instant } from '../clock/clockTypes.js'
import { Failure } from '../codes/failure.js'
import type { QueueItem } from './queueTypes.js'

/** Share of an item's slack that its predicted wait may use up; the rest covers prediction errors. */
const MAX_WAIT_SHARE = 0.9

const MIN_RETRY_AFTER_MS = 250

/** State of the queue that a refusal depends on. */
export interface QueueState {
  /** Waiting and running requests of the team. */
  readonly teamInFlight: number
  /** Waiting requests of all teams. */
  readonly waiting: number
  /** Maximum number of waiting requests. */
  readonly capacity: number
  /** Predicted milliseconds until the request would start. */
  readonly waitMs: number
  /** Milliseconds between two starts of this team. */
  readonly teamStartIntervalMs: number
}

/**
 * Returns why a new item is refused, or undefined when it is admitted.
 * @param state - the queue without the item
 */
export function admissionFailure<T> (item: QueueItem<T>, state: QueueState, now: Instant): Failure | undefined {
  const { teamInFlight, waiting, capacity, waitMs, teamStartIntervalMs } = state
  if (teamInFlight >= item.maxInFlight) {
    return new Failure('queueFull', `team ${item.team} has ${item.maxInFlight} requests waiting or running, which is its limit`, notRunExtras(teamStartIntervalMs))
  }
  if (waiting >= capacity) return new Failure('overloaded', `queue is full: ${capacity} requests are waiting`, notRunExtras(teamStartIntervalMs))
  const slackMs = item.deadline.mono - now.mono - item.serviceMs
  if (slackMs < 0) return deadlineFailure('predicted service time exceeds the time left', -slackMs)
  if (waitMs <= slackMs * MAX_WAIT_SHARE) return undefined
  return deadlineFailure(`predicted wait ${Math.round(waitMs)} ms`, waitMs - slackMs * MAX_WAIT_SHARE)
}

export function wouldMissDeadline<T> (item: QueueItem<T>, now: Instant): boolean {
  return now.mono + item.serviceMs > item.deadline.mono
}

/** Failure of a request that cannot complete before its deadline; `retryMs` is the delay suggested to the caller. */
export function deadlineFailure (detail: string, retryMs: number): Failure {
  return new Failure('deadlineOutOfReach', detail, notRunExtras(retryMs))
}

function notRunExtras (retryMs: number): { ran: 'no', retryAfterMs: number } {
  return { ran: 'no', retryAfterMs: Math.ceil(Math.max(MIN_RETRY_AFTER_MS, retryMs)) }
}
