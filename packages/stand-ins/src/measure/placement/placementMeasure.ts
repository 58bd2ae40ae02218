/**
 * `npm run measure -- placement`: time until placement reaches the declared state after a change or
 * a fault, its orders, and the time with copies missing, in virtual time. Compares the product
 * with a planner that orders everything at once.
 */
import seedrandom from 'seedrandom'
import { PlacementPlanner } from '@rosemaryspread/decisions/placement/placementPlanner.js'
import type { PlacementDecider } from '@rosemaryspread/decisions/placement/placementTypes.js'
import { PlacementHarness } from '../../placement/placementHarness.js'
import type { Measurement, MeasureRow } from '../measureTypes.js'
import { NaivePlanner } from './naivePlanner.js'

const MINUTE_MS = 60_000
const MS_PER_SECOND = 1_000
const TIME_LIMIT_MS = 30 * MINUTE_MS
/** Time after the first placement until the fault, so that late orders count before it. */
const SETTLE_MS = 5 * MINUTE_MS

/** Size of a deployment and the models that it declares. */
interface Deployment {
  readonly name: string
  readonly domains: readonly string[]
  readonly runnersPerDomain: number
  /** Declared copies by model; every runner may serve every model. */
  readonly models: Readonly<Record<string, number>>
}

const deployments: readonly Deployment[] = [
  { name: 'manos', domains: ['quito-centro', 'cumbaya', 'tababela'], runnersPerDomain: 4, models: { asistente: 6, resumen: 3 } },
  { name: 'tuong', domains: ['thu-duc', 'tan-binh', 'binh-thanh'], runnersPerDomain: 4, models: { llm: 8 } },
  { name: 'tuong, no runner spare', domains: ['thu-duc', 'tan-binh', 'binh-thanh'], runnersPerDomain: 4, models: { llm: 12 } },
  { name: '60 runners', domains: ['a', 'b', 'c', 'd', 'e', 'f'], runnersPerDomain: 10, models: { big: 40, mid: 12, small: 4 } }
]

const planners: ReadonlyArray<readonly [string, () => PlacementDecider]> = [
  ['rosemaryspread', () => new PlacementPlanner()],
  ['all at once', () => new NaivePlanner()]
]

type Fault = (harness: PlacementHarness, random: () => number, deployment: Deployment) => void

const faults: ReadonlyArray<readonly [string, Fault]> = [
  ['new version of every model', harness => harness.patch(config => { for (const model of Object.values(config.models)) model.version = '2' })],
  ['one copy more of the first model, one fewer of the last, if another', (harness, _, deployment) => harness.patch(config => {
    const names = Object.keys(deployment.models)
    config.models[names[0]!]!.copies! += 1
    if (names.length > 1) config.models[names.at(-1)!]!.copies! -= 1
  })],
  ['a runner dies', (harness, random) => { randomLoadedEngine(harness, random).crash(harness.now) }],
  ['a domain is cut off for 10 min', (harness, _, deployment) => {
    const cut = [...harness.engines.values()].filter(({ options }) => options.domain === deployment.domains[0])
    for (const engine of cut) Object.assign(engine, { isCut: true, goneAt: harness.now })
    harness.after(10 * MINUTE_MS, () => { for (const engine of cut) engine.isCut = false })
  }],
  ['a runner comes and goes, 20 s in each 60 s, for 10 min', (harness, random) => {
    const engine = randomLoadedEngine(harness, random)
    for (let round = 0; round < 10; round += 1) {
      harness.after(round * MINUTE_MS, () => { Object.assign(engine, { isCut: true, goneAt: harness.now }) })
      harness.after(round * MINUTE_MS + 20_000, () => { engine.isCut = false })
    }
  }],
  ['the holder is paused for 30 s at a new version', harness => {
    const [first] = harness.holders
    harness.patch(config => { for (const model of Object.values(config.models)) model.version = '2' })
    harness.after(3_000, () => { first!.isFrozen = true })
    harness.after(33_000, () => { first!.isFrozen = false })
  }]
]

