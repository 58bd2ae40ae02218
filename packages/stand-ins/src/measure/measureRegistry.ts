/**
 * Registry of all measurements; a new measurement must be added here.
 */
import { capacityBench } from './capacityBench.js'
import { configMeasure, configSizeMeasure, configTrafficMeasure, configWireMeasure } from './configMeasure.js'
import type { Measurement } from './measureTypes.js'
import { membershipBench } from './membershipBench.js'
import { peersBench } from './peersBench.js'
import { budgetBench } from './budget/budgetBench.js'
import { budgetMeasure } from './budget/budgetMeasure.js'
import { fleetMeasure } from './gateway/fleetMeasure.js'
import { placementMeasure } from './placement/placementMeasure.js'
import { quarantineBench } from './quarantine/quarantineBench.js'
import { routingBench } from './routingBench.js'
import { routingMeasurement } from './routingMeasure.js'
import { streamBench } from './streamBench.js'
import { warmUpMeasure } from './warmUp/warmUpMeasure.js'

export const measurements: readonly Measurement[] = [
  capacityBench,
  configMeasure,
  configTrafficMeasure,
  configWireMeasure,
  configSizeMeasure,
  membershipBench,
  peersBench,
  budgetBench,
  budgetMeasure,
  fleetMeasure,
  placementMeasure,
  quarantineBench,
  routingMeasurement,
  routingBench,
  streamBench,
  warmUpMeasure
]
