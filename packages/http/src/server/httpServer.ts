/**
 * An HTTP server with this project's rules: every failure is answered with a
 * numbered problem, a fault in a handler included; limits on what clients send; and a graceful
 * close that finishes the open requests.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { HttpExchange } from './httpExchange.js'
import { WAITING_CONNECTIONS, type HttpLimits } from './httpLimits.js'
import type { HttpRouter, RouteMethod } from './httpRouter.js'
import { parserFailure, refuseSocket } from './protocolFailures.js'

/** Answers an exchange, or says why it is refused. */
export type ExchangeHandler = (exchange: HttpExchange) => Promise<Either<Failure, void>>

/** What a server needs. */
export interface HttpServerDeps {
  readonly log: EventLog
  readonly limits: HttpLimits
}

const keepAliveProbeMs = 30_000

/** The server. */
export class HttpServer {
  private readonly open = new Set<HttpExchange>()
  private readonly sockets = new Set<Socket>()
  private lingering = false
  private closing = false

  /**
   * @param deps - log and limits
   * @param router - leads requests to their handlers; it has no routes yet
   */
  constructor (private readonly deps: HttpServerDeps, private readonly router: HttpRouter) {
    this.node.headersTimeout = deps.limits.headersMs
    this.node.requestTimeout = deps.limits.requestMs
    this.node.keepAliveTimeout = deps.limits.idleMs
    this.node.maxHeadersCount = deps.limits.headerCount
    this.node.maxConnections = deps.limits.connections
    this.node.on('connection', (socket: Socket) => this.watch(socket))
    this.node.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => this.refuseInvalid(err, socket))
    router.onUnrouted((req, res, failure) => { this.refuse(this.exchangeOf(req, res), failure) })
  }

  /**
   * Adds a route.
   * @param method - HTTP method
   * @param path - path in the notation of the router
   * @param handler - answers the requests
   */
  route (method: RouteMethod, path: string, handler: ExchangeHandler): void {
    this.router.route(method, path, async (req, res) => { await this.serve(this.exchangeOf(req, res), handler) })
  }

  /**
   * Listens; resolves to the address in use, which tells the port when 0 was asked.
   * @param address - IPv4:port
   */
  async listen (address: string): Promise<string> {
    const [host = '', port] = address.split(':')
    await this.router.listen(host, Number(port), WAITING_CONNECTIONS)
    const bound = this.node.address() as AddressInfo
    return `${bound.address}:${bound.port}`
  }

  /**
   * Goes on serving, and asks clients with each answer to close their connection and use another
   * server: a request that is on its way when a stop begins still gets an answer.
   */
  linger (): void {
    this.lingering = true
  }

  /**
   * Stops accepting connections; resolves when all open requests are answered. A connection on
   * which no request has come is closed after the time for headers; Node would wait for it.
   */
  close (): Promise<void> {
    this.closing = true
    const timer = setTimeout(() => this.closeUnused(), this.deps.limits.headersMs)
    return new Promise((resolve) => {
      this.node.close(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  /** Requests that are not answered yet. */
  openRequests (): number {
    return this.open.size
  }

  private get node (): Server {
    return this.router.node
  }

  private watch (socket: Socket): void {
    socket.setKeepAlive(true, keepAliveProbeMs)
    this.sockets.add(socket)
    socket.once('close', () => this.sockets.delete(socket))
  }

  private closeUnused (): void {
    const used = new Set([...this.open].map((exchange) => exchange.req.socket))
    for (const socket of this.sockets) {
      if (!used.has(socket)) socket.destroy()
    }
  }

  private exchangeOf (req: IncomingMessage, res: ServerResponse): HttpExchange {
    const exchange = new HttpExchange(req, res, this.deps.limits)
    this.open.add(exchange)
    if (this.closing || this.lingering) res.setHeader('Connection', 'close')
    res.once('close', () => {
      this.open.delete(exchange)
      if (this.closing) setImmediate(() => this.node.closeIdleConnections())
    })
    return exchange
  }

  private async serve (exchange: HttpExchange, handler: ExchangeHandler): Promise<void> {
    try {
      const outcome = await handler(exchange)
      outcome.ifLeft((left) => this.fail(exchange, left))
    } catch (err) {
      this.fault(exchange, err)
    }
  }

  /** `EitherAsync` also puts what was thrown on the left side, whatever its type says. */
  private fail (exchange: HttpExchange, left: unknown): void {
    if (left instanceof Failure) this.refuse(exchange, left)
    else this.fault(exchange, left)
  }

  private fault (exchange: HttpExchange, err: unknown): void {
    this.deps.log.write('fault', { request: exchange.requestId, err })
    exchange.refuse(new Failure('internal', `see the log for request ${exchange.requestId}`, { ran: 'unknown' }))
  }

  private refuse (exchange: HttpExchange, failure: Failure): void {
    this.deps.log.write('requestRefused', {
      request: exchange.requestId,
      team: exchange.client,
      code: failure.code,
      ran: failure.ran,
      retryAfterMs: failure.retryAfterMs
    })
    exchange.refuse(failure)
  }

  private refuseInvalid (err: NodeJS.ErrnoException, socket: Socket): void {
    if (err.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const failure = parserFailure(err.code)
    const exchange = [...this.open].find((candidate) => candidate.req.socket === socket)
    if (exchange === undefined) refuseSocket(socket, failure)
    else if (exchange.res.headersSent) socket.destroy()
    else this.refuseAndClose(exchange, failure)
  }

  private refuseAndClose (exchange: HttpExchange, failure: Failure): void {
    exchange.res.setHeader('Connection', 'close')
    this.refuse(exchange, failure)
  }
}
