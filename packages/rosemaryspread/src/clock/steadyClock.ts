/**
 * Clock that includes suspensions of the VM. The monotonic clock stops during a suspension and the time of day may be set, so a
 * forward jump of the time of day counts in `wall` only (towards expiry), until a remote clock confirms it as a suspension (then
 * `mono` catches up) or refutes it. The system uptime can't decide: Node reads it from a file that containers may share with the host.
 */
import { performance } from 'node:perf_hooks'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'

/** Smaller differences between clocks, in milliseconds, are drift or the delay between two readings. */
const JUMP_MS = 100

/** Receives readings of the monotonic clock of another machine. */
export interface ClockWitness {
  /**
   * Compares a remote reading with the local clocks.
   * @param theirs - remote monotonic milliseconds
   * @param askedAt - local monotonic milliseconds at which the reading was requested
   */
  witnessed (theirs: number, askedAt: number): void
}

/** Bounds of the remote clock minus the local `mono`, in milliseconds. */
interface Ahead {
  readonly least: number
  readonly most: number
}

/** Reads the system clocks and corrects them for suspensions. */
export class SteadyClock implements Clock, ClockWitness {
  private readonly wallAtZero = Date.now() - performance.now()
  /** Time of day minus the monotonic clock, at the last reading. */
  private gapMs = this.wallAtZero
  /** Total milliseconds of confirmed suspensions. */
  private suspendedMs = 0
  /** Forward jump of the time of day that no remote clock has confirmed or refuted yet. */
  private doubtMs = 0
  /** `mono` at the last jump. */
  private jumpedAt = -Infinity
  private ahead: Ahead | undefined

  /** @param onSuspended - receives the milliseconds of each confirmed suspension */
  constructor (private readonly onSuspended: (milliseconds: number) => void = () => {}) {}

  now (): Instant {
    const steady = performance.now()
    this.noteJump(Date.now() - steady)
    const mono = steady + this.suspendedMs
    return { mono, wall: this.wallAtZero + mono + this.doubtMs }
  }

  witnessed (theirs: number, askedAt: number): void {
    const { mono } = this.now()
    // A request that spans a jump gives no bounds for the offset before or after it.
    if (askedAt <= this.jumpedAt) return
    const heard = { least: theirs - mono, most: theirs - askedAt }
    const known = this.ahead ?? heard
    const isStill = overlap(heard, known)
    const isMoved = overlap(heard, moved(known, this.doubtMs))
    // A slow response fits both cases; a later one decides.
    if (this.doubtMs > 0 && isStill && isMoved) return
    if (this.doubtMs > 0 && !isStill) this.suspended(isMoved ? this.doubtMs : between(0, heard.least - known.most, this.doubtMs))
    this.doubtMs = 0
    this.ahead = this.narrowed(moved(heard, mono - this.now().mono))
  }

  private noteJump (gapMs: number): void {
    const jumpMs = gapMs - this.gapMs
    this.gapMs = gapMs
    if (Math.abs(jumpMs) < JUMP_MS) return
    this.jumpedAt = performance.now() + this.suspendedMs
    this.doubtMs = Math.max(0, this.doubtMs + jumpMs)
  }

  private suspended (milliseconds: number): void {
    this.suspendedMs += milliseconds
    this.onSuspended(milliseconds)
  }

  /** Intersects the bounds; disjoint bounds belong to another remote clock or to one that drifted, and replace the old ones. */
  private narrowed (heard: Ahead): Ahead {
    const { ahead } = this
    if (ahead === undefined || heard.least > ahead.most || heard.most < ahead.least) return heard
    return { least: Math.max(heard.least, ahead.least), most: Math.min(heard.most, ahead.most) }
  }
}

function moved ({ least, most }: Ahead, by: number): Ahead {
  return { least: least + by, most: most + by }
}

function between (least: number, value: number, most: number): number {
  return Math.min(most, Math.max(least, value))
}

function overlap (a: Ahead, b: Ahead): boolean {
  return a.least <= b.most + JUMP_MS && b.least <= a.most + JUMP_MS
}
