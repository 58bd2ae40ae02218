/**
 * Fits lines to measured points by ordinary least squares and extrapolates them to the planned scale.
 */
import { linearRegression } from 'simple-statistics'
import type { MeasureRow } from '../measureTypes.js'
import type { ProbePoint } from './probeTypes.js'

/** Fewest distinct sizes for a fit. */
export const MIN_SIZES = 3

const PERCENT = 100
const SIGNIFICANT_DIGITS = 4

/** A fitted line. */
export interface CapacityFit {
  readonly intercept: number
  readonly slope: number
  /** Largest deviation of a measured value from the line, in percent of the largest measured value. */
  readonly errorPct: number
  /** Value of the line at the planned size. */
  readonly projected: number
}

/**
 * Fits a line through points of one quantity.
 * @param points - at least three distinct sizes
 * @param plannedSize - size of the driver at the planned scale
 */
export function fitLine (points: ReadonlyArray<{ readonly size: number, readonly value: number }>, plannedSize: number): CapacityFit {
  const sizes = new Set(points.map(({ size }) => size))
  if (sizes.size < MIN_SIZES) throw new Error(`a linear fit needs at least ${MIN_SIZES} sizes, got ${sizes.size}`)
  const { m, b } = linearRegression(points.map(({ size, value }) => [size, value]))
  const largest = Math.max(...points.map(({ value }) => Math.abs(value)))
  const deviation = Math.max(...points.map(({ size, value }) => Math.abs(value - (b + m * size))))
  return { intercept: b, slope: m, errorPct: largest === 0 ? 0 : deviation / largest * PERCENT, projected: b + m * plannedSize }
}

/** Rounds to four significant digits. */
export function roundSignificant (value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS))
}

/** Fits each quantity into one row, in the order of measurement. */
export function fitRows (points: readonly ProbePoint[]): readonly MeasureRow[] {
  const series = new Map<string, ProbePoint[]>()
  for (const point of points) {
    const name = [point.role, point.driver, point.quantity].join('\n')
    series.set(name, [...series.get(name) ?? [], point])
  }
  return [...series.values()].map(toRow)
}

function toRow (points: readonly ProbePoint[]): MeasureRow {
  const { role, driver, quantity, unit, at } = points[0] as ProbePoint
  const { intercept, slope, errorPct, projected } = fitLine(points, at)
  return {
    role,
    driver,
    quantity,
    unit,
    sizes: points.map(({ size }) => roundSignificant(size)).join(' '),
    values: points.map(({ value }) => roundSignificant(value)).join(' '),
    intercept: roundSignificant(intercept),
    slope: roundSignificant(slope),
    error_pct: Number(errorPct.toFixed(1)),
    target_size: roundSignificant(at),
    at_target: roundSignificant(projected)
  }
}