/** Faults that apply: without a spare runner copies can't move, so only versions can change. */
function applicableFaults ({ domains, runnersPerDomain, models }: Deployment): ReadonlyArray<readonly [string, Fault]> {
  const isFull = Object.values(models).some(copies => copies >= domains.length * runnersPerDomain)
  return isFull ? faults.filter(([name]) => name.includes('new version')) : faults
}

/** A random engine with a model loaded. */
function randomLoadedEngine (harness: PlacementHarness, random: () => number): ReturnType<PlacementHarness['engine']> {
  const loaded = [...harness.engines.values()].filter(engine => engine.models.report.length > 0)
  return loaded[Math.floor(random() * loaded.length)]!
}

function createHarness (deployment: Deployment, planner: () => PlacementDecider): PlacementHarness {
  const names = deployment.domains.flatMap(domain => Array.from({ length: deployment.runnersPerDomain }, (_, index) => ({ domain, name: `${domain}-${index}` })))
  const models = Object.entries(deployment.models).map(([model, copies]) =>
    [model, { copies: Math.min(copies, names.length) }] as const)
  const runners = names.map(({ domain, name }, index) =>
    [name, { address: `127.0.0.1:${7000 + index}`, domain, models: Object.keys(deployment.models), checksFencing: index % 3 !== 0 }] as const)
  const config = { models: Object.fromEntries(models), runners: Object.fromEntries(runners) }
  return new PlacementHarness({ config, planners: [planner(), planner()] })
}

function countDecisions (harness: PlacementHarness): number {
  return new Set(harness.sent.filter(({ kind }) => kind !== 'role').map(({ orderId }) => orderId)).size
}

function measureFault (deployment: Deployment, fault: readonly [string, Fault], planner: readonly [string, () => PlacementDecider], seed: string): MeasureRow {
  const harness = createHarness(deployment, planner[1])
  const startMs = harness.runUntilPlaced(TIME_LIMIT_MS)
  harness.run(SETTLE_MS)
  const before = { orders: harness.orders, decisions: countDecisions(harness), shortMs: harness.shortMs, absentMs: harness.absentMs, refusals: harness.weightRefusals }
  fault[1](harness, seedrandom(seed), deployment)
  const placedAfterS = measurePlacedAfterS(harness)
  return {
    deployment: deployment.name,
    fault: fault[0],
    planner: planner[0],
    first_placement_s: startMs / MS_PER_SECOND,
    placed_after_s: placedAfterS,
    orders_decided: countDecisions(harness) - before.decisions,
    orders_sent: harness.orders - before.orders,
    weight_refusals: harness.weightRefusals - before.refusals,
    short_model_s: Math.round((harness.shortMs - before.shortMs) / MS_PER_SECOND),
    absent_model_s: Math.round((harness.absentMs - before.absentMs) / MS_PER_SECOND)
  }
}

/** Seconds until the declared state was reached and stayed, or `never`. */
function measurePlacedAfterS (harness: PlacementHarness): number | string {
  const start = harness.now
  let lastUnplaced = start
  while (harness.now - start < TIME_LIMIT_MS) {
    harness.run(MS_PER_SECOND)
    if (!harness.isPlaced()) lastUnplaced = harness.now
  }
  return lastUnplaced === harness.now ? 'never' : (lastUnplaced - start) / MS_PER_SECOND
}

/** Placement under changes and faults. */
export const placementMeasure: Measurement = {
  group: 'measure',
  name: 'placement',
  title: 'time to reach the declared copies, orders, and time with copies missing, under changes and faults',
  async run ({ seed }): Promise<readonly MeasureRow[]> {
    return deployments.flatMap(deployment => applicableFaults(deployment).flatMap(fault => planners.map(planner => measureFault(deployment, fault, planner, seed))))
  }
}
