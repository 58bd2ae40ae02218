/**
 * Request ids that this process has billed lately. Two asks under one key may both have run at
 * this VM while a runner was out of reach; only the first of them is billed.
 */

/** Ids kept; at the target's ten requests a second these are more than an hour. */
const MAX_IDS = 50_000

/** A bounded set of request ids. */
export class BilledRequests {
  private readonly ids = new Set<string>()

  /**
   * Notes that a request is billed now.
   * @param requestId - its id
   * @returns whether it was not billed before
   */
  isFirst (requestId: string): boolean {
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
