/**
 * Generates a scenario from a seed: two failure domains, retrying callers and temporary faults.
 */
import seedrandom from 'seedrandom'
import { fleetSchema, verbSchemas, type Scenario, type Step, type Verb } from '../language/scenarioSchema.js'

const ROUNDS = 8
/** VMs that run from the start; the spare ones replace killed VMs that are not restarted. */
const FIRST_VMS = ['a1', 'a2', 'b1'] as const
const SPARE_VMS = ['a3', 'b2', 'a4'] as const
const ALL_VMS = [...FIRST_VMS, ...SPARE_VMS]
const ENGINES = ['e1', 'e2'] as const
const MIN_PAUSE_MS = 100
const MAX_PAUSE_MS = 900
const SMALL_BUDGET = 3_000

type Random = () => number

/** Steps that inject a fault and steps that end it. */
interface Fault {
  readonly begin: readonly Step[]
  readonly end: readonly Step[]
}

/** Generates a scenario; the same seed gives the same scenario. */
export function randomScenario (seed: string): Scenario {
  return new ScenarioDraw(seedrandom(seed)).draw(seed)
}

/** Generates steps and tracks which VMs are live at that point of the scenario. */
class ScenarioDraw {
  private live: string[] = [...FIRST_VMS]
  private readonly spare: string[] = [...SPARE_VMS]

  constructor (private readonly random: Random) {}

  draw (seed: string): Scenario {
    const steps: Step[] = [step('load', load('base', 40, 60))]
    for (let round = 0; round < ROUNDS; round++) {
      const fault = this.drawFault(round)
      steps.push(...fault.begin, this.pause(), ...this.drawWork(round), this.pause(), ...fault.end)
    }
    return { title: `random scenario ${seed}`, promises: ['noOverspend'], counterExamples: {}, fleet: fleetHead(), steps }
  }

  private drawFault (round: number): Fault {
    const vm = pick(this.random, this.live)
    const heal = [step('heal', 'all')]
    const hold = this.random() < 0.5
    const faults: ReadonlyArray<() => Fault> = [
      () => this.kill(vm),
      () => ({ begin: [step('stop', vm), step('until', { stopped: vm, withinMs: 60_000 })], end: [step('start', vm)] }),
      () => ({ begin: [step('freeze', vm)], end: [step('thaw', vm)] }),
      () => ({ begin: [step('outage', { table: true })], end: heal }),
      () => ({ begin: [step('slow', { table: 400 })], end: heal }),
      () => ({ begin: [step('loseAnswer', { table: 1 + Math.floor(this.random() * 3) })], end: [] }),
      () => ({ begin: [step('cut', { between: [['right'], ['left', 'table']], hold })], end: heal }),
      () => ({ begin: [step('cut', { between: [['right'], ['left']], hold })], end: heal }),
      () => ({ begin: [step('misbehave', { [pick(this.random, ENGINES)]: this.drawMisbehaviour() })], end: [] }),
      () => ({ begin: [step('topUp', { vm, budget: 'little', tokens: 500, id: `more-${round}`, expect: 'any', retries: 2 })], end: [] })
    ]
    return pick(this.random, faults)()
  }

  private kill (vm: string): Fault {
    const next = this.random() < 0.5 ? undefined : this.spare.shift()
    if (next === undefined) return { begin: [step('kill', vm)], end: [step('start', vm)] }
    this.live = [...this.live.filter(name => name !== vm), next]
    return { begin: [step('kill', vm)], end: [step('start', next)] }
  }

  private drawMisbehaviour (): object {
    return pick(this.random, [{ killStreams: true }, { mixNext: true }, { overreportNext: 50 }, { doubleEnd: true }])
  }

  private drawWork (round: number): readonly Step[] {
    const order = [...this.live].sort(() => this.random() - 0.5)
    const call = { as: `call-${round}`, team: 'big', service: 'app', key: `call-${round}`, vm: order, retries: 6, background: true }
    const ask = { as: `ask-${round}`, team: 'big', model: 'lm', key: `key-${round}`, vm: order[0]!, retries: 4, tokens: 40, background: true }
    const again = { of: ask.as, as: `again-${round}`, vm: order[1]!, retries: 4, background: true }
    const patch = { vm: order[2]!, id: `patch-${round}`, base: round + 1, expect: 'any', ops: [{ op: 'add', path: '/limits/addressKeepMs', value: 5_000 + round }] }
    return [
      step('load', load(`small-${round}`, 10, 0, 'small')),
      step('request', call),
      step('request', ask),
      step('repeat', again),
      ...(this.random() < 0.5 ? [step('patch', patch)] : [])
    ]
  }

  private pause (): Step {
    return step('wait', MIN_PAUSE_MS + Math.floor(this.random() * (MAX_PAUSE_MS - MIN_PAUSE_MS)))
  }
}

function fleetHead (): Scenario['fleet'] {
  return fleetSchema.parse({
    vms: Object.fromEntries(ALL_VMS.map(vm => [vm, vm.startsWith('a') ? 'left' : 'right'])),
    later: [...SPARE_VMS],
    engines: { e1: { domain: 'left', models: ['lm'] }, e2: { domain: 'right', models: ['lm'] } },
    services: { app: { runners: { p1: 'left', p2: 'right' } } },
    teams: { big: { budget: 'large', models: ['lm'], services: ['app'] }, small: { budget: 'little', models: ['lm'] } },
    budgets: { large: 1_000_000, little: SMALL_BUDGET }
  })
}

function load (as: string, count: number, pauseMs: number, team = 'big'): object {
  return { as, team, vm: [...ALL_VMS], model: 'lm', count, parallel: 3, pauseMs, retries: 8, background: true }
}

function pick<Value> (random: Random, values: readonly Value[]): Value {
  return values[Math.floor(random() * values.length)]!
}

function step (verb: Verb, value: unknown): Step {
  return { verb, value: verbSchemas[verb].parse(value), line: 0 } as Step
}
