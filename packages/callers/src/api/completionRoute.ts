/**
 * Route of `POST /v1/chat/completions`: validates the request and sends the result streamed or as one JSON body.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { parseCallHeaders, type CallHeaders } from '@rosemaryspread/http/input/callHeaders.js'
import { badRequest, combineChecks } from '@rosemaryspread/http/input/inputChecks.js'
import { parseJsonBody } from '@rosemaryspread/http/input/jsonBody.js'
import type { HttpExchange } from '@rosemaryspread/http/server/httpExchange.js'
import {
  completionBodySchema, type CallerDirectory, type CompletionBody, type CompletionCall, type CompletionService
} from '../completion/completionTypes.js'
import { assignRequestId, receiveCall, type ReceivedCall } from './callerCalls.js'
import { StreamedAnswer, BufferedAnswer, type CompletionAnswer } from './completionAnswers.js'

export class CompletionRoute {
  constructor (
    private readonly completions: CompletionService,
    private readonly directory: CallerDirectory,
    private readonly log: EventLog
  ) {}

  async serve (exchange: HttpExchange): Promise<Either<Failure, void>> {
    const received = await receiveCall(exchange, this.directory)
    const call = received.chain((receivedCall) => parseCall(exchange, receivedCall))
    if (call.isLeft()) return Left(call.extract())
    await this.run(exchange, call.unsafeCoerce())
    return Right(undefined)
  }

  private async run (exchange: HttpExchange, call: CompletionCall): Promise<void> {
    const answer = this.createAnswer(exchange, call.body)
    try {
      await this.completions.complete(call, answer)
    } catch (err) {
      this.fault(exchange, answer, err)
    }
    if (!answer.ended && !exchange.closed) this.fault(exchange, answer, new Error('the completion service returned without finishing or failing the answer'))
  }

  private createAnswer (exchange: HttpExchange, body: CompletionBody): CompletionAnswer {
    if (body.stream) return new StreamedAnswer(exchange, body.model, this.log)
    return new BufferedAnswer(exchange, body.model)
  }

  private fault (exchange: HttpExchange, answer: CompletionAnswer, err: unknown): void {
    this.log.write('fault', { request: exchange.requestId, err })
    answer.fail(new Failure('internal', `see the log for request ${exchange.requestId}`, { ran: 'unknown' }))
  }
}

function parseCall (exchange: HttpExchange, received: ReceivedCall): Either<Failure, CompletionCall> {
  const { headers } = exchange.req
  return combineChecks(parseCallHeaders(headers), parseJsonBody(completionBodySchema, headers, received.body))
    .mapLeft(badRequest)
    .map(([checkedHeaders, body]) => toCall(exchange, received, checkedHeaders, body))
}

function toCall (exchange: HttpExchange, received: ReceivedCall, headers: CallHeaders, body: CompletionBody): CompletionCall {
  assignRequestId(exchange, received.caller, headers)
  return {
    caller: received.caller,
    body,
    digest: received.digest,
    requestId: exchange.requestId,
    ...headers,
    gone: exchange.gone
  }
}
