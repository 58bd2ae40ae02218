/**
 * Clock that includes suspensions of the VM. The monotonic clock stops during a suspension and the time of day may be set, so a
 * forward jump of the time of day counts in `wall` only (towards expiry), until a remote clock confirms it as a suspension (then
 * `mono` catches up) or refutes it. The system uptime can't decide: Node reads it from a file that containers may share with the host.
 */
import { performance } from 'node:perf_hooks'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'

/** Smaller differences between clocks, in milliseconds, are drift or the delay between two readings. */
const MIN_JUMP_MS = 100

/** Receives readings of the monotonic clock of another machine. */
export interface RemoteClockObserver {
  /**
   * Compares a remote reading with the local clocks.
   * @param remoteMs - remote monotonic milliseconds
   * @param requestedAt - local monotonic milliseconds at which the reading was requested
   */
  observeRemote (remoteMs: number, requestedAt: number): void
}

/** Bounds of the remote clock minus the local `mono`, in milliseconds. */
interface OffsetBounds {
  readonly minMs: number
  readonly maxMs: number
}

/** Reads the system clocks and corrects them for suspensions. */
export class SteadyClock implements Clock, RemoteClockObserver {
  private readonly wallAtMonoZero = Date.now() - performance.now()
  /** Time of day minus the monotonic clock, at the last reading. */
  private wallOffsetMs = this.wallAtMonoZero
  /** Total milliseconds of confirmed suspensions. */
  private suspendedMs = 0
  /** Forward jump of the time of day that no remote clock has confirmed or refuted yet. */
  private unconfirmedMs = 0
  /** `mono` at the last jump. */
  private lastJumpAt = -Infinity
  private remoteOffset: OffsetBounds | undefined

  /** @param onSuspended - receives the milliseconds of each confirmed suspension */
  constructor (private readonly onSuspended: (milliseconds: number) => void = () => {}) {}

  now (): Instant {
    const processMono = performance.now()
    this.detectJump(Date.now() - processMono)
    const mono = processMono + this.suspendedMs
    return { mono, wall: this.wallAtMonoZero + mono + this.unconfirmedMs }
  }

  observeRemote (remoteMs: number, requestedAt: number): void {
    const { mono } = this.now()
    // A request that spans a jump gives no bounds for the offset before or after it.
    if (requestedAt <= this.lastJumpAt) return
    const measured = { minMs: remoteMs - mono, maxMs: remoteMs - requestedAt }
    const previous = this.remoteOffset ?? measured
    const fitsNoSuspension = overlaps(measured, previous)
    const fitsSuspension = overlaps(measured, shiftBounds(previous, this.unconfirmedMs))
    // A slow response fits both cases; a later one decides.
    if (this.unconfirmedMs > 0 && fitsNoSuspension && fitsSuspension) return
    if (this.unconfirmedMs > 0 && !fitsNoSuspension) this.addSuspension(fitsSuspension ? this.unconfirmedMs : clamp(0, measured.minMs - previous.maxMs, this.unconfirmedMs))
    this.unconfirmedMs = 0
    this.remoteOffset = this.intersectOffset(shiftBounds(measured, mono - this.now().mono))
  }

  private detectJump (offsetMs: number): void {
    const jumpMs = offsetMs - this.wallOffsetMs
    this.wallOffsetMs = offsetMs
    if (Math.abs(jumpMs) < MIN_JUMP_MS) return
    this.lastJumpAt = performance.now() + this.suspendedMs
    this.unconfirmedMs = Math.max(0, this.unconfirmedMs + jumpMs)
  }

  private addSuspension (milliseconds: number): void {
    this.suspendedMs += milliseconds
    this.onSuspended(milliseconds)
  }

  /** Intersects the bounds; disjoint bounds belong to another remote clock or to one that drifted, and replace the old ones. */
  private intersectOffset (measured: OffsetBounds): OffsetBounds {
    const { remoteOffset } = this
    if (remoteOffset === undefined || measured.minMs > remoteOffset.maxMs || measured.maxMs < remoteOffset.minMs) return measured
    return { minMs: Math.max(measured.minMs, remoteOffset.minMs), maxMs: Math.min(measured.maxMs, remoteOffset.maxMs) }
  }
}

function shiftBounds ({ minMs, maxMs }: OffsetBounds, deltaMs: number): OffsetBounds {
  return { minMs: minMs + deltaMs, maxMs: maxMs + deltaMs }
}

function clamp (min: number, value: number, max: number): number {
  return Math.min(max, Math.max(min, value))
}

function overlaps (a: OffsetBounds, b: OffsetBounds): boolean {
  return a.minMs <= b.maxMs + MIN_JUMP_MS && b.minMs <= a.maxMs + MIN_JUMP_MS
}
