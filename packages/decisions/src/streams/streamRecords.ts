/**
 * Records of which software version began a stream, of streams that began at this VM and at others, for as long as they may be resumed.
 */

/** At some 150 bytes each this is 8 MB; a VM begins some 20 streams a second and holds the records of two others' shares. */
const MAX_RECORDS = 50_000

interface StreamRecord {
  readonly version: string
  readonly at: number
}

/** Records of one VM, by the key of the stream. Times are monotonic milliseconds. */
export class StreamRecords {
  /** Oldest first. */
  private readonly records = new Map<string, StreamRecord>()

  add (key: string, version: string, mono: number): void {
    this.records.delete(key)
    this.records.set(key, { version, at: mono })
    if (this.records.size <= MAX_RECORDS) return
    const [oldest] = this.records.keys()
    if (oldest !== undefined) this.records.delete(oldest)
  }

  /** Version that began a stream; undefined without a record. */
  versionOf (key: string): string | undefined {
    return this.records.get(key)?.version
  }

  /** Drops the records that are older than a time. */
  forget (spanMs: number, mono: number): void {
    for (const [key, { at }] of this.records) {
      if (mono - at <= spanMs) return
      this.records.delete(key)
    }
  }
}
