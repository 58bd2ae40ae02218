/**
 * Counts work in progress, so that a graceful shutdown can wait for it.
 */
import type { DrainState } from './completionPorts.js'

/** Number of open work items, and whether this VM is draining. */
export class OpenWork implements DrainState {
  draining = false
  private count = 0
  private readonly waiters: Array<() => void> = []

  open (): () => void {
    this.count += 1
    let isClosed = false
    return () => {
      if (isClosed) return
      isClosed = true
      this.count -= 1
      if (this.count === 0) this.waiters.splice(0).forEach(wake => wake())
    }
  }

  openCount (): number {
    return this.count
  }

  /** Resolves to true once no work is open, or to false after the timeout. */
  async waitUntilIdle (timeoutMs: number): Promise<boolean> {
    if (this.count === 0) return true
    return await new Promise(resolve => {
      const timer = setTimeout(() => { resolve(false) }, timeoutMs)
      this.waiters.push(() => {
        clearTimeout(timer)
        resolve(true)
      })
    })
  }
}
