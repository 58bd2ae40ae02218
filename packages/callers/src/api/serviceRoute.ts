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
import { identifyCall, receiveCall, type ReceivedCall } from './callerCalls.js'
import { servicePath } from './servicePath.js'

export class ServiceRoute {
  constructor (private readonly services: ApplicationService, private readonly directory: CallerDirectory) {}

  async serve (method: RouteMethod, exchange: HttpExchange): Promise<Either<Failure, void>> {
    const received = await receiveCall(exchange, this.directory)
    const call = received.chain((parts) => toCall(method, exchange, parts))
    if (call.isLeft()) return Left(call.extract())
    const outcome = await this.services.call(call.unsafeCoerce())
    outcome.caseOf({
      Left: (failure) => exchange.refuse(failure),
      Right: (answer) => sendAnswer(exchange, answer)
    })
    return Right(undefined)
  }
}

function sendAnswer (exchange: HttpExchange, answer: ServiceAnswer): void {
  exchange.requestId = answer.requestId
  exchange.sendBytes(answer.status, answer.body, {
    'Content-Type': answer.contentType,
    ...(answer.repeated ? { 'Idempotent-Replayed': 'true' } : {})
  })
}

function toCall (method: RouteMethod, exchange: HttpExchange, received: ReceivedCall): Either<Failure, ServiceCall> {
  const { headers, url } = exchange.req
  const checked = parseCallHeaders(headers).mapLeft(badRequest)
  return servicePath(url ?? '').chain((target) => checked.map((callHead) => {
    identifyCall(exchange, received.caller, callHead)
    const contentType = headers['content-type']
    return {
      ...received,
      ...target,
      ...callHead,
      method,
      requestId: exchange.requestId,
      ...(contentType === undefined ? {} : { contentType }),
      gone: exchange.gone
    }
  }))
}
