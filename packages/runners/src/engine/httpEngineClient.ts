/**
 * HTTP client of model engines; one client per VM serves all engines. It never retries by itself:
 * engineAnswer.ts decides whether a broken stream is resumed.
 */
import type { Request, Response } from 'got'
import { Just, Left, Nothing, Right, type Either, type Maybe } from 'purify-ts'
import * as z from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { HttpTransport, parseJson, toTransportError, type HttpAnswer, type HttpCall } from '@rosemaryspread/infra/http/httpTransport.js'
import { invalidResponseFailure, callFailure, orderFailure, unreachableFailure, submitFailure } from './engineFailure.js'
import { HttpEngineStream, type StreamLimits, type StreamContext } from './httpEngineStream.js'
import {
  cacheEventsSchema, loadReportSchema, runRecordSchema,
  type CacheEvents, type EngineClient, type EngineOrder, type EngineRequest, type EngineStream, type LoadReport, type RunRecord, type StreamLoad
} from './engineTypes.js'

const EVENT_STREAM = 'text/event-stream'
const JSON_HEADERS = { 'content-type': 'application/json' }

const runListSchema = z.object({ runs: z.array(runRecordSchema) })
const sealedSchema = z.object({ sealed: z.literal(true) })

export interface EngineClientSettings extends StreamLimits {
  /** Name of this VM, sent as `x-vm`. */
  readonly vm: string
  readonly connectMs: number
  /** For calls other than streams. */
  readonly callMs: number
}

type StatusToFailure = (status: number, headers: HttpAnswer['headers']) => Failure

const LOAD_HEADER = /^running=(\d{1,6});waiting=(\d{1,6})$/

/** Parses `x-engine-load`; a malformed header is ignored. */
function parseLoadHeader (header: string | string[] | undefined): StreamLoad | undefined {
  const match = typeof header === 'string' ? LOAD_HEADER.exec(header) : null
  return match === null ? undefined : { running: Number(match[1]), waiting: Number(match[2]) }
}

/** Waits for status and headers of a streamed response. */
function waitForResponse (req: Request): Promise<Response> {
  return new Promise((resolve, reject) => {
    req.once('response', resolve)
    req.on('error', reject)
  })
}

function createSubmitBody (req: EngineRequest): string {
  return JSON.stringify({
    model: req.model,
    adapter: req.adapter,
    messages: req.messages,
    max_tokens: req.maxTokens,
    stream: true
  })
}

function createSubmitHeaders (req: EngineRequest): Readonly<Record<string, string>> {
  return {
    ...JSON_HEADERS,
    accept: EVENT_STREAM,
    'x-request-id': req.requestId,
    'x-run-digest': req.digest,
    'x-holder': req.holder,
    'x-team': req.team,
    'x-budget': req.budget,
    'x-priority': String(req.priority)
  }
}

function runPath (requestId: string): string {
  return `/v1/runs/${encodeURIComponent(requestId)}`
}

function recordSchemaFor (requestId: string) {
  return runRecordSchema.refine(record => record.requestId === requestId, 'record of a different run')
}

/** Status of an engine that refuses new runs because it is leaving. */
const LEAVING_STATUS = 503

/** Addresses are `IPv4:port`. */
export class HttpEngineClient implements EngineClient {
  private readonly transport: HttpTransport

  constructor (private readonly settings: EngineClientSettings) {
    this.transport = new HttpTransport(settings)
  }

  submit (address: string, req: EngineRequest, onLeaving: () => void = () => {}): Promise<Either<Failure, EngineStream>> {
    const call: HttpCall = {
      method: 'POST',
      url: `http://${address}/v1/chat/completions`,
      headers: createSubmitHeaders(req),
      body: createSubmitBody(req),
      timeoutMs: this.settings.firstEventMs
    }
    return this.open(call, { requestId: req.requestId, from: 0 }, (status, headers) => {
      if (status === LEAVING_STATUS) onLeaving()
      return submitFailure(status, headers)
    })
  }

  resume (address: string, requestId: string, sequence: number): Promise<Either<Failure, EngineStream>> {
    const call: HttpCall = {
      method: 'GET',
      url: `http://${address}${runPath(requestId)}/events?from=${sequence}`,
      headers: { accept: EVENT_STREAM },
      timeoutMs: this.settings.firstEventMs
    }
    return this.open(call, { requestId, from: sequence }, callFailure)
  }

