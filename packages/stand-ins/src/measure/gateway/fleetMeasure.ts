/**
 * `npm run measure -- fleet`: requests refused although their budget has prepaid tokens left, in a fleet that serves until its
 * budgets are used up: without faults, and with a store outage of seven seconds followed by a restart of all VMs.
 */
import type { Measurement, MeasureRow } from '../measureTypes.js'
import { GatewayFleet, type FleetCounts, type FleetShape } from './gatewayFleet.js'

const SEEDS = ['s1', 's2', 's3']
const SETTLE_MS = 8_000
/** Traffic is counted in spans of this length: before the store outage, from its start to the restart, and after the restart. */
const SPAN_MS = 2_000
const CALM_SPANS = 3
const CUT_SPANS = 5
const LAST_SPANS = 9
const CUT_MS = 7_000
const DOWN_MS = 1_200
const BACK_MS = 2_000

const kinds: FleetShape['kinds'] = [
  { part: 0.25, tokens: 9_400, used: 9_240, runMs: 700, waitMs: 300 },
  { part: 0.53, tokens: 2_460, used: 2_390, runMs: 400, waitMs: 200 },
  { part: 0.22, tokens: 1_490, used: 995, runMs: 2_500, waitMs: 150 }
]
const large: Omit<FleetShape, 'seed'> = { vms: 79, teams: 24, readsPerS: 6_000, writesPerS: 1_500, requestsPerS: 232, paidPart: 1, paidForMs: 30_000, kinds }
const shapes = [large, { ...large, vms: 6, teams: 10, readsPerS: 2_000, writesPerS: 600, requestsPerS: 85 }]

export const fleetMeasure: Measurement = {
  group: 'measure',
  name: 'fleet',
  title: 'requests refused despite prepaid tokens, in a stable fleet and in one with a store outage and restart',
  run: async () => {
    const rows: MeasureRow[] = []
    for (const shape of shapes) for (const isEnded of [false, true]) for (const seed of SEEDS) rows.push(await rowOf({ ...shape, seed }, isEnded))
    return rows
  }
}

async function rowOf (shape: FleetShape, isEnded: boolean): Promise<MeasureRow> {
  const fleet = new GatewayFleet(shape)
  await fleet.time.run(SETTLE_MS)
  const calm = await serveSpans(fleet, CALM_SPANS)
  if (isEnded) fleet.cutOff(CUT_MS)
  const cut = await serveSpans(fleet, CUT_SPANS)
  if (isEnded) {
    await fleet.endAll(DOWN_MS)
    await fleet.time.run(BACK_MS)
  }
  const spans = [...calm, ...cut, ...await serveSpans(fleet, LAST_SPANS)]
  const sum = (of: (counts: FleetCounts) => number): number => spans.reduce((total, counts) => total + of(counts), 0)
  return {
    day: isEnded ? 'cut and end' : 'calm',
    vms: shape.vms,
    seed: shape.seed,
    asked: sum(({ asked }) => asked),
    refused: sum(({ refused }) => refused),
    owed: sum(({ owed }) => owed),
    store_calls: sum(({ storeCalls }) => storeCalls),
    used_part: Math.round(fleet.usedPart * 1_000) / 1_000,
    overspent: fleet.overspent
  }
}

async function serveSpans (fleet: GatewayFleet, count: number): Promise<readonly FleetCounts[]> {
  const spans: FleetCounts[] = []
  while (spans.length < count) spans.push(await fleet.serve(SPAN_MS))
  return spans
}
