/**
 * The list of measurements. A new one adds its import and its line here.
 */
import type { Measurement } from './measureTypes.js'
import { streamBench } from './streamBench.js'

/** All measurements by group and name. */
export const measurements: readonly Measurement[] = [
  streamBench
]
