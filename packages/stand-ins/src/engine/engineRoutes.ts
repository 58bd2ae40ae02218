/**
 * HTTP API of the engine stand-in.
 */
import * as z from 'zod'
import { chatMessageSchema, engineOrderSchema, type EngineRequest } from '@rosemaryspread/runners/engine/engineTypes.js'
import { HttpError, type HttpAnswer, type HttpRequest, type HttpRoute } from '../control/httpTypes.js'
import type { StreamFaults } from './engineFaults.js'
import type { EngineRun } from './engineRun.js'
import type { EngineState, SubmitOutcome } from './engineState.js'
import { EngineStream } from './engineStream.js'
import type { WeightSource } from './weightSource.js'

const submitSchema = z.object({
  model: z.string(),
  adapter: z.string().optional(),
  messages: z.array(chatMessageSchema),
  max_tokens: z.number().int().positive(),
  stream: z.literal(true)
})

const refusals: Readonly<Record<Exclude<SubmitOutcome['kind'], 'started' | 'joined'>, { readonly status: number, readonly detail: string }>> = {
  otherDigest: { status: 409, detail: 'the id is in use with another digest' },
  sealed: { status: 410, detail: 'the id is sealed' },
  notLoaded: { status: 404, detail: 'the model or adapter is not loaded' },
  leaving: { status: 503, detail: 'the engine is leaving' }
}
const runNotFound: HttpAnswer = { status: 404, body: { error: 'no such run' } }

/** Handlers of the HTTP API. */
export class EngineService {
  /** @param onRequest - called after each request, which may have made a step due */
  constructor (
    private readonly state: EngineState,
    private readonly faults: StreamFaults,
    private readonly weights: WeightSource,
    private readonly onRequest: () => void
  ) {}

  routes (): readonly HttpRoute[] {
    const routes: readonly HttpRoute[] = [
      { method: 'POST', pattern: /^\/v1\/chat\/completions$/, serve: req => this.submit(req) },
      { method: 'GET', pattern: /^\/v1\/runs\/([^/]+)\/events$/, serve: req => this.resume(req) },
      { method: 'GET', pattern: /^\/v1\/runs\/([^/]+)$/, serve: req => this.find(req) },
      { method: 'GET', pattern: /^\/v1\/runs$/, serve: req => this.list(req) },
      { method: 'POST', pattern: /^\/v1\/runs\/([^/]+)\/cancel$/, serve: req => this.cancel(req) },
      { method: 'POST', pattern: /^\/v1\/runs\/([^/]+)\/seal$/, serve: req => this.seal(req) },
      { method: 'GET', pattern: /^\/load$/, serve: () => ({ status: 200, body: this.state.report(Date.now()) }) },
      { method: 'GET', pattern: /^\/cache-events$/, serve: req => ({ status: 200, body: this.state.cacheEvents(req.count('after', 0), Date.now()) }) },
      { method: 'POST', pattern: /^\/orders$/, serve: async req => await this.order(req) }
    ]
    return routes.map(route => ({ ...route, serve: async req => await this.serve(route, req) }))
  }

  private async serve (route: HttpRoute, req: HttpRequest): Promise<HttpAnswer> {
    const answer = await route.serve(req)
    this.onRequest()
    return answer
  }

  private submit (req: HttpRequest): HttpAnswer {
    const outcome = this.state.submit(parseRequest(req), Date.now())
    if (outcome.kind !== 'started' && outcome.kind !== 'joined') {
      const { status, detail } = refusals[outcome.kind]
      return { status, body: { error: detail, reason: outcome.kind } }
    }
    return this.follow(outcome.run, 0, true)
  }

  private resume (req: HttpRequest): HttpAnswer {
    this.state.advance(Date.now())
    const run = this.state.run(req.params[0] ?? '')
    return run === undefined ? runNotFound : this.follow(run, req.count('from', 0), false)
  }

  private follow (run: EngineRun, from: number, effect: boolean): HttpAnswer {
    return { open: res => new EngineStream(run, res, this.faults, this.state.loadHeader()).open(from), effect }
  }

  private find (req: HttpRequest): HttpAnswer {
    this.state.advance(Date.now())
    const record = this.state.find(req.params[0] ?? '')
    return record === undefined ? runNotFound : { status: 200, body: record }
  }

  private list (req: HttpRequest): HttpAnswer {
    const holder = req.url.searchParams.get('holder')
    if (holder === null) throw new HttpError(400, 'holder is missing')
    this.state.advance(Date.now())
    return { status: 200, body: { runs: this.state.list(holder) } }
  }

  private cancel (req: HttpRequest): HttpAnswer {
    const record = this.state.cancel(req.params[0] ?? '', Date.now())
    return record === undefined ? runNotFound : { status: 200, body: record, effect: true }
  }

  private seal (req: HttpRequest): HttpAnswer {
    const record = this.state.seal(req.params[0] ?? '', Date.now())
    return record === undefined ? { status: 200, body: { sealed: true }, effect: true } : { status: 409, body: record }
  }

  private async order (req: HttpRequest): Promise<HttpAnswer> {
    const order = req.json(engineOrderSchema)
    if (this.state.models.needsWeights(order)) {
      const { status, retryAfterSeconds } = await this.weights.fetchWeights(order.model, order.version)
      if (status !== 200) return { status, headers: { 'retry-after': String(retryAfterSeconds) }, body: { error: 'no weights', reason: 'weights' } }
    }
    const outcome = this.state.execute(order, Date.now(), req.header('x-vm'))
    if (outcome === 'oldFencing') return { status: 412, body: { error: 'the fencing number is stale' } }
    if (outcome === 'notLoaded') return { status: 404, body: { error: 'the model is not loaded' } }
    return { status: 200, body: { done: true }, effect: true }
  }
}

function parseRequest (req: HttpRequest): EngineRequest {
  const body = req.json(submitSchema)
  const requestId = req.header('x-request-id')
  if (requestId === '') throw new HttpError(400, 'x-request-id is missing')
  return {
    requestId,
    digest: req.header('x-run-digest'),
    holder: req.header('x-holder'),
    team: req.header('x-team'),
    budget: req.header('x-budget'),
    model: body.model,
    ...(body.adapter === undefined ? {} : { adapter: body.adapter }),
    messages: body.messages,
    maxTokens: body.max_tokens,
    priority: Number(req.header('x-priority')) || 0
  }
}