  async find (address: string, requestId: string): Promise<Either<Failure, Maybe<RunRecord>>> {
    const answer = await this.call(address, 'GET', runPath(requestId))
    return answer.chain(res => {
      if (res.status === 404) return Right(Nothing)
      return this.parseBody(res, recordSchemaFor(requestId)).map(Just)
    })
  }

  async listByHolder (address: string, holder: string): Promise<Either<Failure, readonly RunRecord[]>> {
    const answer = await this.call(address, 'GET', `/v1/runs?holder=${encodeURIComponent(holder)}`)
    const schema = runListSchema.refine(list => list.runs.every(run => run.holder === holder), 'record of a different holder')
    return answer.chain(res => this.parseBody(res, schema)).map(list => list.runs)
  }

  async cancel (address: string, requestId: string): Promise<Either<Failure, RunRecord>> {
    const answer = await this.call(address, 'POST', `${runPath(requestId)}/cancel`)
    return answer.chain(res => this.parseBody(res, recordSchemaFor(requestId)))
  }

  async seal (address: string, requestId: string): Promise<Either<Failure, Maybe<RunRecord>>> {
    const answer = await this.call(address, 'POST', `${runPath(requestId)}/seal`)
    return answer.chain((res): Either<Failure, Maybe<RunRecord>> => {
      if (res.status === 409) return parseJson(recordSchemaFor(requestId), res.body).bimap(invalidResponseFailure, Just)
      return this.parseBody(res, sealedSchema).map(() => Nothing)
    })
  }

  async load (address: string): Promise<Either<Failure, LoadReport>> {
    const answer = await this.call(address, 'GET', '/load')
    return answer.chain(res => this.parseBody(res, loadReportSchema))
  }

  async cacheEvents (address: string, after: number): Promise<Either<Failure, CacheEvents>> {
    const answer = await this.call(address, 'GET', `/cache-events?after=${after}`)
    return answer.chain(res => this.parseBody(res, cacheEventsSchema))
  }

  async order (address: string, order: EngineOrder): Promise<Either<Failure, void>> {
    const answer = await this.call(address, 'POST', '/orders', order)
    return answer.chain(res => res.status === 200 ? Right(undefined) : Left(orderFailure(res.status, res.headers)))
  }

  /** Closes all connections; streams in progress fail. */
  close (): void {
    this.transport.close()
  }

  private async open (
    call: HttpCall, context: Omit<StreamContext, 'holder' | 'load'>, toFailure: StatusToFailure
  ): Promise<Either<Failure, EngineStream>> {
    const req = this.transport.stream(call)
    try {
      const res = await waitForResponse(req)
      const failure = this.validateResponse(res, toFailure)
      if (failure === undefined) return Right(this.createStream(req, res, context))
      req.destroy()
      return Left(failure)
    } catch (err) {
      return Left(unreachableFailure(toTransportError(err)))
    }
  }

  private validateResponse (res: Response, toFailure: StatusToFailure): Failure | undefined {
    if (res.statusCode !== 200) return toFailure(res.statusCode, res.headers)
    const contentType = res.headers['content-type'] ?? ''
    return contentType.startsWith(EVENT_STREAM) ? undefined : invalidResponseFailure(`unexpected content type '${contentType}'`)
  }

  private createStream (req: Request, res: Response, context: Omit<StreamContext, 'holder' | 'load'>): EngineStream {
    const holder = res.headers['x-run-holder']
    const load = parseLoadHeader(res.headers['x-engine-load'])
    return new HttpEngineStream(req, { ...context, holder: typeof holder === 'string' ? holder : '', ...(load === undefined ? {} : { load }) }, this.settings)
  }

  private async call (address: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Either<Failure, HttpAnswer>> {
    const answer = await this.transport.call({
      method,
      url: `http://${address}${path}`,
      ...(body === undefined ? {} : { headers: JSON_HEADERS, body: JSON.stringify(body) }),
      timeoutMs: this.settings.callMs
    })
    return answer.mapLeft(unreachableFailure)
  }

  private parseBody<T> (res: HttpAnswer, schema: z.ZodType<T>): Either<Failure, T> {
    if (res.status !== 200) return Left(callFailure(res.status, res.headers))
    return parseJson(schema, res.body).mapLeft(invalidResponseFailure)
  }
}
