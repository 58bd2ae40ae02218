/**
 * Reads server-sent events from a byte stream, in batches as they arrive, with a limit on the
 * time without an event. Comments and partial events do not extend it. Nothing is read ahead of
 * the consumer, so a slow caller slows the engine's connection and not the memory of this VM.
 */
import type { Readable } from 'node:stream'
import { createParser, type EventSourceMessage } from 'eventsource-parser'

/** Longest event, in characters. */
const MAX_EVENT_CHARS = 4 * 1024 * 1024

/** The events that one read brought: at least one, or none at the end of the stream. */
export interface EventBatch {
  readonly events: readonly EventSourceMessage[]
  readonly ended: boolean
}

/** Thrown when no event came in time. */
export class EventTimeout extends Error {}

/** Reader of one stream. */
export class EventReader {
  private readonly chunks: AsyncIterator<Buffer>
  private readonly decoder = new TextDecoder('utf-8', { fatal: true })
  private events: EventSourceMessage[] = []
  private fault: Error | undefined

  private readonly parser = createParser({
    onEvent: event => { this.events.push(event) },
    onError: err => { this.fault = err.type === 'max-buffer-size-exceeded' ? err : this.fault },
    maxBufferSize: MAX_EVENT_CHARS
  })

  constructor (private readonly body: Readable) {
    this.chunks = body[Symbol.asyncIterator]()
  }

  /**
   * Waits for the next events. Throws {@link EventTimeout} when none came, and whatever the stream failed with.
   * @param timeoutMs - milliseconds for the next event to be complete
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
      return { events: this.take(), ended: false }
    } finally {
      clearTimeout(timer)
    }
  }

  private take (): readonly EventSourceMessage[] {
    const events = this.events
    this.events = []
    return events
  }
}
