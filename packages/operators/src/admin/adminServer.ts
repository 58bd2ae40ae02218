/**
 * HTTP server of the admin API: configuration, budgets, VMs and runners. Every call requires a
 * key, on loopback too; viewers have read access only. docs/API.md documents the routes.
 */
import { EitherAsync, Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { bearerKey } from '@rosemaryspread/http/auth/bearerKey.js'
import { readBody } from '@rosemaryspread/http/body/bodyReader.js'
import { badRequest } from '@rosemaryspread/http/input/inputChecks.js'
import { parseJsonBody } from '@rosemaryspread/http/input/jsonBody.js'
import type { ClientGuard } from '@rosemaryspread/http/server/clientGuard.js'
import type { HttpExchange } from '@rosemaryspread/http/server/httpExchange.js'
import type { HttpLimits } from '@rosemaryspread/http/server/httpLimits.js'
import type { RouteMethod } from '@rosemaryspread/http/server/httpRouter.js'
import { HttpServer } from '@rosemaryspread/http/server/httpServer.js'
import { RestifyRouter } from '@rosemaryspread/http/server/restifyRouter.js'
import { parseBudgetName, parseHistoryLimit, parseVersion } from './adminQueries.js'
import { patchRequestSchema, topUpRequestSchema, type AdminService } from './adminTypes.js'
import { configStatus, type ConfigStatus } from './configStatus.js'

export interface AdminServerDeps {
  readonly service: AdminService
  readonly log: EventLog
  readonly clients: ClientGuard
  readonly limits: HttpLimits
}

/** Computes the JSON response of one route. */
type RouteHandler = (exchange: HttpExchange) => Promise<Either<Failure, unknown>>

export class AdminServer {
  private readonly http: HttpServer
  private readonly service: AdminService

  constructor (deps: AdminServerDeps) {
    this.service = deps.service
    this.http = new HttpServer({ ...deps, name: 'operators' }, new RestifyRouter())
    this.route('GET', '/admin/v1/config', (exchange) => this.config(exchange))
    this.route('POST', '/admin/v1/config/patches', (exchange) => this.patch(exchange))
    this.route('GET', '/admin/v1/config/history', (exchange) => this.history(exchange))
    this.route('GET', '/admin/v1/config/status', () => this.status())
    this.route('GET', '/admin/v1/budgets/:budget', (exchange) => this.budget(exchange))
    this.route('POST', '/admin/v1/budgets/:budget/topups', (exchange) => this.topUp(exchange))
    this.route('GET', '/admin/v1/vms', async () => (await this.service.vms()).map((vms) => ({ vms })))
    this.route('GET', '/admin/v1/runners', async () => (await this.service.runners()).map((runners) => ({ runners })))
    this.route('GET', '/admin/v1/addresses', async () => Right(this.service.addresses()))
  }

  /**
   * Starts listening; resolves to the bound address.
   * @param address - IPv4:port; port 0 selects a free port
   */
  listen (address: string): Promise<string> {
    return this.http.listen(address)
  }

  /** Stops accepting connections; resolves when all open requests have completed. */
  close (): Promise<void> {
    return this.http.close()
  }

  /** Number of requests in progress. */
  openRequests (): number {
    return this.http.openRequests()
  }

  private route (method: RouteMethod, path: string, handler: RouteHandler): void {
    this.http.route(method, path, async (exchange) => {
      const authorized = this.authorize(method, exchange)
      if (authorized.isLeft()) return authorized
      const answer = await handler(exchange)
      return answer.map((body) => exchange.sendJson(200, body, { 'Cache-Control': 'no-store' }))
    })
  }

  private authorize (method: RouteMethod, exchange: HttpExchange): Either<Failure, void> {
    const operator = bearerKey(exchange.req.headers).chain((key) => this.service.authenticate(key))
    return operator.chain(({ operator: name, role }) => {
      exchange.client = name
      if (method === 'GET' || role === 'admin') return Right(undefined)
      return Left(new Failure('forbidden', `operator ${name} has read access only`, { ran: 'no' }))
    })
  }

  private config (exchange: HttpExchange): Promise<Either<Failure, unknown>> {
    return EitherAsync.liftEither(parseVersion(exchange.req.url ?? ''))
      .chain((version) => this.service.config(version))
      .run()
  }

  private history (exchange: HttpExchange): Promise<Either<Failure, unknown>> {
    return EitherAsync.liftEither(parseHistoryLimit(exchange.req.url ?? ''))
      .chain((limit) => this.service.history(limit))
      .map((entries) => ({ entries }))
      .run()
  }

  private async status (): Promise<Either<Failure, ConfigStatus>> {
    const [config, vms] = await Promise.all([this.service.config(), this.service.vms()])
    return config.chain(({ version }) => vms.map((list) => configStatus(version, list)))
  }

  private patch (exchange: HttpExchange): Promise<Either<Failure, unknown>> {
    return this.body(exchange, patchRequestSchema)
      .chain((req) => this.service.patch(req))
      .run()
  }

  private budget (exchange: HttpExchange): Promise<Either<Failure, unknown>> {
    return EitherAsync.liftEither(parseBudgetName(exchange.params))
      .chain((budget) => this.service.budget(budget))
      .run()
  }

  private topUp (exchange: HttpExchange): Promise<Either<Failure, unknown>> {
    return EitherAsync.liftEither(parseBudgetName(exchange.params))
      .chain((budget) => this.body(exchange, topUpRequestSchema).chain((req) => this.service.topUp(budget, req)))
      .run()
  }

  private body<S extends z.ZodType> (exchange: HttpExchange, schema: S): EitherAsync<Failure, z.output<S>> {
    return EitherAsync.fromPromise(() => readBody(exchange.req, exchange.limits))
      .chain(async (bytes) => parseJsonBody(schema, exchange.req.headers, bytes).mapLeft(badRequest))
  }
}
