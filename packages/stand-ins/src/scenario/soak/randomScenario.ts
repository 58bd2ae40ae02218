/**
 * Generates a scenario from a seed: two failure domains, retrying callers and temporary faults.
 */
import seedrandom from 'seedrandom'
import { fleetSchema, verbSchemas, type Scenario, type Step, type Verb } from '../language/scenarioSchema.js'

const ROUNDS = 8
/** VMs that run from the start; the spare ones replace killed VMs that are not restarted. */
const INITIAL_VMS = ['a1', 'a2', 'b1'] as const
const SPARE_VMS = ['a3', 'b2', 'a4'] as const
const ALL_VMS = [...INITIAL_VMS, ...SPARE_VMS]
const ENGINES = ['e1', 'e2'] as const
const MIN_PAUSE_MS = 100
const MAX_PAUSE_MS = 900
const SMALL_BUDGET = 3_000

type RandomSource = () => number

/** Steps that inject a fault and steps that end it. */
interface Fault {
  readonly begin: readonly Step[]
  readonly end: readonly Step[]
}

/** Generates a scenario; the same seed gives the same scenario. */
export function randomScenario (seed: string): Scenario {
  return new ScenarioGenerator(seedrandom(seed)).generate(seed)
}

/** Generates steps and tracks which VMs are live at that point of the scenario. */
class ScenarioGenerator {
  private live: string[] = [...INITIAL_VMS]
  private readonly spare: string[] = [...SPARE_VMS]

  constructor (private readonly random: RandomSource) {}

  generate (seed: string): Scenario {
    const steps: Step[] = [createStep('load', createLoad('base', 40, 60))]
    for (let round = 0; round < ROUNDS; round++) {
      const fault = this.randomFault(round)
      steps.push(...fault.begin, this.randomPause(), ...this.randomRequests(round), this.randomPause(), ...fault.end)
    }
    return { title: `random scenario ${seed}`, promises: ['noOverspend'], counterExamples: {}, fleet: fleetDefinition(), steps }
  }

  private randomFault (round: number): Fault {
    const vm = pick(this.random, this.live)
    const heal = [createStep('heal', 'all')]
    const holdsBytes = this.random() < 0.5
    const faults: ReadonlyArray<() => Fault> = [
      () => this.kill(vm),
      () => ({ begin: [createStep('stop', vm), createStep('until', { stopped: vm, withinMs: 60_000 })], end: [createStep('start', vm)] }),
      () => ({ begin: [createStep('freeze', vm)], end: [createStep('thaw', vm)] }),
      () => ({ begin: [createStep('outage', { table: true })], end: heal }),
      () => ({ begin: [createStep('slow', { table: 400 })], end: heal }),
      () => ({ begin: [createStep('loseAnswer', { table: 1 + Math.floor(this.random() * 3) })], end: [] }),
      () => ({ begin: [createStep('cut', { between: [['right'], ['left', 'table']], hold: holdsBytes })], end: heal }),
      () => ({ begin: [createStep('cut', { between: [['right'], ['left']], hold: holdsBytes })], end: heal }),
      () => ({ begin: [createStep('misbehave', { [pick(this.random, ENGINES)]: this.randomMisbehaviour() })], end: [] }),
      () => ({ begin: [createStep('topUp', { vm, budget: 'little', tokens: 500, id: `more-${round}`, expect: 'any', retries: 2 })], end: [] })
    ]
    return pick(this.random, faults)()
  }

  private kill (vm: string): Fault {
    const next = this.random() < 0.5 ? undefined : this.spare.shift()
    if (next === undefined) return { begin: [createStep('kill', vm)], end: [createStep('start', vm)] }
    this.live = [...this.live.filter(name => name !== vm), next]
    return { begin: [createStep('kill', vm)], end: [createStep('start', next)] }
  }

  private randomMisbehaviour (): object {
    return pick(this.random, [{ killStreams: true }, { mixNext: true }, { overreportNext: 50 }, { doubleEnd: true }])
  }

  private randomRequests (round: number): readonly Step[] {
    const order = [...this.live].sort(() => this.random() - 0.5)
    const call = { as: `call-${round}`, team: 'big', service: 'app', key: `call-${round}`, vm: order, retries: 6, background: true }
    const request = { as: `ask-${round}`, team: 'big', model: 'lm', key: `key-${round}`, vm: order[0]!, retries: 4, tokens: 40, background: true }
    const repeat = { of: request.as, as: `again-${round}`, vm: order[1]!, retries: 4, background: true }
    const patch = { vm: order[2]!, id: `patch-${round}`, base: round + 1, expect: 'any', ops: [{ op: 'add', path: '/limits/addressKeepMs', value: 5_000 + round }] }
    return [
      createStep('load', createLoad(`small-${round}`, 10, 0, 'small')),
      createStep('request', call),
      createStep('request', request),
      createStep('repeat', repeat),
      ...(this.random() < 0.5 ? [createStep('patch', patch)] : [])
    ]
  }

  private randomPause (): Step {
    return createStep('wait', MIN_PAUSE_MS + Math.floor(this.random() * (MAX_PAUSE_MS - MIN_PAUSE_MS)))
  }
}

function fleetDefinition (): Scenario['fleet'] {
  return fleetSchema.parse({
    vms: Object.fromEntries(ALL_VMS.map(vm => [vm, vm.startsWith('a') ? 'left' : 'right'])),
    later: [...SPARE_VMS],
    engines: { e1: { domain: 'left', models: ['lm'] }, e2: { domain: 'right', models: ['lm'] } },
    services: { app: { runners: { p1: 'left', p2: 'right' } } },
    teams: { big: { budget: 'large', models: ['lm'], services: ['app'] }, small: { budget: 'little', models: ['lm'] } },
    budgets: { large: 1_000_000, little: SMALL_BUDGET }
  })
}

function createLoad (as: string, count: number, pauseMs: number, team = 'big'): object {
  return { as, team, vm: [...ALL_VMS], model: 'lm', count, parallel: 3, pauseMs, retries: 8, background: true }
}

function pick<Value> (random: RandomSource, values: readonly Value[]): Value {
  return values[Math.floor(random() * values.length)]!
}

function createStep (verb: Verb, value: unknown): Step {
  return { verb, value: verbSchemas[verb].parse(value), line: 0 } as Step
}
