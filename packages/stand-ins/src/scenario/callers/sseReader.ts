/**
 * Parses server-sent events from text that arrives in chunks.
 */

/** Handles one event; its type is `message` unless the stream names one. */
export type SseHandler = (event: string, data: string) => void

export class SseReader {
  private rest = ''

  constructor (private readonly handle: SseHandler) {}

  /** Parses the next chunk; an incomplete event is buffered. */
  push (text: string): void {
    const blocks = (this.rest + text).split('\n\n')
    this.rest = blocks.pop() ?? ''
    for (const block of blocks) this.read(block)
  }

  private read (block: string): void {
    const fields = new Map(block.split('\n').map(line => {
      const colon = line.indexOf(':')
      return [line.slice(0, colon), line.slice(colon + 1).trimStart()]
    }))
    const data = fields.get('data')
    if (data !== undefined) this.handle(fields.get('event') ?? 'message', data)
  }
}
