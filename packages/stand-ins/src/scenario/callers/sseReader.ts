/**
 * Parses server-sent events from text that arrives in chunks.
 */

/** Handles one event; its type is `message` unless the stream names one. */
export type SseHandler = (event: string, data: string) => void

export class SseReader {
  private buffered = ''

  constructor (private readonly onEvent: SseHandler) {}

  /** Parses the next chunk; an incomplete event is buffered. */
  push (text: string): void {
    const blocks = (this.buffered + text).split('\n\n')
    this.buffered = blocks.pop() ?? ''
    for (const block of blocks) this.parseBlock(block)
  }

  private parseBlock (block: string): void {
    const fields = new Map(block.split('\n').map(line => {
      const colon = line.indexOf(':')
      return [line.slice(0, colon), line.slice(colon + 1).trimStart()]
    }))
    const data = fields.get('data')
    if (data !== undefined) this.onEvent(fields.get('event') ?? 'message', data)
  }
}
