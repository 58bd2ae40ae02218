/**
 * Maps a failure of the gateway to a response for the caller. Some statuses promise that the request was not executed and never
 * will be; they are used for nothing else, and a server error without execution is always mapped to one.
 */
import { toProblem, type Failure, type ProblemBody } from '../codes/failure.js'

/** Statuses that promise that the request was not executed. */
export const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
const UNAVAILABLE = 503
const BAD_GATEWAY = 502
const MIN_SERVER_ERROR = 500
const MS_PER_SECOND = 1_000

/** Retry delay for failures that name none. */
const DEFAULT_RETRY_MS = 250

/** A response that refuses a request. */
export interface Refusal {
  readonly status: number
  /** Retry delay in fractional seconds; absent if a retry is useless. */
  readonly retryAfterS: number | undefined
  readonly body: ProblemBody
}

export function refusalOf (failure: Failure): Refusal {
  const status = statusOf(failure)
  const retryMs = failure.retryAfterMs ?? (NOT_EXECUTED_STATUSES.has(status) ? DEFAULT_RETRY_MS : undefined)
  return { status, retryAfterS: retryMs === undefined ? undefined : retryMs / MS_PER_SECOND, body: { ...toProblem(failure), status } }
}

function statusOf ({ entry: { status }, ran }: Failure): number {
  if (ran === 'no') return status >= MIN_SERVER_ERROR ? UNAVAILABLE : status
  return NOT_EXECUTED_STATUSES.has(status) ? BAD_GATEWAY : status
}
