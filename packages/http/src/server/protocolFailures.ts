/**
 * Failures for requests that reach no handler: unknown paths, methods that are not allowed, and invalid HTTP.
 */
import type { Socket } from 'node:net'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { problemHeaders, problemText } from '../problem/problemHeaders.js'

const notFoundStatus = 404
const methodNotAllowedStatus = 405
const serverErrorStatus = 500

/** Error with an HTTP status, as restify emits it. */
export interface StatusError {
  readonly statusCode?: number
  readonly message: string
}

/** Maps an error of restify's router to a failure. */
export function routerFailure (err: StatusError): Failure {
  const status = err.statusCode ?? serverErrorStatus
  if (status === notFoundStatus) return new Failure('notFound', err.message, { ran: 'no' })
  if (status === methodNotAllowedStatus) return new Failure('methodNotAllowed', err.message, { ran: 'no' })
  if (status < serverErrorStatus) return new Failure('badRequest', err.message, { ran: 'no' })
  return new Failure('internal', 'the request could not be routed', { ran: 'unknown' })
}

/** Maps an error code of Node's HTTP parser to a failure. */
export function parserFailure (errCode: string | undefined): Failure {
  if (errCode === 'HPE_HEADER_OVERFLOW') return new Failure('badRequest', 'the headers are too large', { ran: 'no' })
  if (errCode === 'ERR_HTTP_REQUEST_TIMEOUT') return new Failure('badRequest', 'the request did not arrive in time', { ran: 'no' })
  return new Failure('badRequest', 'the request is not valid HTTP', { ran: 'no' })
}

/** Writes a problem response to a connection on which no request could be parsed, and closes it. */
export function refuseSocket (socket: Socket, failure: Failure): void {
  const body = problemText(failure)
  const fields = { ...problemHeaders(failure), 'Content-Length': Buffer.byteLength(body), Connection: 'close' }
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`)
  socket.end([`HTTP/1.1 ${failure.entry.status} Bad Request`, ...lines, '', body].join('\r\n'))
}
