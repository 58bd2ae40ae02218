/**
 * Probes of the capacity bench. Each runs in a process of its own and answers points: one value
 * of one quantity at one size of one driver.
 */

/** One measured value. */
export interface ProbePoint {
  /** Who spends it: `entry VM`, `placement`, `table service`, `object store`. */
  readonly role: string
  /** What the size counts. */
  readonly driver: string
  readonly quantity: string
  readonly unit: string
  readonly size: number
  readonly value: number
  /** Size of the driver at the target. */
  readonly at: number
}

/** What all points of one quantity have in common. */
export type ProbeSeries = Omit<ProbePoint, 'size' | 'value'>

/** One probe. */
export interface CapacityProbe {
  readonly name: string
  /** Whether it measures processor time, so that nothing else of the bench may run beside it. */
  readonly timed: boolean
  run (seed: string): Promise<readonly ProbePoint[]>
}

/**
 * Adds size and value to what a series has in common.
 * @param series - the series
 * @param size - size of the driver
 * @param value - what was measured
 */
export function pointOf (series: ProbeSeries, size: number, value: number): ProbePoint {
  return { ...series, size, value }
}
