/**
 * An answer as server-sent events. The headers go out with the first event, so that a failure
 * before it can still be answered with its own status.
 */
import { toProblem, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { HttpExchange } from '../server/httpExchange.js'

const streamHeaders = {
  'Content-Type': 'text/event-stream; charset=utf-8',
  'Cache-Control': 'no-store',
  'X-Accel-Buffering': 'no'
}

/** Server-sent events on one exchange. */
export class EventStream {
  private begun = false

  /** @param exchange - where the events go */
  constructor (private readonly exchange: HttpExchange) {}

  /** Whether an event was sent. */
  get open (): boolean {
    return this.begun
  }

  /** Whether the caller reads so slowly that more than the limit waits for it. */
  get overfull (): boolean {
    return this.exchange.bufferedBytes > this.exchange.limits.bufferedBytes
  }

  /**
   * Sends one event.
   * @param data - text without line breaks
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

  /**
   * Tells of a failure and closes the connection.
   * @param failure - why the stream is cut
   */
  fail (failure: Failure): void {
    this.start()
    this.exchange.write(`event: error\ndata: ${JSON.stringify(toProblem(failure))}\n\n`)
    this.exchange.endAndClose()
  }

  private start (): void {
    if (this.begun) return
    this.begun = true
    this.exchange.startHeaders(200, streamHeaders)
  }
}
