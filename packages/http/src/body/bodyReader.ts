/**
 * Reads a request body with limits on size and time. A body over the size limit is read and discarded, up to a multiple of the
 * limit, because a client that is still sending when the connection closes often does not receive the response. The time limit is
 * enforced here because Node's request timeout no longer applies once the server is closing.
 */
import type { IncomingMessage } from 'node:http'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Multiple of the limit up to which a body is read and discarded. */
const discardFactor = 4

function tooLarge (maxBytes: number): Failure {
  return new Failure('bodyTooLarge', `the limit is ${maxBytes} bytes`, { ran: 'no' })
}

export interface BodyLimits {
  readonly bodyBytes: number
  /** Time limit in milliseconds for the whole body. */
  readonly requestMs: number
}

function declaredBytes (req: IncomingMessage): number {
  return Number(req.headers['content-length'] ?? 0)
}

/** Reads a whole body. Failures: `bodyTooLarge`, `callerGone`, and `badRequest` on timeout. */
export function readBody (req: IncomingMessage, limits: BodyLimits): Promise<Either<Failure, Buffer>> {
  const maxBytes = limits.bodyBytes
  if (declaredBytes(req) > maxBytes * discardFactor) return Promise.resolve(Left(tooLarge(maxBytes)))
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let receivedBytes = 0
    const onData = (chunk: Buffer): void => {
      receivedBytes += chunk.length
      if (receivedBytes <= maxBytes) chunks.push(chunk)
      else chunks.length = 0
      if (receivedBytes > maxBytes * discardFactor) settle(Left(tooLarge(maxBytes)))
    }
    const onEnd = (): void => settle(receivedBytes > maxBytes ? Left(tooLarge(maxBytes)) : Right(Buffer.concat(chunks)))
    const onClose = (): void => settle(Left(new Failure('callerGone', 'the connection closed before the whole body arrived', { ran: 'no' })))
    const onTimeout = (): void => settle(Left(new Failure('badRequest', 'the body did not arrive within the time limit', { ran: 'no' })))
    const timer = setTimeout(onTimeout, limits.requestMs)
    const settle = (outcome: Either<Failure, Buffer>): void => {
      clearTimeout(timer)
      req.off('data', onData).off('end', onEnd).off('close', onClose)
      resolve(outcome)
    }
    req.on('data', onData).on('end', onEnd).on('close', onClose).on('error', onClose)
  })
}
