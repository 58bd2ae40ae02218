/**
 * Virtual time for simulations of many VMs in one process: timers fire in order of their due time, and all promises settle
 * between two timers. The same seed gives the same run on any machine.
 */
import { setImmediate } from 'node:timers/promises'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'

/** One timer; timers due at the same time fire in the order in which they were set. */
interface Timer {
  readonly at: number
  readonly order: number
  run: () => void
}

function isBefore (a: Timer, b: Timer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order)
}

/** A clock that advances only on request; its timers are in a binary heap. */
export class VirtualTime implements Clock {
  private present = 0
  private order = 0
  private readonly heap: Timer[] = []

  /** Virtual milliseconds since the start. */
  get mono (): number {
    return this.present
  }

  now (): Instant {
    return { mono: this.present, wall: this.present }
  }

  /**
   * Schedules a timer.
   * @param ms - virtual milliseconds from now
   * @returns function that cancels the timer
   */
  after (ms: number, run: () => void): () => void {
    const timer = { at: this.present + Math.max(0, ms), order: this.order++, run }
    this.push(timer)
    return () => { timer.run = () => {} }
  }

  /** Resolves after `ms` virtual milliseconds. */
  async sleep (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.after(ms, resolve) })
  }

  /** Advances time by `ms` virtual milliseconds, after pending promises have settled. */
  async run (ms: number): Promise<void> {
    const end = this.present + ms
    await setImmediate()
    await this.runUntil(end)
  }

  /**
   * Advances time, firing all timers due.
   * @param end - virtual milliseconds since the start
   */
  async runUntil (end: number): Promise<void> {
    for (let next = this.heap[0]; next !== undefined && next.at <= end; next = this.heap[0]) {
      this.pop()
      this.present = next.at
      next.run()
      await setImmediate()
    }
    this.present = end
  }

  /** Advances time until a promise settles. */
  async until<T> (work: Promise<T>): Promise<T> {
    const state = { settled: false }
    const mark = (): void => { state.settled = true }
    work.then(mark, mark)
    await setImmediate()
    while (!state.settled) {
      const next = this.heap[0]
      if (next === undefined) throw new Error('no timer is due and the promise has not settled')
      await this.run(next.at - this.present)
    }
    return await work
  }

  private push (timer: Timer): void {
    const { heap } = this
    let index = heap.push(timer) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      const other = heap[parent]
      if (other === undefined || isBefore(other, timer)) break
      heap[index] = other
      index = parent
    }
    heap[index] = timer
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
