/**
 * Interface of a measurement: group `measure` covers decisions under load and faults, group `bench` their cost.
 */

/** Options common to all measurements. */
export interface MeasureOptions {
  readonly seed: string
}

/** One row of a result table; field names carry their units. */
export type MeasureRow = Readonly<Record<string, string | number>>

export interface Measurement {
  readonly group: 'measure' | 'bench'
  readonly name: string
  /** One-line description in the usage text. */
  readonly title: string
  run (options: MeasureOptions): Promise<readonly MeasureRow[]>
}
