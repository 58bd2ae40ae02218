/**
 * Event queue for simulations: a binary heap of callbacks, ordered by virtual time and then by insertion order.
 */

interface ScheduledEvent {
  readonly at: number
  readonly order: number
  readonly run: (at: number) => void
}

export class EventQueue {
  private readonly heap: ScheduledEvent[] = []
  private order = 0

  schedule (at: number, run: (at: number) => void): void {
    const entry = { at, order: this.order++, run }
    let index = this.heap.push(entry) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      const parentEntry = this.heap[parent]
      if (parentEntry === undefined || !isBefore(entry, parentEntry)) break
      this.heap[index] = parentEntry
      index = parent
    }
    this.heap[index] = entry
  }

  /**
   * Runs all events up to and including a time, also those scheduled meanwhile.
   * @param untilMs - virtual time
   */
  run (untilMs: number): void {
    for (let next = this.heap[0]; next !== undefined && next.at <= untilMs; next = this.heap[0]) {
      this.removeFirst()
      next.run(next.at)
    }
  }

  private removeFirst (): void {
    const last = this.heap.pop()
    if (last === undefined || this.heap.length === 0) return
    let index = 0
    while (true) {
      const left = this.heap[2 * index + 1]
      const right = this.heap[2 * index + 2]
      const child = right !== undefined && left !== undefined && isBefore(right, left) ? 2 * index + 2 : 2 * index + 1
      const childEntry = this.heap[child]
      if (childEntry === undefined || !isBefore(childEntry, last)) break
      this.heap[index] = childEntry
      index = child
    }
    this.heap[index] = last
  }
}

function isBefore (a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}
