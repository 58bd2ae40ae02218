/**
 * Loopback server of engine streams for `streamBench.ts`. Sends one event per open stream every millisecond, so that events
 * mostly arrive one per read, as from a real engine.
 */
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

const TICK_MS = 1
const DONE_EVENT = 'data: [DONE]\n\n'

/** All streams share this request id. */
export const STREAM_REQUEST_ID = '0123456789abcdef0123456789abcdef'

export class StreamSource {
  private readonly open = new Map<ServerResponse, number>()
  private readonly server = createServer((req, res) => {
    req.resume()
    res.writeHead(200, { 'content-type': 'text/event-stream', 'x-run-holder': 'bench~0' })
    this.open.set(res, 0)
  })

  private timer: NodeJS.Timeout | undefined

  /** @param pieces - pieces per stream, excluding the final event with the usage */
  constructor (private readonly pieces: number) {}

  /**
   * Listens on a free loopback port and starts to send.
   * @returns address as IPv4:port
   */
  async start (): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.timer = setInterval(() => this.tick(), TICK_MS)
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  async stop (): Promise<void> {
    clearInterval(this.timer)
    this.server.closeAllConnections()
    await new Promise(resolve => this.server.close(resolve))
  }

  private tick (): void {
    for (const [res, sequence] of this.open) this.send(res, sequence)
  }

  private send (res: ServerResponse, sequence: number): void {
    if (sequence < this.pieces) {
      res.write(formatEvent(sequence, '{"content":" token"}', 'null', ''))
      this.open.set(res, sequence + 1)
      return
    }
    const usage = `,"usage":{"prompt_tokens":10,"completion_tokens":${this.pieces}}`
    res.end(formatEvent(sequence, '{}', '"stop"', usage) + DONE_EVENT)
    this.open.delete(res)
  }
}

function formatEvent (sequence: number, delta: string, finishReason: string, extraFields: string): string {
  const choice = `{"index":0,"delta":${delta},"finish_reason":${finishReason}}`
  return `id: ${sequence}\ndata: {"id":"${STREAM_REQUEST_ID}","model":"asistente-lm","choices":[${choice}]${extraFields}}\n\n`
}
