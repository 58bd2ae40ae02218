/**
 * Response of server-sent events. The headers are sent with the first event, so that an earlier failure can still set the status.
 */
import { toProblem, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { HttpExchange } from '../server/httpExchange.js'

const streamHeaders = {
  'Content-Type': 'text/event-stream; charset=utf-8',
  'Cache-Control': 'no-store',
  'X-Accel-Buffering': 'no'
}

export class EventStream {
  private hasStarted = false

  constructor (private readonly exchange: HttpExchange) {}

  /** Whether an event was sent. */
  get open (): boolean {
    return this.hasStarted
  }

  /** Whether a slow caller has more unread bytes than the limit. */
  get isBufferFull (): boolean {
    return this.exchange.bufferedBytes > this.exchange.limits.bufferedBytes
  }

  /**
   * Sends one event.
   * @param data - must not contain line breaks
   */
  send (data: string): void {
    this.start()
    this.exchange.write(`data: ${data}\n\n`)
  }

  /** Ends the stream after all events. */
  end (): void {
    this.start()
    this.exchange.end()
  }

  /** Sends the failure as an `error` event and closes the connection. */
  fail (failure: Failure): void {
    this.start()
    this.exchange.write(`event: error\ndata: ${JSON.stringify(toProblem(failure))}\n\n`)
    this.exchange.endAndClose()
  }

  private start (): void {
    if (this.hasStarted) return
    this.hasStarted = true
    this.exchange.sendHeaders(200, streamHeaders)
  }
}
