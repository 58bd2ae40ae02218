/**
 * Answers of other VMs, checked against their schema.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/**
 * Reads an answer. Failure: `peerRefused` (`ran: unknown`) when it is malformed.
 * @param schema - what the answer must be
 * @param value - the answer
 * @param method - method that was called, for the failure
 */
export function parseAnswer<T> (schema: z.ZodType<T>, value: unknown, method: string): Either<Failure, T> {
  const parsed = schema.safeParse(value)
  return parsed.success
    ? Right(parsed.data)
    : Left(new Failure('peerRefused', `the answer to ${method} is malformed`, { ran: 'unknown' }))
}
