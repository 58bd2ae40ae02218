/**
 * How lost calls and statuses of the platform's services become failures.
 */
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { retryAfterMs, type HttpAnswer, type LostCall } from './httpTransport.js'

/**
 * Failure of a read: it changed nothing, so it is always safe to say "not available".
 * @param detail - what happened
 * @param retryMs - milliseconds after which to come back, when the service said so
 */
export function readFailed (detail: string, retryMs?: number): Failure {
  return new Failure('platformUnavailable', detail, { retryAfterMs: retryMs })
}

/**
 * Failure of a write without an answer: only when no connection was made is it known that nothing was written.
 * @param lost - the lost call
 */
export function writeLost (lost: LostCall): Failure {
  return lost.connected ? outcomeUnknown(lost.detail) : new Failure('platformUnavailable', lost.detail)
}

/**
 * Failure of a write whose outcome is open.
 * @param detail - what happened
 */
export function outcomeUnknown (detail: string): Failure {
  return new Failure('platformOutcomeUnknown', detail, { ran: 'unknown' })
}

/**
 * Failure of a write by a status that the caller does not handle: 503 says that nothing was written, others say nothing.
 * @param answer - the answer
 */
export function writeRefused (answer: HttpAnswer): Failure {
  if (answer.status !== 503) return outcomeUnknown(`status ${answer.status}`)
  return new Failure('platformUnavailable', 'status 503', { retryAfterMs: retryAfterMs(answer.headers) })
}

/**
 * Failure of a read by a status that the caller does not handle.
 * @param answer - the answer
 */
export function readRefused (answer: HttpAnswer): Failure {
  return readFailed(`status ${answer.status}`, retryAfterMs(answer.headers))
}
