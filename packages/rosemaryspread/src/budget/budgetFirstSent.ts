/**
 * When operations were first sent, by the table's clock. A report counts from its first try, since
 * that one may have taken effect though its answer was lost.
 */

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
    this.times.set(id, tableNow)
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
