/**
 * Virtual time for runs of many VMs in one process: timers fire in order of their time, and
 * between two of them all promises settle. The same seed gives the same run on any machine.
 */
import { setImmediate } from 'node:timers/promises'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'

/** A clock and its timers. */
export class VirtualTime implements Clock {
  #now = 0
  #due: { at: number, fn: () => void }[] = []

  now (): Instant {
    return { mono: this.#now, wall: this.#now }
  }

  after (ms: number, fn: () => void): () => void {
    const timer = { at: this.#now + Math.max(ms, 0), fn }
    this.#due.splice(this.#firstAfter(timer.at), 0, timer)
    return () => { timer.fn = () => {} }
  }

  /**
   * Resolves later.
   * @param ms - virtual milliseconds
   */
  async sleep (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.after(ms, resolve) })
  }

  /**
   * Lets time pass.
   * @param ms - virtual milliseconds
   */
  async run (ms: number): Promise<void> {
    const end = this.#now + ms
    await setImmediate()
    for (let next = this.#due[0]; next !== undefined && next.at <= end; next = this.#due[0]) {
      this.#due.shift()
      this.#now = next.at
      next.fn()
      await setImmediate()
    }
    this.#now = end
  }

  /**
   * Lets time pass until a promise settles.
   * @param work - the promise
   */
  async until<T> (work: Promise<T>): Promise<T> {
    const state = { settled: false }
    const mark = (): void => { state.settled = true }
    work.then(mark, mark)
    await setImmediate()
    while (!state.settled) {
      const next = this.#due[0]
      if (next === undefined) throw new Error('nothing is due and the work has not settled')
      await this.run(next.at - this.#now)
    }
    return await work
  }

  /** Index of the first timer that is due later. */
  #firstAfter (at: number): number {
    let low = 0
    let high = this.#due.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.#due[middle]?.at ?? 0) <= at) low = middle + 1
      else high = middle
    }
    return low
  }
}
