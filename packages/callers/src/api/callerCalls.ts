/**
 * Steps common to all authenticated calls: authentication, reading the body, and request ids.
 */
import { Left, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { bodyDigest, keyedRequestId } from '@rosemaryspread/decisions/request/requestIdentity.js'
import { bearerKey } from '@rosemaryspread/http/auth/bearerKey.js'
import { readBody } from '@rosemaryspread/http/body/bodyReader.js'
import type { CallHeaders } from '@rosemaryspread/http/input/callHeaders.js'
import type { HttpExchange } from '@rosemaryspread/http/server/httpExchange.js'
import type { CallerDirectory, CallerIdentity } from '../completion/completionTypes.js'

/** Raw body of an authenticated caller and its digest. */
export interface ReceivedCall {
  readonly caller: CallerIdentity
  readonly body: Buffer
  readonly digest: string
}

/** Authenticates the bearer key and records the team as client of the exchange. Failure: `unauthorized`. */
export function authenticateCaller (exchange: HttpExchange, directory: CallerDirectory): Either<Failure, CallerIdentity> {
  const caller = bearerKey(exchange.req.headers).chain((key) => directory.authenticate(key))
  caller.ifRight(({ team }) => {
    exchange.client = team
  })
  return caller
}

/** Authenticates the caller, then reads the body, so that no body is buffered for an invalid key. */
export async function receiveCall (exchange: HttpExchange, directory: CallerDirectory): Promise<Either<Failure, ReceivedCall>> {
  const caller = authenticateCaller(exchange, directory)
  if (caller.isLeft()) return Left(caller.extract())
  const body = await readBody(exchange.req, exchange.limits)
  return caller.chain((authenticated) => body.map((bytes) => ({ caller: authenticated, body: bytes, digest: bodyDigest(bytes) })))
}

/** Sets the request id of a call with an idempotency key to the one that every VM derives from the key. */
export function assignRequestId (exchange: HttpExchange, caller: CallerIdentity, headers: CallHeaders): void {
  if (headers.idempotencyKey === undefined) return
  exchange.requestId = keyedRequestId(caller.team, headers.idempotencyKey)
}
