/**
 * `npm run bench -- routing`: microseconds and bytes of one routing decision, and how they grow with the number of runners.
 * All runners serve 27 models.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { RunnerRouter } from '@rosemaryspread/decisions/routing/runnerRouter.js'
import type { RouteRequest, RunnerView } from '@rosemaryspread/decisions/routing/routingTypes.js'
import seedrandom from 'seedrandom'
import type { Measurement, MeasureRow } from './measureTypes.js'
import { instantOf } from './routingPolicies.js'

const MODELS = 27
const RUNNER_COUNTS = [12, 60, 600]
const SLOTS = 16
const WARM_UP_DECISIONS = 3_000
const ROUTERS_PER_HEAP_SAMPLE = 8
const ROUNDS = 15
const DECISIONS_PER_ROUND = 400

type DecisionKind = 'plain' | 'keyed' | 'refused as overloaded'
const kinds: readonly DecisionKind[] = ['plain', 'keyed', 'refused as overloaded']

interface Cost {
  readonly micros: number
  readonly bytes: number
}

export const routingBench: Measurement = {
  group: 'bench',
  name: 'routing',
  title: 'microseconds and bytes of one routing decision at 12, 60 and 600 runners and 27 models',
  run: async ({ seed }) => kinds.flatMap(kind => createRows(kind, seed))
}

function createRows (kind: DecisionKind, seed: string): readonly MeasureRow[] {
  const measured = RUNNER_COUNTS.map(count => ({ count, ...measureDecisions(kind, count, seedrandom(seed)) }))
  const [smallest] = measured
  return measured.map(({ count, micros, bytes, stateBytes }) => ({
    decision: kind,
    runners: count,
    models: MODELS,
    micros: Number(micros.toFixed(1)),
    bytes: Math.round(bytes),
    state_kib: Math.round(stateBytes / 1_024),
    growth: smallest === undefined ? '' : describeGrowth(count / smallest.count, micros / smallest.micros)
  }))
}

/** Classifies how a cost grows with the number of runners. */
function describeGrowth (size: number, cost: number): string {
  if (size === 1) return 'base'
  const exponent = Math.log(Math.max(1, cost)) / Math.log(size)
  const name = exponent < 0.2 ? 'constant' : exponent < 0.8 ? 'sublinear' : exponent < 1.2 ? 'linear' : 'superlinear'
  return `${name}: x${cost.toFixed(1)} for x${size}`
}

function measureDecisions (kind: DecisionKind, count: number, random: () => number): Cost & { readonly stateBytes: number } {
  const gc = exposeGc()
  createRouter(count, kind)
  gc()
  const heapBefore = process.memoryUsage().heapUsed
  const routers = Array.from({ length: ROUTERS_PER_HEAP_SAMPLE }, () => createRouter(count, kind))
  gc()
  const stateBytes = (process.memoryUsage().heapUsed - heapBefore) / routers.length
  const router = routers.pop() ?? createRouter(count, kind)
  let serial = 0
  const decide = (): void => { router.route(createRequest(serial++, kind), instantOf(1_500), random) }
  for (let i = 0; i < WARM_UP_DECISIONS; i++) decide()
  const rounds = Array.from({ length: ROUNDS }, () => runRound(decide, gc))
  return { micros: median(rounds.map(round => round.micros)), bytes: median(rounds.map(round => round.bytes)), stateBytes }
}

function runRound (decide: () => void, gc: () => void): Cost {
  gc()
  const heapBefore = process.memoryUsage().heapUsed
  const start = process.hrtime.bigint()
  for (let i = 0; i < DECISIONS_PER_ROUND; i++) decide()
  const micros = Number(process.hrtime.bigint() - start) / 1_000 / DECISIONS_PER_ROUND
  return { micros, bytes: (process.memoryUsage().heapUsed - heapBefore) / DECISIONS_PER_ROUND }
}

/** A router with latency measurements, load reports and cache reports for every runner. */
function createRouter (count: number, kind: DecisionKind): RunnerRouter {
  const router = new RunnerRouter('vm0', 'a')
  const runners = Array.from({ length: count }, (_, i) => createRunnerView(i))
  for (let i = 0; i < MODELS; i++) router.observe({ kind: 'configured', model: `m${i}`, runners }, instantOf(0))
  const running = kind === 'refused as overloaded' ? SLOTS + 4 : 6
  for (const { runner } of runners) {
    for (let i = 0; i < 8; i++) {
      const requestId = `${runner}.${i}`
      router.observe({ kind: 'dispatched', runner, requestId, tokens: 400 }, instantOf(i))
      router.observe({ kind: 'firstToken', runner, requestId, afterMs: 80 }, instantOf(i))
      if (i >= 2) router.observe({ kind: 'ended', runner, requestId, ok: true, tokens: 100, totalMs: 2_000 }, instantOf(1_000))
    }
    router.observe({ kind: 'loadReported', runner, running, waiting: 0, reportAgeMs: 500, leaving: false }, instantOf(1_500))
    router.observe({ kind: 'cacheReported', runner, stored: [`p${runner}`], evicted: [] }, instantOf(1_500))
  }
  return router
}

function createRunnerView (i: number): RunnerView {
  return { runner: `runner-${i}`, address: `10.0.${i >> 8}.${i & 255}:8000`, domain: 'abc'[i % 3] ?? 'a', slots: SLOTS }
}

function createRequest (serial: number, kind: DecisionKind): RouteRequest {
  return {
    requestId: `q${serial}`,
    team: 'team',
    model: `m${serial % MODELS}`,
    keyed: kind === 'keyed',
    promptTokens: 400,
    maxTokens: 200,
    prefixHashes: [`prunner-${serial % 12}`, `own${serial}`],
    deadline: instantOf(60_000),
    exclude: []
  }
}

function exposeGc (): () => void {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}

function median (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0
}
