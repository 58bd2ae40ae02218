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
const STABLE_SPANS = 3
const OUTAGE_SPANS = 5
const RECOVERY_SPANS = 9
const OUTAGE_MS = 7_000
const DOWNTIME_MS = 1_200
const RESTART_SETTLE_MS = 2_000

const requestKinds: FleetShape['kinds'] = [
  { part: 0.25, tokens: 9_400, used: 9_240, runMs: 700, waitMs: 300 },
  { part: 0.53, tokens: 2_460, used: 2_390, runMs: 400, waitMs: 200 },
  { part: 0.22, tokens: 1_490, used: 995, runMs: 2_500, waitMs: 150 }
]
const largeFleet: Omit<FleetShape, 'seed'> = { vms: 79, teams: 24, readsPerS: 6_000, writesPerS: 1_500, requestsPerS: 232, prepaidRatio: 1, prepaidTrafficMs: 30_000, kinds: requestKinds }
const fleetShapes = [largeFleet, { ...largeFleet, vms: 6, teams: 10, readsPerS: 2_000, writesPerS: 600, requestsPerS: 85 }]

export const fleetMeasure: Measurement = {
  group: 'measure',
  name: 'fleet',
  title: 'requests refused despite prepaid tokens, in a stable fleet and in one with a store outage and restart',
  run: async () => {
    const rows: MeasureRow[] = []
    for (const shape of fleetShapes) for (const hasOutage of [false, true]) for (const seed of SEEDS) rows.push(await measureRow({ ...shape, seed }, hasOutage))
    return rows
  }
}

async function measureRow (shape: FleetShape, hasOutage: boolean): Promise<MeasureRow> {
  const fleet = new GatewayFleet(shape)
  await fleet.time.run(SETTLE_MS)
  const stable = await serveSpans(fleet, STABLE_SPANS)
  if (hasOutage) fleet.cutOffStore(OUTAGE_MS)
  const outage = await serveSpans(fleet, OUTAGE_SPANS)
  if (hasOutage) {
    await fleet.restartAll(DOWNTIME_MS)
    await fleet.time.run(RESTART_SETTLE_MS)
  }
  const spans = [...stable, ...outage, ...await serveSpans(fleet, RECOVERY_SPANS)]
  const sum = (select: (counts: FleetCounts) => number): number => spans.reduce((total, counts) => total + select(counts), 0)
  return {
    day: hasOutage ? 'cut and end' : 'calm',
    vms: shape.vms,
    seed: shape.seed,
    asked: sum(({ asked }) => asked),
    refused: sum(({ refused }) => refused),
    owed: sum(({ wrongfullyRefused }) => wrongfullyRefused),
    store_calls: sum(({ storeCalls }) => storeCalls),
    used_part: Math.round(fleet.usedShare * 1_000) / 1_000,
    overspent: fleet.overspent
  }
}

async function serveSpans (fleet: GatewayFleet, count: number): Promise<readonly FleetCounts[]> {
  const spans: FleetCounts[] = []
  while (spans.length < count) spans.push(await fleet.serve(SPAN_MS))
  return spans
}
