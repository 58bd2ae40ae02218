/**
 * Time for decision logic, which never reads a clock: the caller reads both clocks once per event
 * and passes them in. The monotonic clock measures durations; the wall clock is used in addition
 * because some hypervisors stop the monotonic clock of a paused VM.
 */

/** One reading of both clocks, in milliseconds. */
export interface Instant {
  /** Monotonic milliseconds since an arbitrary start of this process. */
  readonly mono: number
  /** Wall-clock milliseconds since the Unix epoch; may step in either direction. */
  readonly wall: number
}

/** Source of {@link Instant} readings: the system clocks in the daemon, a manual clock in tests. */
export interface Clock {
  now (): Instant
}

/**
 * Milliseconds between two readings, by whichever clock advanced more. A pause that stopped one
 * clock is therefore still detected, and a wall clock that was set back is ignored.
 */
export function elapsedMs (from: Instant, to: Instant): number {
  return Math.max(to.mono - from.mono, to.wall - from.wall, 0)
}
