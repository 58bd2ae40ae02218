/**
 * Reads the bearer key of a request.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'

const bearerPattern = /^Bearer +([A-Za-z0-9._~+/=-]{1,512})$/i

/** Returns the key after `Authorization: Bearer`. Failure: `unauthorized`. */
export function bearerKey (headers: IncomingHttpHeaders): Either<Failure, string> {
  const key = bearerPattern.exec(headers.authorization ?? '')?.[1]
  if (key === undefined) return Left(new Failure('unauthorized', 'send the header Authorization: Bearer KEY', { ran: 'no' }))
  return Right(key)
}
