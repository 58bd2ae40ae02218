/**
 * Counts open work, so that a graceful shutdown ends only when nothing is interrupted.
 */
import type { DrainState } from './completionPorts.js'

/** Counter of open work with a draining mark. */
export class OpenWork implements DrainState {
  draining = false
  private count = 0
  private readonly waiters: Array<() => void> = []

  open (): () => void {
    this.count += 1
    let ended = false
    return () => {
      if (ended) return
      ended = true
      this.count -= 1
      if (this.count === 0) this.waiters.splice(0).forEach(wake => wake())
    }
  }

  openCount (): number {
    return this.count
  }

  /**
   * Resolves to true when nothing is open, to false after the time given.
   * @param timeoutMs - milliseconds to wait at most
   */
  async idle (timeoutMs: number): Promise<boolean> {
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
