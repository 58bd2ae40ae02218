/**
 * Collects the bytes of a body. Small chunks are copied together: a sender chooses the size of its chunks, and an object for each
 * takes far more memory than the bytes of a small one.
 */

const BLOCK_BYTES = 16_384
/** Smallest chunk that is kept as it is. */
const MIN_KEPT_BYTES = 4_096

/** Bytes in order of their arrival. */
export class ByteChunks {
  private chunks: Buffer[] = []
  private bytes = 0
  /** Block that takes the next small chunk, and where its bytes begin and end that are in no chunk yet. */
  private block: Buffer = Buffer.alloc(0)
  private start = 0
  private end = 0

  /** Number of bytes. */
  get size (): number {
    return this.bytes
  }

  /** Number of buffers that hold them. */
  get buffers (): number {
    return this.chunks.length + (this.end > this.start ? 1 : 0)
  }

  append (bytes: Buffer): void {
    if (bytes.length === 0) return
    const isFirst = this.bytes === 0
    this.bytes += bytes.length
    if (isFirst || bytes.length >= MIN_KEPT_BYTES) {
      this.closeChunk()
      this.chunks.push(bytes)
      return
    }
    if (this.end + bytes.length > this.block.length) {
      this.closeChunk()
      this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES)
      this.start = this.end = 0
    }
    this.end += bytes.copy(this.block, this.end)
  }

  /** Returns all bytes and forgets them. */
  take (): Buffer {
    this.closeChunk()
    const all = this.chunks.length === 1 ? this.chunks[0] as Buffer : Buffer.concat(this.chunks)
    this.clear()
    return all
  }

  clear (): void {
    this.chunks = []
    this.bytes = 0
    this.block = Buffer.alloc(0)
    this.start = this.end = 0
  }

  private closeChunk (): void {
    if (this.end > this.start) this.chunks.push(this.block.subarray(this.start, this.end))
    this.start = this.end
  }
}
