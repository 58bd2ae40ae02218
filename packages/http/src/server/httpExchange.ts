/**
 * One request and its answer. The first answer given counts, later ones are ignored, so that a
 * timeout and a handler may both end an exchange without harm. `gone` fires when the caller
 * closes the connection before the answer ended.
 */
import { randomBytes } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { problemHeaders, problemText } from '../problem/problemHeaders.js'
import type { HttpLimits } from './httpLimits.js'

/** Header fields of an answer. */
export type HeaderFields = Readonly<Record<string, string>>

/** A request after restify's router saw it. */
interface RoutedRequest extends IncomingMessage {
  readonly params?: Readonly<Record<string, unknown>>
}

const requestIdBytes = 16

/** One request and its answer. */
export class HttpExchange {
  /** Sent as `X-Request-Id`; may be changed until the headers are sent. */
  requestId = randomBytes(requestIdBytes).toString('hex')
  /** The team or operator, once known; for the log. */
  client: string | undefined
  private readonly goneControl = new AbortController()
  private ended = false

  /**
   * @param req - the request
   * @param res - its answer
   * @param limits - limits of the server
   */
  constructor (readonly req: IncomingMessage, readonly res: ServerResponse, readonly limits: HttpLimits) {
    res.on('error', () => this.abandon())
    res.once('close', () => {
      if (!this.ended) this.abandon()
    })
  }

  /** Aborted when the caller goes away before the end. */
  get gone (): AbortSignal {
    return this.goneControl.signal
  }

  /** Whether an answer can no longer be given. */
  get closed (): boolean {
    return this.ended || this.gone.aborted
  }

  /** Parameters of the path, decoded. */
  get params (): Readonly<Record<string, unknown>> {
    return (this.req as RoutedRequest).params ?? {}
  }

  /** Bytes of the answer that the caller has not taken yet. */
  get bufferedBytes (): number {
    return this.res.writableLength
  }

  /**
   * Fires `gone`: whoever works for this exchange should stop.
   * @param reason - why, when it was not the caller who closed the connection
   */
  abandon (reason?: Failure): void {
    this.goneControl.abort(reason)
  }

  /**
   * Answers with a whole JSON value.
   * @param status - HTTP status
   * @param body - any JSON value
   * @param headers - further header fields
   */
  sendJson (status: number, body: unknown, headers: HeaderFields = {}): void {
    this.sendBytes(status, Buffer.from(JSON.stringify(body)), { 'Content-Type': 'application/json', ...headers })
  }

  /**
   * Answers with a problem body, or closes the connection if part of an answer was sent already.
   * @param failure - why the request is refused
   */
  refuse (failure: Failure): void {
    if (this.res.headersSent && !this.ended) this.req.socket.destroy()
    if (this.leavesBody(failure) && !this.closed && !this.res.headersSent) this.res.setHeader('Connection', 'close')
    this.sendBytes(failure.entry.status, Buffer.from(problemText(failure)), problemHeaders(failure))
  }

  /** Whether a body was given up half-read. One that nobody began to read is discarded by Node, so that its sender sees the answer. */
  private leavesBody (failure: Failure): boolean {
    return !this.req.complete && (this.req.readableDidRead || failure.code === 'bodyTooLarge')
  }

  /**
   * Answers with whole bytes.
   * @param status - HTTP status
   * @param body - the bytes
   * @param headers - header fields, among them the content type
   */
  sendBytes (status: number, body: Buffer, headers: HeaderFields): void {
    if (this.closed || this.res.headersSent) return
    this.startHeaders(status, { ...headers, 'Content-Length': String(body.length) })
    this.end(body)
  }

  /**
   * Sends the headers of an answer that is written in parts.
   * @param status - HTTP status
   * @param headers - header fields
   */
  startHeaders (status: number, headers: HeaderFields): void {
    if (this.closed || this.res.headersSent) return
    this.res.setHeader('X-Request-Id', this.requestId)
    this.res.writeHead(status, headers)
  }

  /**
   * Writes a part of the answer.
   * @param text - the part
   */
  write (text: string): void {
    if (!this.closed) this.res.write(text)
  }

  /**
   * Ends the answer. A caller that does not read it in time loses the connection.
   * @param body - the last part
   */
  end (body?: Buffer): void {
    if (this.closed) return
    this.ended = true
    const { socket } = this.req
    const timer = setTimeout(() => socket.destroy(), this.limits.finishMs)
    this.res.once('close', () => clearTimeout(timer))
    this.res.end(body)
  }

  /** Ends the answer and closes the connection after it. */
  endAndClose (): void {
    const { socket } = this.req
    this.res.once('finish', () => socket.destroySoon())
    this.end()
  }
}
