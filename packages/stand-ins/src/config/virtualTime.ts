/**
 * Virtual time for runs of many VMs in one process: timers fire in order of their time, and
 * between two of them all promises settle. The same seed gives the same run on any machine.
 */
import { setImmediate } from 'node:timers/promises'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'

/** A clock and its timers. */
export class VirtualTime implements Clock {
  #now = 0
  #order = 0
  #due: { at: number, order: number, fn: () => void }[] = []

  now (): Instant {
    return { mono: this.#now, wall: this.#now }
  }

  after (ms: number, fn: () => void): () => void {
    const timer = { at: this.#now + Math.max(ms, 0), order: this.#order++, fn }
    const index = this.#due.findIndex(other => other.at > timer.at)
    this.#due.splice(index < 0 ? this.#due.length : index, 0, timer)
    return () => { this.#due = this.#due.filter(other => other !== timer) }
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
}
