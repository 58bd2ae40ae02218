/**
 * Limits of an HTTP server that protect it from clients that send too much, send too slowly or do not read.
 */
import * as z from 'zod'

const mebibyte = 1_048_576
const positiveInt = z.number().int().positive()

/**
 * Maximum number of connections that wait to be accepted. One is accepted per event loop turn, in order of arrival, so with a long
 * backlog a loaded server accepts only connections whose clients have already left. Beyond it the connection attempt fails, and
 * clients can try another server.
 */
export const ACCEPT_BACKLOG = 16

export const httpLimitsSchema = z.strictObject({
  bodyBytes: positiveInt.default(4 * mebibyte),
  /** Maximum unread bytes of a streamed response to a slow caller. */
  bufferedBytes: positiveInt.default(4 * mebibyte),
  /** Time limit for receiving the headers of a request. */
  headersMs: positiveInt.default(10_000),
  /** Time limit for receiving a whole request. */
  requestMs: positiveInt.default(30_000),
  /** Keep-alive time of a connection without a request. */
  idleMs: positiveInt.default(15_000),
  /** Time limit for the caller to read an ended response before the connection is closed. */
  finishMs: positiveInt.default(30_000),
  headerCount: positiveInt.default(100),
  connections: positiveInt.default(4096)
})
export type HttpLimits = z.infer<typeof httpLimitsSchema>
