/**
 * Types of the capacity bench. Each probe runs in a separate process and returns points: one value
 * of one quantity at one size of one driver.
 */

/** One measured value. */
export interface ProbePoint {
  /** Component that bears the cost: `entry VM`, `placement`, `table service`, `object store`. */
  readonly role: string
  /** What the size counts. */
  readonly driver: string
  readonly quantity: string
  readonly unit: string
  readonly size: number
  readonly value: number
  /** Size of the driver at the planned scale. */
  readonly at: number
}

/** Fields that all points of one quantity share. */
export type ProbeSeries = Omit<ProbePoint, 'size' | 'value'>

/** Measures one or more quantities at several sizes. */
export interface CapacityProbe {
  readonly name: string
  /** Whether it measures processor time, so that no other probe may run at the same time. */
  readonly isTimeSensitive: boolean
  run (seed: string): Promise<readonly ProbePoint[]>
}

/** One measured point of a series. */
export function createPoint (series: ProbeSeries, size: number, value: number): ProbePoint {
  return { ...series, size, value }
}
