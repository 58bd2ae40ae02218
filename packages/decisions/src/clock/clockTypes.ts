/**
 * Time as the deciders see it. Deciders never read a clock: the shell reads both clocks once
 * per event and passes them in. The monotonic clock measures durations; the wall clock is
 * only a second witness, because some hypervisors stop the monotonic clock of a paused VM.
 */

/** One reading of both clocks, in milliseconds. */
export interface Instant {
  /** Monotonic milliseconds since an arbitrary start of this process. */
  readonly mono: number
  /** Wall-clock milliseconds since the Unix epoch; may step in either direction. */
  readonly wall: number
}

/** Source of {@link Instant} readings; the daemon binds the system clocks, tests a manual one. */
export interface Clock {
  now (): Instant
}

/**
 * Milliseconds that passed between two readings, by whichever clock saw more. A pause that one
 * clock missed is thereby still noticed; a wall clock stepped back is ignored.
 * @param from - the earlier reading
 * @param to - the later reading
 */
export function elapsedMs (from: Instant, to: Instant): number {
  return Math.max(to.mono - from.mono, to.wall - from.wall, 0)
}
