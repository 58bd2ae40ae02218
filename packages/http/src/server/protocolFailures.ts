/**
 * Failures for what is wrong below the routes: unknown paths, methods, and requests that are
 * not valid HTTP.
 */
import type { Socket } from 'node:net'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { problemHeaders, problemText } from '../problem/problemHeaders.js'

const notFoundStatus = 404
const methodStatus = 405
const serverErrorStatus = 500

/** An error with a status, as restify passes it to its listeners. */
export interface StatusError {
  readonly statusCode?: number
  readonly message: string
}

/**
 * The failure for an error of restify's router.
 * @param err - restify's error
 */
export function routerFailure (err: StatusError): Failure {
  const status = err.statusCode ?? serverErrorStatus
  if (status === notFoundStatus) return new Failure('notFound', err.message)
  if (status === methodStatus) return new Failure('methodNotAllowed', err.message)
  if (status < serverErrorStatus) return new Failure('badRequest', err.message)
  return new Failure('internal', 'the request could not be routed', { ran: 'unknown' })
}

/**
 * The failure for a request that Node's parser gave up.
 * @param errCode - code of the parser's error
 */
export function parserFailure (errCode: string | undefined): Failure {
  if (errCode === 'HPE_HEADER_OVERFLOW') return new Failure('badRequest', 'the headers are too large')
  if (errCode === 'ERR_HTTP_REQUEST_TIMEOUT') return new Failure('badRequest', 'the request did not arrive in time')
  return new Failure('badRequest', 'the request is not valid HTTP')
}

/**
 * Answers on a connection where no request could be read, and closes it.
 * @param socket - the connection
 * @param failure - what is wrong
 */
export function refuseSocket (socket: Socket, failure: Failure): void {
  const body = problemText(failure)
  const fields = { ...problemHeaders(failure), 'Content-Length': Buffer.byteLength(body), Connection: 'close' }
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`)
  socket.end([`HTTP/1.1 ${failure.entry.status} Bad Request`, ...lines, '', body].join('\r\n'))
}
