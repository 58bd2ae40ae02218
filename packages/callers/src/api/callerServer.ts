/**
 * HTTP server of the caller API: completions, application services, models, addresses, usage,
 * health and metrics. docs/API.md documents the routes.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { bearerKey } from '@rosemaryspread/http/auth/bearerKey.js'
import type { ClientGuard } from '@rosemaryspread/http/server/clientGuard.js'
import type { HttpExchange } from '@rosemaryspread/http/server/httpExchange.js'
import type { HttpLimits } from '@rosemaryspread/http/server/httpLimits.js'
import { HttpServer } from '@rosemaryspread/http/server/httpServer.js'
import { RestifyRouter } from '@rosemaryspread/http/server/restifyRouter.js'
import type { ApplicationService, CallerDirectory, CallerIdentity, CompletionService } from '../completion/completionTypes.js'
import { authenticateCaller } from './callerCalls.js'
import { CompletionRoute } from './completionRoute.js'
import { ServiceRoute } from './serviceRoute.js'

export interface CallerServerDeps {
  readonly completions: CompletionService
  readonly services: ApplicationService
  readonly directory: CallerDirectory
  readonly log: EventLog
  readonly clients: ClientGuard
  readonly limits: HttpLimits
}

const msPerSecond = 1000
const metricsContentType = 'text/plain; version=0.0.4; charset=utf-8'
const noStoreHeaders = { 'Cache-Control': 'no-store' }

export class CallerServer {
  private readonly http: HttpServer
  private readonly directory: CallerDirectory

  constructor (deps: CallerServerDeps) {
    this.directory = deps.directory
    this.http = new HttpServer({ ...deps, name: 'callers' }, new RestifyRouter())
    const completions = new CompletionRoute(deps.completions, deps.directory, deps.log)
    const services = new ServiceRoute(deps.services, deps.directory)
    this.http.route('POST', '/v1/chat/completions', (exchange) => completions.serve(exchange))
    this.http.route('GET', '/v1/services/:service/*', (exchange) => services.serve('GET', exchange))
    this.http.route('POST', '/v1/services/:service/*', (exchange) => services.serve('POST', exchange))
    this.http.route('GET', '/v1/models', (exchange) => this.models(exchange))
    this.http.route('GET', '/v1/addresses', (exchange) => this.addresses(exchange))
    this.http.route('GET', '/v1/usage', (exchange) => this.usage(exchange))
    this.http.route('GET', '/healthz', (exchange) => this.live(exchange))
    this.http.route('GET', '/readyz', (exchange) => this.ready(exchange))
    this.http.route('GET', '/metrics', (exchange) => this.metrics(exchange))
  }

  /**
   * Starts listening; resolves to the bound address.
   * @param address - IPv4:port; port 0 selects a free port
   */
  listen (address: string): Promise<string> {
    return this.http.listen(address)
  }

  /** Keeps serving requests, but closes each connection after its response so that callers move to another address. */
  linger (): void {
    this.http.linger()
  }

  /** Stops accepting connections; resolves when all open requests have completed. */
  close (): Promise<void> {
    return this.http.close()
  }

  /** Number of requests in progress. */
  openRequests (): number {
    return this.http.openRequests()
  }

  private async models (exchange: HttpExchange): Promise<Either<Failure, void>> {
    return authenticateCaller(exchange, this.directory)
      .map((caller) => this.modelList(caller))
      .map((list) => exchange.sendJson(200, list, noStoreHeaders))
  }

  private modelList (caller: CallerIdentity): object {
    const data = this.directory.models(caller).map((id) => ({ id, object: 'model', owned_by: 'rosemaryspread' }))
    return { object: 'list', data }
  }

  private async addresses (exchange: HttpExchange): Promise<Either<Failure, void>> {
    const caller = bearerKey(exchange.req.headers).chain((key) => this.directory.authenticate(key))
    const answer = this.directory.addresses(caller.toMaybe().extract())
    const maxAge = Math.floor(answer.keepMs / msPerSecond)
    exchange.sendJson(200, answer, { 'Cache-Control': `max-age=${maxAge}` })
    return Right(undefined)
  }

  private async usage (exchange: HttpExchange): Promise<Either<Failure, void>> {
    const caller = authenticateCaller(exchange, this.directory)
    if (caller.isLeft()) return Left(caller.extract())
    const usage = await this.directory.usage(caller.unsafeCoerce())
    return usage.map((answer) => exchange.sendJson(200, answer, noStoreHeaders))
  }

  private async live (exchange: HttpExchange): Promise<Either<Failure, void>> {
    exchange.sendJson(200, { live: true }, noStoreHeaders)
    return Right(undefined)
  }

  private async ready (exchange: HttpExchange): Promise<Either<Failure, void>> {
    return this.directory.ready().ifRight(() => exchange.sendJson(200, { ready: true }, noStoreHeaders))
  }

  private async metrics (exchange: HttpExchange): Promise<Either<Failure, void>> {
    const text = Buffer.from(this.directory.metrics())
    exchange.sendBytes(200, text, { 'Content-Type': metricsContentType, ...noStoreHeaders })
    return Right(undefined)
  }
}
