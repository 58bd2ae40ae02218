/**
 * Fits lines to measured points by ordinary least squares and extrapolates them to the planned scale.
 */
import { linearRegression } from 'simple-statistics'
import type { MeasureRow } from '../measureTypes.js'
import type { ProbePoint } from './probeTypes.js'

/** Fewest distinct sizes for a fit. */
export const LEAST_SIZES = 3

const PERCENT = 100
const DIGITS = 4

/** A fitted line. */
export interface CapacityFit {
  readonly intercept: number
  readonly slope: number
  /** Largest deviation of a measured value from the line, in percent of the largest measured value. */
  readonly errorPct: number
  /** Value of the line at the planned size. */
  readonly atTarget: number
}

/**
 * Fits a line through points of one quantity.
 * @param points - at least three distinct sizes
 * @param at - size of the driver at the planned scale
 */
export function fitLine (points: ReadonlyArray<{ readonly size: number, readonly value: number }>, at: number): CapacityFit {
  const sizes = new Set(points.map(({ size }) => size))
  if (sizes.size < LEAST_SIZES) throw new Error(`a linear fit needs at least ${LEAST_SIZES} sizes, got ${sizes.size}`)
  const { m, b } = linearRegression(points.map(({ size, value }) => [size, value]))
  const largest = Math.max(...points.map(({ value }) => Math.abs(value)))
  const deviation = Math.max(...points.map(({ size, value }) => Math.abs(value - (b + m * size))))
  return { intercept: b, slope: m, errorPct: largest === 0 ? 0 : deviation / largest * PERCENT, atTarget: b + m * at }
}

/** Rounds to four significant digits. */
export function rounded (value: number): number {
  return Number(value.toPrecision(DIGITS))
}

/** Fits each quantity into one row, in the order of measurement. */
export function fitRows (points: readonly ProbePoint[]): readonly MeasureRow[] {
  const series = new Map<string, ProbePoint[]>()
  for (const point of points) {
    const name = [point.role, point.driver, point.quantity].join('\n')
    series.set(name, [...series.get(name) ?? [], point])
  }
  return [...series.values()].map(rowOf)
}

function rowOf (points: readonly ProbePoint[]): MeasureRow {
  const { role, driver, quantity, unit, at } = points[0] as ProbePoint
  const { intercept, slope, errorPct, atTarget } = fitLine(points, at)
  return {
    role,
    driver,
    quantity,
    unit,
    sizes: points.map(({ size }) => rounded(size)).join(' '),
    values: points.map(({ value }) => rounded(value)).join(' '),
    intercept: rounded(intercept),
    slope: rounded(slope),
    error_pct: Number(errorPct.toFixed(1)),
    target_size: rounded(at),
    at_target: rounded(atTarget)
  }
}
