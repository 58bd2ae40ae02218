/**
 * `npm run measure -- warm-up`: requests that reach warming targets, by the strategy with which VMs share a target's rate.
 */
import type { Measurement, MeasureRow } from '../measureTypes.js'
import { simulateWarmUp, type WarmUpShape } from './warmUpFleet.js'
import { warmUpStrategies, type WarmUpStrategyName } from './warmUpStrategies.js'

const SEEDS = 200

/** A third of the 60 targets returns; traffic is 5.2 requests per second per VM. */
const defaultShape: Omit<WarmUpShape, 'seed'> = { vms: 79, targets: 60, warming: 20, requestsPerS: 412, hotPromptShare: 0, isHerd: false, knownVmShare: 1 }

const shapes: Readonly<Record<string, Omit<WarmUpShape, 'seed'>>> = {
  'prompts spread evenly': defaultShape,
  'a third of all requests have one prompt': { ...defaultShape, hotPromptShare: 0.33 },
  'all go to the first that may have them': { ...defaultShape, isHerd: true },
  'the same, each VM knows half of the others': { ...defaultShape, isHerd: true, knownVmShare: 0.5 },
  'the same, 360 VMs': { ...defaultShape, isHerd: true, vms: 360, requestsPerS: 1_880 },
  'the same, 6 VMs': { ...defaultShape, isHerd: true, vms: 6, requestsPerS: 120, targets: 13, warming: 5 }
}

export const warmUpMeasure: Measurement = {
  group: 'measure',
  name: 'warm-up',
  title: 'requests that reach a warming target in its worst second, by the strategy with which VMs share its rate',
  run: async ({ seed }) => Object.entries(shapes).flatMap(([scenario, shape]) =>
    (Object.keys(warmUpStrategies) as WarmUpStrategyName[]).map(strategy => createRow(scenario, shape, strategy, seed)))
}

function createRow (scenario: string, shape: Omit<WarmUpShape, 'seed'>, strategy: WarmUpStrategyName, seed: string): MeasureRow {
  const results = Array.from({ length: SEEDS }, (_, index) => simulateWarmUp({ ...shape, seed: `${seed}-${index}` }, strategy))
  const affinityRequests = results.reduce((sum, counts) => sum + counts.affinityRequests, 0)
  const affinityHits = results.reduce((sum, counts) => sum + counts.affinityHits, 0)
  return { what: scenario, way: strategy, worst_second: Math.max(...results.map(counts => counts.worstSecond)), arrived: Math.round(results.reduce((sum, { arrived }) => sum + arrived, 0) / SEEDS), at_home: Math.round(affinityHits / Math.max(1, affinityRequests) * 100) / 100 }
}
