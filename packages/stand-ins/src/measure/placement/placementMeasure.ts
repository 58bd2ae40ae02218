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

const MINUTE = 60_000
const MS_PER_SECOND = 1_000
const LIMIT_MS = 30 * MINUTE
/** Time after the first placement until the fault, so that late orders count before it. */
const REST_MS = 5 * MINUTE

/** Size of a deployment and the models that it declares. */
interface Shape {
  readonly name: string
  readonly domains: readonly string[]
  readonly runnersPerDomain: number
  /** Declared copies by model; every runner may serve every model. */
  readonly models: Readonly<Record<string, number>>
}

const shapes: readonly Shape[] = [
  { name: 'manos', domains: ['quito-centro', 'cumbaya', 'tababela'], runnersPerDomain: 4, models: { asistente: 6, resumen: 3 } },
  { name: 'tuong', domains: ['thu-duc', 'tan-binh', 'binh-thanh'], runnersPerDomain: 4, models: { llm: 8 } },
  { name: 'tuong, no runner spare', domains: ['thu-duc', 'tan-binh', 'binh-thanh'], runnersPerDomain: 4, models: { llm: 12 } },
  { name: '60 runners', domains: ['a', 'b', 'c', 'd', 'e', 'f'], runnersPerDomain: 10, models: { big: 40, mid: 12, small: 4 } }
]

const planners: ReadonlyArray<readonly [string, () => PlacementDecider]> = [
  ['rosemaryspread', () => new PlacementPlanner()],
  ['all at once', () => new NaivePlanner()]
]

type Fault = (world: PlacementHarness, random: () => number, shape: Shape) => void

const faults: ReadonlyArray<readonly [string, Fault]> = [
  ['new version of every model', world => world.patch(config => { for (const model of Object.values(config.models)) model.version = '2' })],
  ['one copy more of the first model, one fewer of the last, if another', (world, _, shape) => world.patch(config => {
    const names = Object.keys(shape.models)
    config.models[names[0]!]!.copies! += 1
    if (names.length > 1) config.models[names.at(-1)!]!.copies! -= 1
  })],
  ['a runner dies', (world, random) => { holderOf(world, random).crash(world.now) }],
  ['a domain is cut off for 10 min', (world, _, shape) => {
    const cut = [...world.engines.values()].filter(({ options }) => options.domain === shape.domains[0])
    for (const engine of cut) Object.assign(engine, { isCut: true, goneAt: world.now })
    world.after(10 * MINUTE, () => { for (const engine of cut) engine.isCut = false })
  }],
  ['a runner comes and goes, 20 s in each 60 s, for 10 min', (world, random) => {
    const engine = holderOf(world, random)
    for (let round = 0; round < 10; round += 1) {
      world.after(round * MINUTE, () => { Object.assign(engine, { isCut: true, goneAt: world.now }) })
      world.after(round * MINUTE + 20_000, () => { engine.isCut = false })
    }
  }],
  ['the holder is paused for 30 s at a new version', world => {
    const [first] = world.holders
    world.patch(config => { for (const model of Object.values(config.models)) model.version = '2' })
    world.after(3_000, () => { first!.isFrozen = true })
    world.after(33_000, () => { first!.isFrozen = false })
  }]
]

/** Faults that apply: without a spare runner copies can't move, so only versions can change. */
function faultsOf ({ domains, runnersPerDomain, models }: Shape): ReadonlyArray<readonly [string, Fault]> {
  const isFull = Object.values(models).some(copies => copies >= domains.length * runnersPerDomain)
  return isFull ? faults.filter(([name]) => name.includes('new version')) : faults
}

/** A random engine with a model loaded. */
function holderOf (world: PlacementHarness, random: () => number): ReturnType<PlacementHarness['engine']> {
  const holding = [...world.engines.values()].filter(engine => engine.models.report.length > 0)
  return holding[Math.floor(random() * holding.length)]!
}

function worldOf (shape: Shape, planner: () => PlacementDecider): PlacementHarness {
  const names = shape.domains.flatMap(domain => Array.from({ length: shape.runnersPerDomain }, (_, index) => ({ domain, name: `${domain}-${index}` })))
  const models = Object.entries(shape.models).map(([model, copies]) =>
    [model, { copies: Math.min(copies, names.length) }] as const)
  const runners = names.map(({ domain, name }, index) =>
    [name, { address: `127.0.0.1:${7000 + index}`, domain, models: Object.keys(shape.models), checksFencing: index % 3 !== 0 }] as const)
  const config = { models: Object.fromEntries(models), runners: Object.fromEntries(runners) }
  return new PlacementHarness({ config, planners: [planner(), planner()] })
}

function decisions (world: PlacementHarness): number {
  return new Set(world.sent.filter(({ kind }) => kind !== 'role').map(({ orderId }) => orderId)).size
}

function measureOne (shape: Shape, fault: readonly [string, Fault], planner: readonly [string, () => PlacementDecider], seed: string): MeasureRow {
  const world = worldOf(shape, planner[1])
  const startMs = world.runUntilPlaced(LIMIT_MS)
  world.run(REST_MS)
  const before = { orders: world.orders, decisions: decisions(world), shortMs: world.shortMs, absentMs: world.absentMs, refusals: world.weightRefusals }
  fault[1](world, seedrandom(seed), shape)
  const stableMs = settle(world)
  return {
    deployment: shape.name,
    fault: fault[0],
    planner: planner[0],
    first_placement_s: startMs / MS_PER_SECOND,
    placed_after_s: stableMs,
    orders_decided: decisions(world) - before.decisions,
    orders_sent: world.orders - before.orders,
    weight_refusals: world.weightRefusals - before.refusals,
    short_model_s: Math.round((world.shortMs - before.shortMs) / MS_PER_SECOND),
    absent_model_s: Math.round((world.absentMs - before.absentMs) / MS_PER_SECOND)
  }
}

/** Seconds until the declared state was reached and stayed, or `never`. */
function settle (world: PlacementHarness): number | string {
  const start = world.now
  let lastUnplaced = start
  while (world.now - start < LIMIT_MS) {
    world.run(MS_PER_SECOND)
    if (!world.isPlaced()) lastUnplaced = world.now
  }
  return lastUnplaced === world.now ? 'never' : (lastUnplaced - start) / MS_PER_SECOND
}

/** Placement under changes and faults. */
export const placementMeasure: Measurement = {
  group: 'measure',
  name: 'placement',
  title: 'time to reach the declared copies, orders, and time with copies missing, under changes and faults',
  async run ({ seed }): Promise<readonly MeasureRow[]> {
    return shapes.flatMap(shape => faultsOf(shape).flatMap(fault => planners.map(planner => measureOne(shape, fault, planner, seed))))
  }
}
