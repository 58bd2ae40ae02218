/**
 * Route of `GET` and `POST /v1/services/:service/*`. Request and response bodies pass through unchanged.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { parseCallHeaders } from '@rosemaryspread/http/input/callHeaders.js'
import { badRequest } from '@rosemaryspread/http/input/inputChecks.js'
import type { HttpExchange } from '@rosemaryspread/http/server/httpExchange.js'
import type { RouteMethod } from '@rosemaryspread/http/server/httpRouter.js'
import type { ApplicationService, CallerDirectory, ServiceAnswer, ServiceCall } from '../completion/completionTypes.js'
import { assignRequestId, receiveCall, type ReceivedCall } from './callerCalls.js'
import { parseServicePath } from './servicePath.js'

export class ServiceRoute {
  constructor (private readonly services: ApplicationService, private readonly directory: CallerDirectory) {}

  async serve (method: RouteMethod, exchange: HttpExchange): Promise<Either<Failure, void>> {
    const received = await receiveCall(exchange, this.directory)
    const call = received.chain((receivedCall) => toCall(method, exchange, receivedCall))
    if (call.isLeft()) return Left(call.extract())
    const outcome = await this.services.call(call.unsafeCoerce())
    outcome.caseOf({
      Left: (failure) => exchange.refuse(failure),
      Right: (answer) => sendServiceAnswer(exchange, answer)
    })
    return Right(undefined)
  }
}

function sendServiceAnswer (exchange: HttpExchange, answer: ServiceAnswer): void {
  exchange.requestId = answer.requestId
  exchange.sendBytes(answer.status, answer.body, {
    'Content-Type': answer.contentType,
    ...(answer.repeated ? { 'Idempotent-Replayed': 'true' } : {})
  })
}

function toCall (method: RouteMethod, exchange: HttpExchange, received: ReceivedCall): Either<Failure, ServiceCall> {
  const { headers, url } = exchange.req
  const headerResult = parseCallHeaders(headers).mapLeft(badRequest)
  return parseServicePath(url ?? '').chain((parsedPath) => headerResult.map((checkedHeaders) => {
    assignRequestId(exchange, received.caller, checkedHeaders)
    const contentType = headers['content-type']
    return {
      ...received,
      ...parsedPath,
      ...checkedHeaders,
      method,
      requestId: exchange.requestId,
      ...(contentType === undefined ? {} : { contentType }),
      gone: exchange.gone
    }
  }))
}
