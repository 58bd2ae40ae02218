/**
 * Routing and placement probes by number of runners: heap, runners watched, and processor time of
 * a routing decision and of a placement round.
 */
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { RunnerRouter } from '@rosemaryspread/decisions/routing/runnerRouter.js'
import type { RouteRequest, RunnerView } from '@rosemaryspread/decisions/routing/routingTypes.js'
import { PlacementPlanner } from '@rosemaryspread/decisions/placement/placementPlanner.js'
import { fleetConfigSchema } from '@rosemaryspread/decisions/config/configSchema.js'
import { plannedScale } from './plannedScale.js'
import { createPoint, type CapacityProbe, type ProbePoint, type ProbeSeries } from './probeTypes.js'
import { measureHeap, usPerCall } from './processMeter.js'

const SIZES = [60, 180, 600]
const DOMAINS = 6
const SLOTS = 16
const ROUTING_CALLS = 2_000
const ROUNDS = 5
const PLACEMENT_CALLS = 20
const SECOND_MS = 1_000
const now = { mono: 1_000_000, wall: 1_000_000 }

const series = (role: string, quantity: string, unit: string): ProbeSeries => ({ role, driver: 'runners', quantity, unit, at: plannedScale.runners })

function runnerViews (runners: number, model: number, models: number): readonly RunnerView[] {
  const indexes = Array.from({ length: runners }, (_, index) => index).filter(index => index % models === model)
  return indexes.map(index => ({ runner: `runner-${index}`, address: `10.1.${index >> 8}.${index & 255}:8000`, domain: `domain-${index % DOMAINS}`, slots: SLOTS, leaving: false, addedAt: 0 }))
}

function createRouter (runners: number, models: number): RunnerRouter {
  const router = new RunnerRouter('domain-0-a', 'domain-0')
  for (let model = 0; model < models; model++) {
    const views = runnerViews(runners, model, models)
    router.observe({ kind: 'configured', model: `model-${model}`, runners: views }, now)
    for (const { runner } of views) router.observe({ kind: 'loadReported', runner, running: 4, waiting: 0, reportAgeMs: 100, leaving: false }, now)
  }
  return router
}

function createRequest (index: number, keyed: boolean): RouteRequest {
  const requestId = `request-${index}`
  return { requestId, team: 'team-1', model: 'model-0', keyed, promptTokens: 200, maxTokens: 400, prefixHashes: ['a'.repeat(16)], deadline: { mono: now.mono + 60_000, wall: now.wall + 60_000 }, exclude: [] }
}

async function routingPoints (runners: number): Promise<readonly ProbePoint[]> {
  const { retained: router, bytes } = measureHeap(() => createRouter(runners, plannedScale.models))
  const singleModelRouter = createRouter(runners, 1)
  const random = (): number => Math.random()
  const plainUs = await usPerCall(ROUTING_CALLS, ROUNDS, index => singleModelRouter.route(createRequest(index, false), now, random))
  const keyedUs = await usPerCall(ROUTING_CALLS / 10, ROUNDS, index => singleModelRouter.route(createRequest(index, true), now, random))
  return [
    createPoint(series('entry VM', 'heap of RunnerRouter, 27 models', 'bytes'), runners, bytes),
    createPoint(series('entry VM', 'runners watched by one VM, 27 models', ''), runners, router.watched().length),
    createPoint(series('entry VM', 'runners watched by one VM, 1 model', ''), runners, singleModelRouter.watched().length),
    createPoint(series('entry VM', 'time of a decision, one model, plain', 'us'), runners, plainUs),
    createPoint(series('entry VM', 'time of a decision, one model, keyed', 'us'), runners, keyedUs)
  ]
}

async function placementPoints (runners: number): Promise<readonly ProbePoint[]> {
  const models = Object.fromEntries(Array.from({ length: plannedScale.models }, (_, index) => [`model-${index}`, { version: '1' }]))
  const runnerConfigs = Object.fromEntries(Array.from({ length: plannedScale.models }, (_, model) => runnerViews(runners, model, plannedScale.models)
    .map(({ runner, address, domain }) => [runner, { address, domain, models: [`model-${model}`] }] as const)).flat())
  const config = fleetConfigSchema.parse({ models, runners: runnerConfigs })
  const planner = new PlacementPlanner()
  const at = { mono: now.mono, wall: now.wall }
  planner.handle({ kind: 'configured', config }, at)
  planner.handle({ kind: 'taken', fencing: 1 }, at)
  const runRound = (): void => {
    at.mono += SECOND_MS
    at.wall += SECOND_MS
    for (const [runner, { models: loaded }] of Object.entries(config.runners)) {
      planner.handle({ kind: 'reported', runner, models: loaded.map(model => ({ model, version: '1', adapters: [] })), leaving: false }, at)
    }
    completeOrders(planner, at, planner.handle({ kind: 'tick' }, at))
  }
  const us = await usPerCall(PLACEMENT_CALLS, ROUNDS, runRound)
  const { bytes } = measureHeap(() => {
    const other = new PlacementPlanner()
    other.handle({ kind: 'configured', config }, at)
    return other
  })
  return [
    createPoint(series('placement', 'processor time of PlacementPlanner, one round a second', 'us/s'), runners, us),
    createPoint(series('placement', 'heap of PlacementPlanner', 'bytes'), runners, bytes)
  ]
}

/** Routing and placement decisions, without sockets. */
export const routerProbe: CapacityProbe = {
  name: 'router',
  isTimeSensitive: true,
  run: async () => {
    const points: ProbePoint[] = []
    for (const size of SIZES) points.push(...await routingPoints(size))
    for (const size of SIZES) points.push(...await placementPoints(size))
    return points
  }
}

/** Reports every order as done, including those that follow from the reports. */
function completeOrders (planner: PlacementPlanner, at: Instant, actions: ReturnType<PlacementPlanner['handle']>): void {
  for (const { order } of actions) {
    completeOrders(planner, at, planner.handle({ kind: 'answered', orderId: order.orderId, outcome: { kind: 'done' } }, at))
  }
}
