/**
 * How a failure of the gateway is told to a caller. Some statuses promise that the request did not
 * run and never will; they are used for nothing else, and everything that did not run gets one.
 */
import { toProblem, type Failure, type ProblemBody } from '../codes/failure.js'

/** Statuses that promise that the request did not run. */
const PROMISES = new Set([408, 421, 429, 503])
const UNAVAILABLE = 503
const BAD_GATEWAY = 502
const FIRST_SERVER_ERROR = 500
const MS_PER_SECOND = 1_000

/** Milliseconds to come back after where a failure names none. */
const DEFAULT_RETRY_MS = 250

/** An answer that refuses a request. */
export interface Refusal {
  readonly status: number
  /** Seconds with fractions after which to come back; absent where coming back is of no use. */
  readonly retryAfterS: number | undefined
  readonly body: ProblemBody
}

/**
 * The answer for a failure.
 * @param failure - the failure
 */
export function refusalOf (failure: Failure): Refusal {
  const status = statusOf(failure)
  const retryMs = failure.retryAfterMs ?? (PROMISES.has(status) ? DEFAULT_RETRY_MS : undefined)
  return { status, retryAfterS: retryMs === undefined ? undefined : retryMs / MS_PER_SECOND, body: { ...toProblem(failure), status } }
}

function statusOf ({ entry: { status }, ran }: Failure): number {
  if (ran === 'no') return status >= FIRST_SERVER_ERROR ? UNAVAILABLE : status
  return PROMISES.has(status) ? BAD_GATEWAY : status
}
