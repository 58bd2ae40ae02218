/**
 * Splits a byte stream into complete server-sent events without changing any byte, so that a stream that
 * breaks within an event can be resumed after a complete one. Counts events and stores the last id.
 */
import { ByteChunks } from './byteChunks.js'

const LINE_FEED = 0x0a
/** Largest incomplete event that is buffered. */
const MAX_EVENT_BYTES = 1_048_576
/** Bytes before a line feed that decide whether it ends an event. */
const MAX_TAIL_BYTES = 2
const EMPTY = Buffer.alloc(0)
const idLine = /(?:^|\n)id: ?([^\r\n]*)/g

/** Relays the events of one stream. */
export class EventRelay {
  private readonly partial = new ByteChunks()
  /** Last bytes of the incomplete event, so that only new bytes are searched for its end. */
  private tail: Buffer = EMPTY
  private count = 0
  private id: string | undefined

  /** Number of complete events so far. */
  get events (): number {
    return this.count
  }

  /** Id of the last complete event. */
  get lastId (): string | undefined {
    return this.id
  }

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent (): boolean {
    return this.partial.size > 0
  }

  /** Buffers bytes and returns those that complete events. */
  push (bytes: Buffer): Buffer {
    const searched = this.tail.length === 0 ? bytes : Buffer.concat([this.tail, bytes])
    const end = Math.max(0, endOfLastEvent(searched) - this.tail.length)
    const completeEvents = end === 0 ? EMPTY : this.complete(bytes.subarray(0, end))
    this.partial.append(bytes.subarray(end))
    this.tail = Buffer.from(searched.subarray(Math.max(searched.length - MAX_TAIL_BYTES, searched.length - this.partial.size)))
    if (this.partial.size > MAX_EVENT_BYTES) throw new RangeError(`an event exceeds the limit of ${MAX_EVENT_BYTES} bytes`)
    return completeEvents
  }

  /** Returns the buffered bytes with those that complete the event. */
  private complete (bytes: Buffer): Buffer {
    let events = bytes
    if (this.hasPartialEvent) {
      this.partial.append(bytes)
      events = this.partial.take()
    }
    this.countEvents(events.toString('latin1'))
    return events
  }

  /** Discards the incomplete event after the stream broke. */
  discardPartial (): void {
    this.partial.clear()
    this.tail = EMPTY
  }

  private countEvents (text: string): void {
    for (const [, id] of text.matchAll(idLine)) {
      this.id = id
      this.count += 1
    }
  }
}

/** Index after the last blank line, which ends the last complete event. */
function endOfLastEvent (bytes: Buffer): number {
  for (let i = bytes.length - 1; i > 0; i--) {
    if (bytes[i] !== LINE_FEED) continue
    if (bytes[i - 1] === LINE_FEED) return i + 1
    if (bytes[i - 1] === 0x0d && bytes[i - 2] === LINE_FEED) return i + 1
  }
  return 0
}
