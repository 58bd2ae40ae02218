/**
 * One HTTP request and its response. Only the first response is sent, so both a timeout and a handler may end the exchange.
 * The signal `gone` aborts when the caller closes the connection before the response ended.
 */
import { randomBytes } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { problemHeaders, problemText } from '../problem/problemHeaders.js'
import type { HttpLimits } from './httpLimits.js'

export type HeaderFields = Readonly<Record<string, string>>

/** Request with the path parameters that the router adds. */
interface RoutedRequest extends IncomingMessage {
  readonly params?: Readonly<Record<string, unknown>>
}

const requestIdBytes = 16

export class HttpExchange {
  /** Sent as `X-Request-Id`; may be changed until the headers are sent. */
  requestId = randomBytes(requestIdBytes).toString('hex')
  /** Team or operator for the log, once authenticated. */
  client: string | undefined
  private readonly goneController = new AbortController()
  private ended = false

  constructor (readonly req: IncomingMessage, readonly res: ServerResponse, readonly limits: HttpLimits) {
    res.on('error', () => this.abandon())
    res.once('close', () => {
      if (!this.ended) this.abandon()
    })
  }

  /** Aborts when the caller disconnects before the response ended. */
  get gone (): AbortSignal {
    return this.goneController.signal
  }

  /** Whether a response can no longer be sent. */
  get closed (): boolean {
    return this.ended || this.gone.aborted
  }

  /** Decoded path parameters. */
  get params (): Readonly<Record<string, unknown>> {
    return (this.req as RoutedRequest).params ?? {}
  }

  /** Bytes of the response that wait for the caller to read. */
  get bufferedBytes (): number {
    return this.res.writableLength
  }

  /**
   * Aborts `gone`, so that all work for this exchange stops.
   * @param reason - given when the caller did not close the connection
   */
  abandon (reason?: Failure): void {
    this.goneController.abort(reason)
  }

  /** Sends a complete JSON response. */
  sendJson (status: number, body: unknown, headers: HeaderFields = {}): void {
    this.sendBytes(status, Buffer.from(JSON.stringify(body)), { 'Content-Type': 'application/json', ...headers })
  }

  /** Sends a problem body, or closes the connection if the response has already started. */
  refuse (failure: Failure): void {
    if (this.res.headersSent && !this.ended) this.req.socket.destroy()
    if (this.hasPartlyReadBody(failure) && !this.closed && !this.res.headersSent) this.res.setHeader('Connection', 'close')
    this.sendBytes(failure.entry.status, Buffer.from(problemText(failure)), problemHeaders(failure))
  }

  /** Whether reading the request body stopped early. Node discards a body that was not read at all, so its sender receives the response. */
  private hasPartlyReadBody (failure: Failure): boolean {
    return !this.req.complete && (this.req.readableDidRead || failure.code === 'bodyTooLarge')
  }

  /** Sends a complete response; `headers` must include the content type. */
  sendBytes (status: number, body: Buffer, headers: HeaderFields): void {
    if (this.closed || this.res.headersSent) return
    this.sendHeaders(status, { ...headers, 'Content-Length': String(body.length) })
    this.end(body)
  }

  /** Sends the headers of a streamed response. */
  sendHeaders (status: number, headers: HeaderFields): void {
    if (this.closed || this.res.headersSent) return
    this.res.setHeader('X-Request-Id', this.requestId)
    this.res.writeHead(status, headers)
  }

  write (text: string): void {
    if (!this.closed) this.res.write(text)
  }

  /** Ends the response, and closes the connection if the caller does not read it within `finishMs`. */
  end (body?: Buffer): void {
    if (this.closed) return
    this.ended = true
    const { socket } = this.req
    const timer = setTimeout(() => socket.destroy(), this.limits.finishMs)
    this.res.once('close', () => clearTimeout(timer))
    this.res.end(body)
  }

  /** Ends the response, then closes the connection. */
  endAndClose (): void {
    const { socket } = this.req
    this.res.once('finish', () => socket.destroySoon())
    this.end()
  }
}
