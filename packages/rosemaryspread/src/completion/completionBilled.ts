/**
 * Recently billed request ids of this process. Two requests with the same key may both have run
 * through this VM while a runner was unreachable; only the first of them is billed.
 */

/** Covers more than an hour at 10 requests per second. */
const MAX_IDS = 50_000

/** A bounded set that evicts the oldest id. */
export class BilledRequests {
  private readonly ids = new Set<string>()

  /**
   * Adds a request that is being billed.
   * @returns false when it was already billed
   */
  addIfNew (requestId: string): boolean {
    if (this.ids.has(requestId)) return false
    this.ids.add(requestId)
    if (this.ids.size > MAX_IDS) this.dropOldest()
    return true
  }

  private dropOldest (): void {
    const [oldest] = this.ids
    if (oldest !== undefined) this.ids.delete(oldest)
  }
}
