/**
 * `npm run measure -- routing`: compares the product's routing with simpler policies under load and faults, in a seeded
 * simulation.
 */
import seedrandom from 'seedrandom'
import type { Measurement, MeasureOptions, MeasureRow } from './measureTypes.js'
import type { PolicyName } from './routingPolicies.js'
import { RoutingSimulation, type RoutingFault } from './routingSimulation.js'
import type { RoutingStatistics } from './routingStatistics.js'

/** Requests per second that the twelve simulated engines complete with all slots busy. */
export const CAPACITY_PER_SECOND = 36

const LOADS = [0.5, 0.9, 1.2, 3]

/** The plateau is the highest goodput at loads up to this one. */
const PLATEAU_LOAD = 1.2

const faults: readonly RoutingFault[] = ['none', 'stale reports', 'slow runner', 'dying runner', 'cache events lost', 'burst']
const policies: readonly PolicyName[] = ['product', 'round robin', 'random', 'least in flight']

/** With this fault the product also runs with all requests keyed. */
const KEYED_FAULT: RoutingFault = 'none'

interface Run {
  readonly fault: RoutingFault
  readonly load: number
  readonly policy: PolicyName
  readonly statistics: RoutingStatistics
}

export const routingMeasurement: Measurement = {
  group: 'measure',
  name: 'routing',
  title: 'late answers, false refusals, latency and goodput by load and fault, against simpler policies',
  run: async options => withoutStackTraces(() => faults.flatMap(fault => createRows(simulateAll(fault, options))))
}

/** Disables stack traces: refusals are only counted here, and creating their traces is a large share of the run time. */
function withoutStackTraces<T> (run: () => T): T {
  const limit = Error.stackTraceLimit
  Error.stackTraceLimit = 0
  const result = run()
  Error.stackTraceLimit = limit
  return result
}

function simulateAll (fault: RoutingFault, options: MeasureOptions): readonly Run[] {
  const comparedPolicies: readonly PolicyName[] = fault === KEYED_FAULT ? [...policies, 'product keyed'] : policies
  return LOADS.flatMap(load => comparedPolicies.map(policy => ({ fault, load, policy, statistics: simulate(policy, fault, load, options) })))
}

function simulate (policy: PolicyName, fault: RoutingFault, load: number, options: MeasureOptions): RoutingStatistics {
  const workloadRandom = seedrandom(`${options.seed}/${fault}/${load}`)
  const random = seedrandom(`${options.seed}/${fault}/${load}/${policy}`)
  return new RoutingSimulation({ policy, fault, perSecond: load * CAPACITY_PER_SECOND, workloadRandom, random }).run()
}

function createRows (runs: readonly Run[]): readonly MeasureRow[] {
  const plateau = Math.max(...runs.filter(run => run.load <= PLATEAU_LOAD).map(run => run.statistics.goodput))
  return runs.map(run => createRow(run, plateau))
}

function createRow ({ fault, load, policy, statistics }: Run, plateau: number): MeasureRow {
  return {
    fault,
    load,
    policy,
    late_answers_pct: rounded(statistics.share('late'), 2),
    refused_pct: rounded(statistics.share('refused'), 1),
    false_refusals_pct: rounded(statistics.share('false'), 2),
    ttft_p50_ms: statistics.firstTokenPercentileMs(50),
    ttft_p95_ms: statistics.firstTokenPercentileMs(95),
    ttft_p99_ms: statistics.firstTokenPercentileMs(99),
    between_tokens_p95_ms: statistics.tokenGapPercentileMs(95),
    goodput_weighted: rounded(statistics.goodput, 1),
    goodput_vs_plateau: rounded(statistics.goodput / plateau, 3),
    seals_per_request: rounded(statistics.sealsPerRequest, 3)
  }
}

function rounded (value: number, digits: number): number {
  return Number(value.toFixed(digits))
}
