/**
 * Virtual time for budget runs: events in order of time, with all promise work of one event done
 * before the next begins.
 */

/** One event. */
interface TimedEvent {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

function isBefore (a: TimedEvent, b: TimedEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}

/** Events in a binary heap. */
export class VirtualTime {
  now = 0
  private order = 0
  private readonly heap: TimedEvent[] = []

  /**
   * Runs something later.
   * @param ms - milliseconds from now
   * @param run - what to run
   */
  after (ms: number, run: () => void): void {
    this.push({ at: this.now + Math.max(0, ms), order: this.order++, run })
  }

  /**
   * Resolves later.
   * @param ms - milliseconds from now
   */
  async sleep (ms: number): Promise<void> {
    await new Promise<void>(resolve => this.after(ms, resolve))
  }

  /**
   * Runs all events up to a time.
   * @param end - virtual milliseconds
   */
  async runUntil (end: number): Promise<void> {
    for (;;) {
      const next = this.heap[0]
      if (next === undefined || next.at > end) break
      this.pop()
      this.now = next.at
      next.run()
      await new Promise(resolve => setImmediate(resolve))
    }
    this.now = end
  }

  private push (event: TimedEvent): void {
    const { heap } = this
    let index = heap.push(event) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      const other = heap[parent]
      if (other === undefined || isBefore(other, event)) break
      heap[index] = other
      index = parent
    }
    heap[index] = event
  }

  private pop (): void {
    const { heap } = this
    const last = heap.pop()
    if (last === undefined || heap.length === 0) return
    let index = 0
    for (;;) {
      let child = index * 2 + 1
      const left = heap[child]
      if (left === undefined) break
      const right = heap[child + 1]
      if (right !== undefined && isBefore(right, left)) child += 1
      const smaller = heap[child]
      if (smaller === undefined || isBefore(last, smaller)) break
      heap[index] = smaller
      index = child
    }
    heap[index] = last
  }
}
