/**
 * Bounds the time for which a request lay unread. The sockets are read once in each turn of the event loop, so a request that is read
 * now arrived after the read before. An idle loop would have read it at once, so the bound is the busy time since that read, or since
 * the last sample before it: Node reports neither when sockets are read nor when their data arrived.
 */

/** Counters of the event loop. */
export interface LoopSample {
  /** Turns so far. */
  readonly turns: number
  /** Milliseconds for which the loop was busy so far. */
  readonly busyMs: number
}

export class UnreadTime {
  /** Samples of the last two ticks; ticks run at the end of a turn, after its read. */
  private lastTick: LoopSample
  private tickBefore: LoopSample
  /** Samples of the last two turns in which a request was read. */
  private lastRead: LoopSample
  private readBefore: LoopSample

  /** @param sample - reads the counters */
  constructor (private readonly sample: () => LoopSample) {
    this.lastTick = this.tickBefore = this.lastRead = this.readBefore = sample()
  }

  /** To be called by a timer, several times a second. */
  tick (): void {
    this.tickBefore = this.lastTick
    this.lastTick = this.sample()
  }

  /** To be called when a request is read; returns the milliseconds for which it may have lain unread, at most. */
  read (): number {
    const now = this.sample()
    if (now.turns > this.lastRead.turns) {
      this.readBefore = this.lastRead
      this.lastRead = now
    }
    // A tick of the last turn ran after the read of that turn, so only the one before precedes it.
    const tick = this.lastTick.turns < now.turns - 1 ? this.lastTick : this.tickBefore
    return now.busyMs - Math.max(tick.busyMs, this.readBefore.busyMs)
  }
}
