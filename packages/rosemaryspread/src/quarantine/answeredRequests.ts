/**
 * Stores the digests of requests that targets answered recently. A request that many callers repeat (a popular page) is
 * open at each target that terminates for another reason; recent answers from other targets show that it is harmless.
 */

/**
 * Largest body in bytes of a request that is stored: requests that many callers repeat are small, and larger bodies
 * cost more to hash.
 */
const MAX_BODY_BYTES = 2_048
/** Milliseconds for which an answer counts. */
const RETENTION_MS = 60_000
/** Default maximum of stored digests; a VM answers some 20 such requests a second. */
const MAX_ENTRIES = 2_000

/** Recently answered requests of one VM. Times are monotonic milliseconds. */
export class AnsweredRequests {
  private readonly at = new Map<string, number>()

  /** @param maxEntries - maximum of stored digests; the oldest are dropped */
  constructor (private readonly maxEntries = MAX_ENTRIES) {}

  /** Whether a request with this body is small enough to be stored. */
  isEligible (body: Buffer): boolean {
    return body.length <= MAX_BODY_BYTES
  }

  add (digest: string, mono: number): void {
    this.at.delete(digest)
    this.at.set(digest, mono)
    if (this.at.size <= this.maxEntries) return
    const [oldest] = this.at.keys()
    if (oldest !== undefined) this.at.delete(oldest)
  }

  /** Whether a request was answered recently. */
  has (digest: string, mono: number): boolean {
    return this.lastAt(digest, mono) !== undefined
  }

  /** Time of the last answer; undefined if there was none recently. */
  lastAt (digest: string, mono: number): number | undefined {
    const at = this.at.get(digest)
    return at !== undefined && mono - at <= RETENTION_MS ? at : undefined
  }
}
