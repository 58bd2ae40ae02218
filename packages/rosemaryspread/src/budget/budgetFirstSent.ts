/**
 * When operations were first sent, by the table's clock. A report counts from its first try, since
 * that one may have taken effect though its answer was lost.
 */

/**
 * Milliseconds taken off the time of a first try: a report is made up somewhat before it is sent, by more
 * on a VM that is slow, and what it allows must not begin to grow later for others than for its holder.
 */
const MADE_BEFORE_MS = 100

/** First tries of open operations. */
export class FirstSent {
  private readonly times = new Map<string, number>()

  /**
   * Notes a try; only the first counts. Answers whether it is the first.
   * @param id - the operation
   * @param tableNow - milliseconds of the table's clock, not after the present
   */
  begin (id: string, tableNow: number): boolean {
    if (this.times.has(id)) return false
    this.times.set(id, tableNow - MADE_BEFORE_MS)
    return true
  }

  /**
   * Time of the first try; 0 when there was none.
   * @param id - the operation
   */
  of (id: string): number {
    return this.times.get(id) ?? 0
  }

  /**
   * Forgets an operation whose outcome is known.
   * @param id - the operation
   */
  end (id: string): void {
    this.times.delete(id)
  }
}
