/**
 * Splits a byte stream into complete server-sent events without changing any byte, so that a stream that
 * breaks within an event can be resumed after a complete one. Counts events and stores the last id.
 */

const LINE_FEED = 0x0a
/** Largest incomplete event that is buffered. */
const MAX_EVENT_BYTES = 1_048_576
const idLine = /(?:^|\n)id: ?([^\r\n]*)/g

/** Relays the events of one stream. */
export class EventRelay {
  private partial: Buffer = Buffer.alloc(0)
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
    return this.partial.length > 0
  }

  /** Buffers bytes and returns those that complete events. */
  push (bytes: Buffer): Buffer {
    const buffered = this.partial.length === 0 ? bytes : Buffer.concat([this.partial, bytes])
    const end = endOfLastEvent(buffered)
    this.partial = buffered.subarray(end)
    if (this.partial.length > MAX_EVENT_BYTES) throw new RangeError(`an event exceeds the limit of ${MAX_EVENT_BYTES} bytes`)
    const completeEvents = buffered.subarray(0, end)
    this.countEvents(completeEvents.toString('latin1'))
    return completeEvents
  }

  /** Discards the incomplete event after the stream broke. */
  discardPartial (): void {
    this.partial = Buffer.alloc(0)
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
