/**
 * Maps transport errors and HTTP statuses of the platform's services to failures.
 */
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { retryAfterMs, type HttpAnswer, type TransportError } from './httpTransport.js'

/** Failure of a read. A read changes nothing, so any failure can be reported as `platformUnavailable`. */
export function readFailure (detail: string, retryMs?: number): Failure {
  return new Failure('platformUnavailable', detail, { ran: 'no', retryAfterMs: retryMs })
}

/** Failure of a write without a response. Only without a connection is it certain that nothing was written. */
export function lostWriteFailure (error: TransportError): Failure {
  return error.connected ? unknownOutcomeFailure(error.detail) : new Failure('platformUnavailable', error.detail, { ran: 'no' })
}

/** Failure of a write that may have taken effect. */
export function unknownOutcomeFailure (detail: string): Failure {
  return new Failure('platformOutcomeUnknown', detail, { ran: 'unknown' })
}

/** Failure of a write with an unexpected status. 503 guarantees that nothing was written; other statuses leave it open. */
export function writeStatusFailure (answer: HttpAnswer): Failure {
  if (answer.status !== 503) return unknownOutcomeFailure(`status ${answer.status}`)
  return new Failure('platformUnavailable', 'status 503', { ran: 'no', retryAfterMs: retryAfterMs(answer.headers) })
}

/** Failure of a read with an unexpected status. */
export function readStatusFailure (answer: HttpAnswer): Failure {
  return readFailure(`status ${answer.status}`, retryAfterMs(answer.headers))
}
