/**
 * Splits server-sent events out of text that comes in parts.
 */

/** Takes one event: its type, `message` unless named, and its data. */
export type SseHandler = (event: string, data: string) => void

/** Reads one stream. */
export class SseReader {
  private rest = ''

  /** @param handle - takes each event */
  constructor (private readonly handle: SseHandler) {}

  /**
   * Takes the next part.
   * @param text - text of the stream
   */
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
