/**
 * One listening port of a stand-in: reads requests, dispatches them to routes and sends answers. An optional guard
 * injects faults before and after each call.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { HttpError, HttpRequest, type BodyAnswer, type HttpAnswer, type HttpRoute } from './httpTypes.js'

/** Hooks around each call. */
export interface PortGuard {
  /** Runs before the effect; false cuts the connection. A thrown {@link HttpError} is sent as the answer. */
  enter (req: IncomingMessage): Promise<boolean>
  /** Runs after the effect; false drops the answer. */
  leave (answer: HttpAnswer): boolean
}

export interface PortAddress {
  readonly host: string
  readonly port: number
}

export class HttpPort {
  private readonly server: Server
  private address: PortAddress

  /**
   * @param address - port 0 selects a free port
   * @param routes - the first match is used
   * @param guard - injects faults; absent on the control port
   */
  constructor (address: PortAddress, private readonly routes: readonly HttpRoute[], private readonly guard?: PortGuard) {
    this.address = address
    this.server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
      this.serve(req, res).catch(() => req.socket.destroy())
    })
  }

  /** Starts listening; reopens on the same port after {@link close}. */
  async open (): Promise<PortAddress> {
    if (this.server.listening) return this.address
    this.server.listen(this.address.port, this.address.host, 1024)
    await once(this.server, 'listening')
    this.address = { host: this.address.host, port: (this.server.address() as AddressInfo).port }
    return this.address
  }

  /** Refuses new connections and cuts open ones. */
  async close (): Promise<void> {
    if (!this.server.listening) return
    const closed = once(this.server, 'close')
    this.server.close()
    this.server.closeAllConnections()
    await closed
  }

  private async serve (req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const body = await readBody(req)
      if (this.guard !== undefined && !await this.guard.enter(req)) {
        req.socket.destroy()
        return
      }
      const answer = await this.answer(req, body)
      if (this.guard !== undefined && !this.guard.leave(answer)) req.socket.destroy()
      else if ('open' in answer) answer.open(res)
      else send(res, answer)
    } catch (err) {
      this.sendError(req, res, err)
    }
  }

  private async answer (req: IncomingMessage, body: Buffer): Promise<HttpAnswer> {
    const url = new URL(req.url ?? '/', 'http://stand-in')
    const path = decodeURIComponent(url.pathname)
    const matching = this.routes.filter(route => route.pattern.test(path))
    const route = matching.find(({ method }) => method === req.method)
    if (route === undefined) throw new HttpError(matching.length === 0 ? 404 : 405, `no route for ${req.method} ${path}`)
    const params = route.pattern.exec(path)?.slice(1) ?? []
    return await route.serve(new HttpRequest(route.method, url, req.headers, body, params))
  }

  private sendError (req: IncomingMessage, res: ServerResponse, err: unknown): void {
    if (req.socket.destroyed) return
    if (res.headersSent) req.socket.destroy()
    else if (err instanceof HttpError) send(res, { status: err.status, body: { error: err.message } })
    else send(res, { status: 500, body: { error: String(err) } })
  }
}

async function readBody (req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of req) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

function send (res: ServerResponse, { status, body, headers = {} }: BodyAnswer): void {
  const raw = body === undefined || typeof body === 'string' || Buffer.isBuffer(body)
  const bytes = raw ? Buffer.from(body ?? '') : Buffer.from(JSON.stringify(body))
  const contentType = raw ? 'application/octet-stream' : 'application/json'
  res.writeHead(status, { 'content-type': contentType, 'content-length': bytes.length, ...headers })
  res.end(bytes)
}
