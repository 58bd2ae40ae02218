/**
 * Reads server-sent events from a byte stream in batches, with a timeout per event that comments
 * and partial events do not extend. Nothing is read ahead of the consumer, so a slow caller
 * applies backpressure to the engine's connection instead of filling memory.
 */
import type { Readable } from 'node:stream'
import { createParser, type EventSourceMessage } from 'eventsource-parser'

const MAX_EVENT_CHARACTERS = 4 * 1024 * 1024

/** Events of one read: at least one, or none at the end of the stream. */
export interface EventBatch {
  readonly events: readonly EventSourceMessage[]
  readonly ended: boolean
}

/** Thrown when no complete event arrives within the timeout. */
export class EventTimeout extends Error {}

export class EventReader {
  private readonly chunks: AsyncIterator<Buffer>
  private readonly decoder = new TextDecoder('utf-8', { fatal: true })
  private events: EventSourceMessage[] = []
  private fault: Error | undefined

  private readonly parser = createParser({
    onEvent: event => { this.events.push(event) },
    onError: err => { this.fault = err.type === 'max-buffer-size-exceeded' ? err : this.fault },
    maxBufferSize: MAX_EVENT_CHARACTERS
  })

  constructor (private readonly body: Readable) {
    this.chunks = body[Symbol.asyncIterator]()
  }

  /**
   * Waits for the next events. Throws {@link EventTimeout} after the timeout, or the error of the stream.
   * @param timeoutMs - time until one event must be complete
   */
  async next (timeoutMs: number): Promise<EventBatch> {
    const timer = setTimeout(() => this.body.destroy(new EventTimeout(`no event for ${timeoutMs} ms`)), timeoutMs)
    try {
      while (this.events.length === 0) {
        const chunk = await this.chunks.next()
        if (chunk.done === true) return { events: [], ended: true }
        this.parser.feed(this.decoder.decode(chunk.value, { stream: true }))
        if (this.fault !== undefined) throw this.fault
      }
      return { events: this.dequeueEvents(), ended: false }
    } finally {
      clearTimeout(timer)
    }
  }

  private dequeueEvents (): readonly EventSourceMessage[] {
    const events = this.events
    this.events = []
    return events
  }
}
