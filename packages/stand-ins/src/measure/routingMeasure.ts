/**
 * `npm run measure -- routing`: the product's routing against simpler policies, by load and fault,
 * in a seeded simulation.
 */
import seedrandom from 'seedrandom'
import type { Measurement, MeasureOptions, MeasureRow } from './measureTypes.js'
import type { PolicyName } from './routingPolicies.js'
import { RoutingSimulation, type RoutingFault } from './routingSimulation.js'
import type { RoutingStatistics } from './routingStatistics.js'

/** Requests a second that twelve simulated engines answer when all their slots are always busy. */
export const CAPACITY_PER_SECOND = 36

const LOADS = [0.5, 0.9, 1.2, 3]

/** Highest load whose goodput counts for the plateau. */
const PLATEAU_LOAD = 1.2

const faults: readonly RoutingFault[] = ['none', 'stale reports', 'slow runner', 'dying runner', 'cache events lost', 'burst']
const policies: readonly PolicyName[] = ['product', 'round robin', 'random', 'least in flight']

/** The fault with which the product is also run as if every request were keyed. */
const KEYED_FAULT: RoutingFault = 'none'

interface Run {
  readonly fault: RoutingFault
  readonly load: number
  readonly policy: PolicyName
  readonly statistics: RoutingStatistics
}

/** Routing under load and faults. */
export const routingMeasurement: Measurement = {
  group: 'measure',
  name: 'routing',
  title: 'late answers, false refusals, latency and goodput by load and fault, against simpler policies',
  run: async options => withoutStacks(() => faults.flatMap(fault => rowsOf(runsOf(fault, options))))
}

/** Refusals are counted here, never shown, so their stack traces would be a third of the time. */
function withoutStacks<T> (run: () => T): T {
  const limit = Error.stackTraceLimit
  Error.stackTraceLimit = 0
  const result = run()
  Error.stackTraceLimit = limit
  return result
}

function runsOf (fault: RoutingFault, options: MeasureOptions): readonly Run[] {
  const compared: readonly PolicyName[] = fault === KEYED_FAULT ? [...policies, 'product keyed'] : policies
  return LOADS.flatMap(load => compared.map(policy => ({ fault, load, policy, statistics: simulate(policy, fault, load, options) })))
}

function simulate (policy: PolicyName, fault: RoutingFault, load: number, options: MeasureOptions): RoutingStatistics {
  const workloadRandom = seedrandom(`${options.seed}/${fault}/${load}`)
  const random = seedrandom(`${options.seed}/${fault}/${load}/${policy}`)
  return new RoutingSimulation({ policy, fault, perSecond: load * CAPACITY_PER_SECOND, workloadRandom, random }).run()
}

function rowsOf (runs: readonly Run[]): readonly MeasureRow[] {
  const plateau = Math.max(...runs.filter(run => run.load <= PLATEAU_LOAD).map(run => run.statistics.goodput))
  return runs.map(run => rowOf(run, plateau))
}

function rowOf ({ fault, load, policy, statistics }: Run, plateau: number): MeasureRow {
  return {
    fault,
    load,
    policy,
    late_answers_pct: rounded(statistics.share('late'), 2),
    refused_pct: rounded(statistics.share('refused'), 1),
    false_refusals_pct: rounded(statistics.share('false'), 2),
    ttft_p50_ms: statistics.firstTokenMs(50),
    ttft_p95_ms: statistics.firstTokenMs(95),
    ttft_p99_ms: statistics.firstTokenMs(99),
    between_tokens_p95_ms: statistics.gapMs(95),
    goodput_weighted: rounded(statistics.goodput, 1),
    goodput_vs_plateau: rounded(statistics.goodput / plateau, 3),
    seals_per_request: rounded(statistics.sealsPerRequest, 3)
  }
}

function rounded (value: number, digits: number): number {
  return Number(value.toFixed(digits))
}
