/**
 * Reads the raw bytes of a request body up to a limit. A body over the limit is discarded while
 * it comes in, up to a multiple of the limit, because a client that still sends when its
 * connection closes often never sees the answer. The time is limited here too, because Node
 * stops watching its own limit when the server closes.
 */
import type { IncomingMessage } from 'node:http'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** How many times the limit is read and discarded before the connection is given up. */
const discardFactor = 4

function tooLarge (maxBytes: number): Failure {
  return new Failure('bodyTooLarge', `the limit is ${maxBytes} bytes`)
}

/** Limits of reading one body. */
export interface BodyLimits {
  readonly bodyBytes: number
  /** Milliseconds until the body must be whole. */
  readonly requestMs: number
}

function declaredBytes (req: IncomingMessage): number {
  return Number(req.headers['content-length'] ?? 0)
}

/**
 * Reads a whole body. Failures: `bodyTooLarge`, `callerGone`, `badRequest` when it takes too long.
 * @param req - the request
 * @param limits - how much and how long
 */
export function readBody (req: IncomingMessage, limits: BodyLimits): Promise<Either<Failure, Buffer>> {
  const maxBytes = limits.bodyBytes
  if (declaredBytes(req) > maxBytes * discardFactor) return Promise.resolve(Left(tooLarge(maxBytes)))
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let bytes = 0
    const onData = (chunk: Buffer): void => {
      bytes += chunk.length
      if (bytes <= maxBytes) chunks.push(chunk)
      else chunks.length = 0
      if (bytes > maxBytes * discardFactor) settle(Left(tooLarge(maxBytes)))
    }
    const onEnd = (): void => settle(bytes > maxBytes ? Left(tooLarge(maxBytes)) : Right(Buffer.concat(chunks)))
    const onGone = (): void => settle(Left(new Failure('callerGone', 'the body did not arrive whole')))
    const onLate = (): void => settle(Left(new Failure('badRequest', 'the body did not arrive in time')))
    const timer = setTimeout(onLate, limits.requestMs)
    const settle = (outcome: Either<Failure, Buffer>): void => {
      clearTimeout(timer)
      req.off('data', onData).off('end', onEnd).off('close', onGone)
      resolve(outcome)
    }
    req.on('data', onData).on('end', onEnd).on('close', onGone).on('error', onGone)
  })
}
