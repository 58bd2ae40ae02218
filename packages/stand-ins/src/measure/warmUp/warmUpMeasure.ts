/**
 * `npm run measure -- warm-up`: requests that reach warming targets, by the strategy with which VMs share a target's rate.
 */
import type { Measurement, MeasureRow } from '../measureTypes.js'
import { playWarmUp, type WarmUpShape } from './warmUpFleet.js'
import { warmUpWays, type WarmUpWayName } from './warmUpWays.js'

const SEEDS = 200

/** A third of the 60 targets returns; traffic is 5.2 requests per second per VM. */
const usual: Omit<WarmUpShape, 'seed'> = { vms: 79, targets: 60, warming: 20, requestsPerS: 412, hotPart: 0, isHerd: false, knownPart: 1 }

const shapes: Readonly<Record<string, Omit<WarmUpShape, 'seed'>>> = {
  'prompts spread evenly': usual,
  'a third of all requests have one prompt': { ...usual, hotPart: 0.33 },
  'all go to the first that may have them': { ...usual, isHerd: true },
  'the same, each VM knows half of the others': { ...usual, isHerd: true, knownPart: 0.5 },
  'the same, 360 VMs': { ...usual, isHerd: true, vms: 360, requestsPerS: 1_880 },
  'the same, 6 VMs': { ...usual, isHerd: true, vms: 6, requestsPerS: 120, targets: 13, warming: 5 }
}

export const warmUpMeasure: Measurement = {
  group: 'measure',
  name: 'warm-up',
  title: 'requests that reach a warming target in its worst second, by the strategy with which VMs share its rate',
  run: async ({ seed }) => Object.entries(shapes).flatMap(([what, shape]) =>
    (Object.keys(warmUpWays) as WarmUpWayName[]).map(way => rowOf(what, shape, way, seed)))
}

function rowOf (what: string, shape: Omit<WarmUpShape, 'seed'>, way: WarmUpWayName, seed: string): MeasureRow {
  const played = Array.from({ length: SEEDS }, (_, index) => playWarmUp({ ...shape, seed: `${seed}-${index}` }, way))
  const homeless = played.reduce((sum, counts) => sum + counts.homeless, 0)
  const atHome = played.reduce((sum, counts) => sum + counts.atHome, 0)
  return { what, way, worst_second: Math.max(...played.map(counts => counts.worstSecond)), arrived: Math.round(played.reduce((sum, { arrived }) => sum + arrived, 0) / SEEDS), at_home: Math.round(atHome / Math.max(1, homeless) * 100) / 100 }
}
