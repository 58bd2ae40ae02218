/**
 * Times of the first attempt of operations, by the table's clock. A report counts from its first attempt, which may have
 * taken effect though its answer was lost.
 */

/**
 * Milliseconds subtracted from the time of a first attempt, because a report is created before it is sent, and on a slow
 * VM long before. The allowance that it grants must not start to grow later for other VMs than for its holder.
 */
const CREATION_ALLOWANCE_MS = 100

export class FirstAttemptTimes {
  private readonly times = new Map<string, number>()

  /**
   * Records an attempt; only the first one counts. Returns whether it is the first.
   * @param tableNow - milliseconds of the table's clock, not later than the present
   */
  record (id: string, tableNow: number): boolean {
    if (this.times.has(id)) return false
    this.times.set(id, tableNow - CREATION_ALLOWANCE_MS)
    return true
  }

  /** Time of the first attempt; 0 if there was none. */
  of (id: string): number {
    return this.times.get(id) ?? 0
  }

  /** Removes an operation whose outcome is known. */
  forget (id: string): void {
    this.times.delete(id)
  }
}
