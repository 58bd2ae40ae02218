/**
 * Maps transport errors and HTTP statuses of engines to failures. `ran: no` is reported only if
 * no connection was made or the status guarantees that the run was not started.
 */
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { retryAfterMs, type HttpAnswer, type TransportError } from '@rosemaryspread/infra/http/httpTransport.js'

/** Statuses that guarantee that the engine did not start the run. */
const NOT_STARTED_STATUSES: readonly number[] = [404, 429, 503]

/** Failure of a call without a response. */
export function unreachableFailure (error: TransportError): Failure {
  return new Failure('runnerUnreachable', error.detail, { ran: error.connected ? 'unknown' : 'no' })
}

/** Failure of a call whose response violates the protocol. */
export function invalidResponseFailure (detail: string): Failure {
  return new Failure('runnerRefused', detail, { ran: 'unknown' })
}

/** Failure of a refused submit. */
export function submitFailure (status: number, headers: HttpAnswer['headers']): Failure {
  if (status === 409) return new Failure('keyReused', 'the existing run has a different digest', { ran: 'no' })
  if (status === 410) return new Failure('runnerRefused', 'sealed', { ran: 'no' })
  const ran = NOT_STARTED_STATUSES.includes(status) ? 'no' : 'unknown'
  return new Failure('runnerRefused', `status ${status}`, { ran, retryAfterMs: retryAfterMs(headers) })
}

/** Failure of a call about a run that may exist; the status does not show whether the run was executed. */
export function callFailure (status: number, headers: HttpAnswer['headers']): Failure {
  if (status === 404) return new Failure('notFound', 'the engine has no record of this run', { ran: 'unknown' })
  return new Failure('runnerRefused', `status ${status}`, { ran: 'unknown', retryAfterMs: retryAfterMs(headers) })
}

/** Failure of a refused order. */
export function orderFailure (status: number, headers: HttpAnswer['headers']): Failure {
  if (status === 412) return new Failure('leaseLost', 'the engine has accepted a higher fencing number', { ran: 'no' })
  return submitFailure(status, headers)
}
