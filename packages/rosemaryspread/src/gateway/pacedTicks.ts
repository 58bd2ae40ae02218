/**
 * Repeats work at a pace that is asked for anew each time, and sooner when something urgent begins.
 */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'

/** What ticks work with. */
export interface PacedTicksParts {
  readonly clock: Clock
  /** Milliseconds until a tick that is urgent. */
  readonly urgentMs: number
  /** Milliseconds until the next tick. */
  paceMs (): number
  run (): void
}

/** Ticks of one process. */
export class PacedTicks {
  private timer: NodeJS.Timeout | undefined
  private dueAt = 0

  constructor (private readonly parts: PacedTicksParts) {}

  /** Begins. */
  start (): void {
    this.plan(this.parts.urgentMs)
  }

  /** Has the next tick come in the time of an urgent one, unless it is due before. */
  hurry (): void {
    if (this.timer === undefined || this.dueAt - this.mono <= this.parts.urgentMs) return
    clearTimeout(this.timer)
    this.plan(this.parts.urgentMs)
  }

  /** Ends. */
  stop (): void {
    clearTimeout(this.timer)
    this.timer = undefined
  }

  private plan (ms: number): void {
    this.dueAt = this.mono + ms
    this.timer = setTimeout(() => {
      this.parts.run()
      this.plan(this.parts.paceMs())
    }, ms)
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}
