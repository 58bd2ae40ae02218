/**
 * Limits of one HTTP server against clients that send too much, too slowly, or do not read.
 */
import * as z from 'zod'

const mebibyte = 1_048_576
const whole = z.number().int().positive()

/**
 * Connections that may wait to be taken. One is taken in each turn of the event loop, in the order in which they came: behind a long queue a
 * loaded server takes only those whose clients have left. Beyond it clients learn while they connect that they had better go elsewhere.
 */
export const WAITING_CONNECTIONS = 16

/** The limits with their defaults; bytes and milliseconds as the names say. */
export const httpLimitsSchema = z.strictObject({
  bodyBytes: whole.default(4 * mebibyte),
  /** Bytes of a streamed answer that may wait for a caller who reads slowly. */
  bufferedBytes: whole.default(4 * mebibyte),
  /** Time for the headers of a request to arrive. */
  headersMs: whole.default(10_000),
  /** Time for a whole request to arrive. */
  requestMs: whole.default(30_000),
  /** Time that a connection is kept without a request. */
  idleMs: whole.default(15_000),
  /** Time for an ended answer to be read before the connection is closed. */
  finishMs: whole.default(30_000),
  headerCount: whole.default(100),
  connections: whole.default(4096)
})
export type HttpLimits = z.infer<typeof httpLimitsSchema>
