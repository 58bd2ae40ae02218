/**
 * Writes log lines to standard output. Lines that nobody reads stay in the process, so they are dropped beyond a bound, and counted.
 */
import type { Writable } from 'node:stream'

/** Bytes of lines that wait to be read, at most. */
const MAX_WAITING_BYTES = 1024 * 1024

export class LineWriter {
  private dropped = 0

  /**
   * @param output - where the lines go; read at each line
   * @param droppedLine - the line that says how many were dropped
   */
  constructor (private readonly output: () => Pick<Writable, 'write' | 'writableLength'>, private readonly droppedLine: (dropped: number) => string) {}

  /** Whether a line finds room; counts it as dropped otherwise. */
  hasRoom (): boolean {
    // Standard output has no queue when it is a file.
    if ((this.output().writableLength ?? 0) <= MAX_WAITING_BYTES) return true
    this.dropped += 1
    return false
  }

  /** Writes a line that has room, after the count of those dropped before it. */
  write (line: string): void {
    const { dropped } = this
    this.dropped = 0
    if (dropped > 0) this.output().write(this.droppedLine(dropped))
    this.output().write(line)
  }
}
