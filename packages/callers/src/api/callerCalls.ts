/**
 * What every call with a key has in common: who calls, the headers, and the raw body.
 */
import { Left, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { bodyDigest, keyedRequestId } from '@rosemaryspread/decisions/request/requestIdentity.js'
import { bearerKey } from '@rosemaryspread/http/auth/bearerKey.js'
import { readBody } from '@rosemaryspread/http/body/bodyReader.js'
import type { CallHeaders } from '@rosemaryspread/http/input/callHeaders.js'
import type { HttpExchange } from '@rosemaryspread/http/server/httpExchange.js'
import type { CallerDirectory, CallerIdentity } from '../completion/completionTypes.js'

/** A call as received from a known caller. */
export interface ReceivedCall {
  readonly caller: CallerIdentity
  readonly body: Buffer
  readonly digest: string
}

/**
 * Names the team behind a request. Failure: `unauthorized`.
 * @param exchange - the request
 * @param directory - knows the keys
 */
export function callerOf (exchange: HttpExchange, directory: CallerDirectory): Either<Failure, CallerIdentity> {
  const caller = bearerKey(exchange.req.headers).chain((key) => directory.authenticate(key))
  caller.ifRight(({ team }) => {
    exchange.client = team
  })
  return caller
}

/**
 * Receives a call: the caller is checked before its body is read.
 * @param exchange - the request
 * @param directory - knows the keys
 */
export async function receiveCall (exchange: HttpExchange, directory: CallerDirectory): Promise<Either<Failure, ReceivedCall>> {
  const caller = callerOf(exchange, directory)
  if (caller.isLeft()) return Left(caller.extract())
  const body = await readBody(exchange.req, exchange.limits)
  return caller.chain((identity) => body.map((bytes) => ({ caller: identity, body: bytes, digest: bodyDigest(bytes) })))
}

/**
 * Gives the exchange the id that a keyed request has at every VM.
 * @param exchange - the request
 * @param caller - who calls
 * @param headers - checked headers
 */
export function identifyCall (exchange: HttpExchange, caller: CallerIdentity, headers: CallHeaders): void {
  if (headers.idempotencyKey === undefined) return
  exchange.requestId = keyedRequestId(caller.team, headers.idempotencyKey)
}
