/**
 * Repeats work at an interval that is computed anew for each tick, and earlier when urgent work starts.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'

export interface PacedTicksParts {
  readonly clock: Clock
  /** Milliseconds until an urgent tick. */
  readonly urgentMs: number
  /** Milliseconds until the next tick. */
  paceMs (): number
  run (): void
}

export class PacedTicks {
  private timer: NodeJS.Timeout | undefined
  private dueAt = 0

  constructor (private readonly parts: PacedTicksParts) {}

  start (): void {
    this.schedule(this.parts.urgentMs)
  }

  /** Schedules the next tick as an urgent one, unless it is due earlier. */
  expedite (): void {
    if (this.timer === undefined || this.dueAt - this.mono <= this.parts.urgentMs) return
    clearTimeout(this.timer)
    this.schedule(this.parts.urgentMs)
  }

  stop (): void {
    clearTimeout(this.timer)
    this.timer = undefined
  }

  private schedule (ms: number): void {
    this.dueAt = this.mono + ms
    this.timer = setTimeout(() => {
      this.parts.run()
      this.schedule(this.parts.paceMs())
    }, ms)
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}
