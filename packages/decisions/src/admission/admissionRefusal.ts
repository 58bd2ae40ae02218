/** Refusals of calls under load, each with the time after which the excess will have drained. */
import { Failure } from '../codes/failure.js'

const MIN_RETRY_MS = 100
/** Bounds of the spread of Retry-After around the time until the excess has drained, so that callers don't return together. */
const SPREAD_FROM = 0.5
const SPREAD_TO = 1.5

/** What a refusal depends on. */
export interface Excess {
  /** Calls that wait. */
  readonly waiting: number
  /** Calls refused of late, which are likely to come back. */
  readonly refused: number
  /** Milliseconds between two starts. */
  readonly startIntervalMs: number
  /** In [0, 1). */
  readonly random: number
}

/** Milliseconds after which a refused caller may come back. */
export function retryAfterMs ({ waiting, refused, startIntervalMs, random }: Excess): number {
  const drainMs = (waiting + refused) * startIntervalMs
  return Math.max(MIN_RETRY_MS, drainMs) * (SPREAD_FROM + (SPREAD_TO - SPREAD_FROM) * random)
}

/** Refusal of a call whose turn comes too late. */
export function lateTurnFailure (detail: string, excess: Excess): Failure {
  return new Failure('deadlineOutOfReach', detail, { ran: 'no', retryAfterMs: retryAfterMs(excess) })
}

/** Refusal of a call that finds too many waiting. */
export function fullFailure (excess: Excess): Failure {
  return new Failure('overloaded', `${excess.waiting} calls wait for the service`, { ran: 'no', retryAfterMs: retryAfterMs(excess) })
}
