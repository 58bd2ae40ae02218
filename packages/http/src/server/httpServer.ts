/**
 * HTTP server with limits on clients and a graceful close. Every failure, including an unexpected error of a handler, is
 * answered with a numbered problem.
 */
import { once } from 'node:events'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Either } from 'purify-ts'
import { Failure, mayHaveRun } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { ClientGuard } from './clientGuard.js'
import { HttpExchange } from './httpExchange.js'
import { createGuardedServer } from './guardedServer.js'
import { ACCEPT_BACKLOG, type HttpLimits } from './httpLimits.js'
import type { HttpRouter, RouteMethod } from './httpRouter.js'
import { parserFailure, refuseSocket } from './protocolFailures.js'
import { WaitingConnections } from './waitingConnections.js'

/** Answers an exchange, or returns the failure with which it is refused. */
export type ExchangeHandler = (exchange: HttpExchange) => Promise<Either<Failure, void>>

export interface HttpServerDeps {
  /** For logs and metrics. */
  readonly name: string
  readonly log: EventLog
  readonly clients: ClientGuard
  readonly limits: HttpLimits
}

const keepAliveProbeMs = 30_000

export class HttpServer {
  private readonly nodeServer: Server
  private readonly open = new Set<HttpExchange>()
  private readonly sockets = new Set<Socket>()
  private readonly waiting = new WaitingConnections()
  private isLingering = false
  private isClosing = false

  /** @param router - a router without routes */
  constructor (private readonly deps: HttpServerDeps, private readonly router: HttpRouter) {
    this.nodeServer = createGuardedServer({}, deps.name, deps.clients, (req, res) => {
      this.waiting.requested(req.socket)
      router.serve(req, res)
    })
    this.nodeServer.headersTimeout = deps.limits.headersMs
    this.nodeServer.requestTimeout = deps.limits.requestMs
    this.nodeServer.keepAliveTimeout = deps.limits.idleMs
    this.nodeServer.maxHeadersCount = deps.limits.headerCount
    this.nodeServer.on('connection', (socket: Socket) => this.trackSocket(socket))
    this.nodeServer.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => this.handleClientError(err, socket))
    router.onUnrouted((req, res, failure) => { this.refuse(this.createExchange(req, res), failure) })
  }

  /**
   * Adds a route.
   * @param path - path in the notation of the router
   */
  route (method: RouteMethod, path: string, handler: ExchangeHandler): void {
    this.router.route(method, path, async (req, res) => { await this.serve(this.createExchange(req, res), handler) })
  }

  /**
   * Starts listening; resolves to the bound address, with the actual port if port 0 was requested. Rejects if it cannot be bound.
   * @param address - IPv4:port
   */
  async listen (address: string): Promise<string> {
    const [host = '', port] = address.split(':')
    this.nodeServer.listen({ host, port: Number(port), backlog: ACCEPT_BACKLOG })
    await once(this.nodeServer, 'listening')
    const bound = this.nodeServer.address() as AddressInfo
    return `${bound.address}:${bound.port}`
  }

  /**
   * Continues serving, but sends `Connection: close` with each response so that clients move to another server. Requests that
   * are in transit when a shutdown begins are still answered.
   */
  linger (): void {
    this.isLingering = true
  }

  /**
   * Stops accepting connections; resolves when all open requests are answered. A connection without a request is closed after
   * `headersMs`, because Node would wait for it indefinitely.
   */
  close (): Promise<void> {
    this.isClosing = true
    const timer = setTimeout(() => this.closeUnusedSockets(), this.deps.limits.headersMs)
    return new Promise((resolve) => {
      this.nodeServer.close(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  /** Number of requests that are not answered yet. */
  openRequests (): number {
    return this.open.size
  }

  private trackSocket (socket: Socket): void {
    socket.setKeepAlive(true, keepAliveProbeMs)
    this.sockets.add(socket)
    this.waiting.opened(socket)
    socket.once('close', () => this.sockets.delete(socket))
    if (this.sockets.size > this.deps.limits.connections) this.makePlace(socket)
  }

  /** Closes another connection, or the new one if all others have a request. */
  private makePlace (socket: Socket): void {
    const { clients, name } = this.deps
    if (this.waiting.closeOldest()) {
      clients.closed(name, 'waited')
      return
    }
    const idle = this.findIdle()
    clients.closed(name, idle === undefined ? 'noPlace' : 'idle')
    const closed = idle ?? socket
    closed.destroy()
  }

  /** The oldest connection between two requests. */
  private findIdle (): Socket | undefined {
    const usedSockets = this.usedSockets()
    return [...this.sockets].find(socket => !socket.destroyed && !usedSockets.has(socket) && !this.waiting.has(socket))
  }

  private usedSockets (): ReadonlySet<Socket> {
    return new Set([...this.open].map((exchange) => exchange.req.socket))
  }

  private closeUnusedSockets (): void {
    const usedSockets = this.usedSockets()
    for (const socket of this.sockets) {
      if (!usedSockets.has(socket)) socket.destroy()
    }
  }

  private createExchange (req: IncomingMessage, res: ServerResponse): HttpExchange {
    const exchange = new HttpExchange(req, res, this.deps.limits)
    this.open.add(exchange)
    if (this.isClosing || this.isLingering) res.setHeader('Connection', 'close')
    res.once('close', () => {
      this.open.delete(exchange)
      if (this.isClosing) setImmediate(() => this.nodeServer.closeIdleConnections())
    })
    return exchange
  }

  private async serve (exchange: HttpExchange, handler: ExchangeHandler): Promise<void> {
    try {
      const outcome = await handler(exchange)
      outcome.ifLeft((left) => this.handleLeft(exchange, left))
    } catch (err) {
      this.fault(exchange, err)
    }
  }

  /** `EitherAsync` also puts thrown errors on the left side, regardless of its type. */
  private handleLeft (exchange: HttpExchange, left: unknown): void {
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
      code: failure.code,
      ran: failure.ran,
      team: exchange.client,
      retryAfterMs: failure.retryAfterMs
    })
    exchange.refuse(failure)
  }

  /** Malformed bytes may follow a complete request that is being handled. */
  private handleClientError (err: NodeJS.ErrnoException, socket: Socket): void {
    if (err.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const failure = parserFailure(err.code)
    const exchange = [...this.open].find((candidate) => candidate.req.socket === socket)
    if (exchange === undefined) refuseSocket(socket, failure)
    else if (exchange.res.headersSent) socket.destroy()
    else this.refuseAndClose(exchange, exchange.req.complete ? mayHaveRun(failure) : failure)
  }

  private refuseAndClose (exchange: HttpExchange, failure: Failure): void {
    exchange.res.setHeader('Connection', 'close')
    this.refuse(exchange, failure)
  }
}
