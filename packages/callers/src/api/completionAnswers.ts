/**
 * Sinks that send an answer to the caller, as an event stream or as one JSON body. Only the first
 * `finish` or `fail` takes effect: nothing follows a failure and no failure follows the end.
 */
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { HttpExchange } from '@rosemaryspread/http/server/httpExchange.js'
import { EventStream } from '@rosemaryspread/http/sse/eventStream.js'
import type { AnswerSink, CompletionUsage } from '../completion/completionTypes.js'
import { contentChunk, finalChunk, completionBody, type AnswerMetadata, type FinishReason } from './completionChunks.js'

const msPerSecond = 1000

/** Sink that records whether `finish` or `fail` was called. */
export interface CompletionAnswer extends AnswerSink {
  readonly ended: boolean
}

function createMetadata (requestId: string, model: string): AnswerMetadata {
  return { requestId, model, created: Math.floor(Date.now() / msPerSecond) }
}

/** Streams the pieces as events. The response headers are sent with the first piece, so an earlier failure gets its own status. */
export class StreamedAnswer implements CompletionAnswer {
  ended = false
  private metadata: AnswerMetadata
  private readonly stream: EventStream

  constructor (private readonly exchange: HttpExchange, model: string, private readonly log: EventLog) {
    this.metadata = createMetadata(exchange.requestId, model)
    this.stream = new EventStream(exchange)
  }

  begin (requestId: string, model: string): void {
    if (this.stream.open) return
    this.exchange.requestId = requestId
    this.metadata = createMetadata(requestId, model)
  }

  piece (text: string): void {
    if (this.ended || this.exchange.closed) return
    this.open()
    this.send(contentChunk(this.metadata, { content: text }))
    if (this.stream.isBufferFull) this.failSlowCaller()
  }

  finish (finishReason: FinishReason, usage: CompletionUsage): void {
    if (this.ended) return
    this.ended = true
    this.open()
    this.send(finalChunk(this.metadata, finishReason, usage))
    this.stream.send('[DONE]')
    this.stream.end()
  }

  fail (failure: Failure): void {
    if (this.ended) return
    this.ended = true
    if (this.stream.open) this.stream.fail(failure)
    else this.exchange.refuse(failure)
  }

  private open (): void {
    if (!this.stream.open) this.send(contentChunk(this.metadata, { role: 'assistant', content: '' }))
  }

  private send (chunk: object): void {
    this.stream.send(JSON.stringify(chunk))
  }

  private failSlowCaller (): void {
    const failure = new Failure('callerSlow', 'the caller read the answer too slowly; the stream was aborted', { ran: 'yes' })
    this.log.write('requestFailed', { request: this.exchange.requestId, code: failure.code, ran: failure.ran })
    this.fail(failure)
    this.exchange.abandon(failure)
  }
}

/** Buffers the pieces and sends them as one JSON body. */
export class BufferedAnswer implements CompletionAnswer {
  ended = false
  private metadata: AnswerMetadata
  private readonly pieces: string[] = []

  constructor (private readonly exchange: HttpExchange, model: string) {
    this.metadata = createMetadata(exchange.requestId, model)
  }

  begin (requestId: string, model: string): void {
    this.exchange.requestId = requestId
    this.metadata = createMetadata(requestId, model)
  }

  piece (text: string): void {
    if (!this.ended) this.pieces.push(text)
  }

  finish (finishReason: FinishReason, usage: CompletionUsage): void {
    if (this.ended) return
    this.ended = true
    this.exchange.sendJson(200, completionBody(this.metadata, this.pieces.join(''), finishReason, usage))
  }

  fail (failure: Failure): void {
    if (this.ended) return
    this.ended = true
    this.exchange.refuse(failure)
  }
}
