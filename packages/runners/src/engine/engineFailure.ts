/**
 * How lost calls and statuses of an engine become failures. `ran: no` is claimed only when the
 * connection was never made or the engine itself confirms that it did not start the run.
 */
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { retryAfterMs, type HttpAnswer, type LostCall } from '@rosemaryspread/infra/http/httpTransport.js'

/** Statuses with which an engine says that it did nothing. */
const REFUSED_STATUSES: readonly number[] = [404, 429, 503]

/**
 * Failure of a call without an answer.
 * @param lost - the lost call
 */
export function runnerLost (lost: LostCall): Failure {
  return new Failure('runnerUnreachable', lost.detail, { ran: lost.connected ? 'unknown' : 'no' })
}

/**
 * Failure of a call whose answer does not follow the protocol.
 * @param detail - what does not fit
 */
export function answerUnfit (detail: string): Failure {
  return new Failure('runnerRefused', detail, { ran: 'unknown' })
}

/**
 * Failure of a submit by its status.
 * @param status - HTTP status
 * @param headers - headers of the answer
 */
export function submitRefused (status: number, headers: HttpAnswer['headers']): Failure {
  if (status === 409) return new Failure('keyReused', 'the run has another digest')
  if (status === 410) return new Failure('runnerRefused', 'sealed')
  const ran = REFUSED_STATUSES.includes(status) ? 'no' : 'unknown'
  return new Failure('runnerRefused', `status ${status}`, { ran, retryAfterMs: retryAfterMs(headers) })
}

/**
 * Failure of a call about a run that may exist already, by its status; says nothing about whether it ran.
 * @param status - HTTP status
 * @param headers - headers of the answer
 */
export function callRefused (status: number, headers: HttpAnswer['headers']): Failure {
  if (status === 404) return new Failure('notFound', 'the engine has no record of this run', { ran: 'unknown' })
  return new Failure('runnerRefused', `status ${status}`, { ran: 'unknown', retryAfterMs: retryAfterMs(headers) })
}

/**
 * Failure of an order by its status.
 * @param status - HTTP status
 * @param headers - headers of the answer
 */
export function orderRefused (status: number, headers: HttpAnswer['headers']): Failure {
  if (status === 412) return new Failure('leaseLost', 'the engine knows a higher fencing number')
  return submitRefused(status, headers)
}
