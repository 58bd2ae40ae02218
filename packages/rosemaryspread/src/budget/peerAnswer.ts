/**
 * Validates answers of other VMs against their schema.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/**
 * Parses an answer; a malformed one gives `peerRefused` with `ran: unknown`.
 * @param method - the called method, for the failure message
 */
export function parseAnswer<T> (schema: z.ZodType<T>, value: unknown, method: string): Either<Failure, T> {
  const parsed = schema.safeParse(value)
  return parsed.success
    ? Right(parsed.data)
    : Left(new Failure('peerRefused', `the response of the peer to ${method} does not match the schema`, { ran: 'unknown' }))
}
