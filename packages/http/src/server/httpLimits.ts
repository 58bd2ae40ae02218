/**
 * Limits of an HTTP server that protect it from clients that send too much, send too slowly or do not read.
 */
import * as z from 'zod'

const mebibyte = 1_048_576
const whole = z.number().int().positive()

/**
 * Maximum number of connections that wait to be accepted. One is accepted per event loop turn, in order of arrival, so with a long
 * backlog a loaded server accepts only connections whose clients have already left. Beyond it the connection attempt fails, and
 * clients can try another server.
 */
export const WAITING_CONNECTIONS = 16

export const httpLimitsSchema = z.strictObject({
  bodyBytes: whole.default(4 * mebibyte),
  /** Maximum unread bytes of a streamed response to a slow caller. */
  bufferedBytes: whole.default(4 * mebibyte),
  /** Time limit for receiving the headers of a request. */
  headersMs: whole.default(10_000),
  /** Time limit for receiving a whole request. */
  requestMs: whole.default(30_000),
  /** Keep-alive time of a connection without a request. */
  idleMs: whole.default(15_000),
  /** Time limit for the caller to read an ended response before the connection is closed. */
  finishMs: whole.default(30_000),
  headerCount: whole.default(100),
  connections: whole.default(4096)
})
export type HttpLimits = z.infer<typeof httpLimitsSchema>
