/**
 * Measurements plug in here: `measure` for decisions under load and faults, `bench` for cost.
 */

/** Options common to all measurements. */
export interface MeasureOptions {
  readonly seed: string
}

/** One row of a result; field names carry their units. */
export type MeasureRow = Readonly<Record<string, string | number>>

/** One measurement. */
export interface Measurement {
  readonly group: 'measure' | 'bench'
  readonly name: string
  /** One line for the list of names. */
  readonly title: string
  run (options: MeasureOptions): Promise<readonly MeasureRow[]>
}
