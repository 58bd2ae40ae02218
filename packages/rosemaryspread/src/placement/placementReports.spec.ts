/**
 * Polls of runners are bounded per round, and the longer interval in large fleets does not make runners that
 * respond count as down.
 */
import { setImmediate } from 'node:timers/promises'
import { expect } from 'chai'
import { Just, Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { fleetConfigSchema } from '@rosemaryspread/decisions/config/configSchema.js'
import { PlacementPlanner } from '@rosemaryspread/decisions/placement/placementPlanner.js'
import { defaultPlacementLimits, type PlacementDecider } from '@rosemaryspread/decisions/placement/placementTypes.js'
import { ReportInterval } from '@rosemaryspread/decisions/placement/reportInterval.js'
import type { EngineOrder, LoadReport } from '@rosemaryspread/runners/engine/engineTypes.js'
import { PlacementDriver } from './placementDriver.js'

const CALL_TIMEOUT_MS = 3_000
const MODELS = 12

/** Copies of each model; half of the runners stay spare. */
function copiesOf (runners: number): number {
  return Math.ceil(runners / MODELS / 2)
}

function configOf (runners: number): unknown {
  const ids = Array.from({ length: runners }, (_, index) => index)
  return {
    models: Object.fromEntries(ids.slice(0, MODELS).map(model => [`m${model}`, { version: '1', copies: copiesOf(runners) }])),
    runners: Object.fromEntries(ids.map(index => [`r${index}`, { address: `10.0.0.1:${index + 1}`, domain: index % 2 === 0 ? 'a' : 'b', models: [`m${index % MODELS}`] }]))
  }
}

/** Runners in virtual time with one tick a second; calls to dead runners hang until their timeout. */
class SimulatedFleet {
  ms = 0
  callsInTick = 0
  maxCallsInTick = 0
  /** Longest time between two reports of a live runner. */
  longestGapMs = 0
  readonly dead = new Set<string>()
  readonly loads: string[] = []
  private readonly loaded = new Map<string, string>()
  private readonly lastReportMs = new Map<string, number>()
  private hangingCalls: Array<{ readonly at: number, readonly end: () => void }> = []
  private readonly driver: PlacementDriver

  constructor (runners: number, planner: PlacementDecider) {
    const config = fleetConfigSchema.parse(configOf(runners))
    Object.values(config.runners).slice(0, copiesOf(runners) * MODELS).forEach(({ address, models }) => { this.loaded.set(address, models[0]!) })
    this.driver = new PlacementDriver({
      planner,
      lease: { mayAct: () => true, fencing: () => Right(1) },
      engines: { load: async address => await this.load(address), order: async (address, order) => this.order(address, order) },
      config: { current: () => Just({ version: 1, config }) },
      clock: { now: () => ({ mono: this.ms, wall: this.ms }) },
      log: { write: () => {} }
    })
  }

  async run (ticks: number, isDone: () => boolean = () => false): Promise<void> {
    for (let tick = 0; tick < ticks && !isDone(); tick++) {
      this.ms += 1_000
      this.callsInTick = 0
      this.hangingCalls.filter(({ at }) => at <= this.ms).forEach(({ end }) => { end() })
      this.hangingCalls = this.hangingCalls.filter(({ at }) => at > this.ms)
      this.driver.tick().catch((err: unknown) => { throw err })
      await setImmediate()
      this.maxCallsInTick = Math.max(this.maxCallsInTick, this.callsInTick)
    }
  }

  private async load (address: string): Promise<Either<Failure, LoadReport>> {
    this.callsInTick += 1
    if (this.dead.has(address)) {
      await new Promise<void>(resolve => { this.hangingCalls.push({ at: this.ms + CALL_TIMEOUT_MS, end: resolve }) })
      return Left(new Failure('runnerUnreachable', 'timeout', { ran: 'unknown' }))
    }
    this.longestGapMs = Math.max(this.longestGapMs, this.ms - (this.lastReportMs.get(address) ?? 0))
    this.lastReportMs.set(address, this.ms)
    const model = this.loaded.get(address)
    return Right({ asOf: this.ms, running: 0, waiting: 0, slots: 1, models: model === undefined ? [] : [{ model, version: '1', adapters: [] }], leaving: false })
  }

  private order (address: string, { kind, model }: EngineOrder): Either<Failure, void> {
    if (kind === 'load') {
      this.loads.push(model ?? '')
      this.loaded.set(address, model ?? '')
    }
    return Right(undefined)
  }
}

describe('placement reports', () => {
  const cases = [
    { runners: 12, dead: 0, calls: 12, gapMs: 1_000 },
    { runners: 12, dead: 4, calls: 12, gapMs: 1_000 },
    { runners: 120, dead: 0, calls: 12, gapMs: 10_000 },
    { runners: 600, dead: 0, calls: 12, gapMs: 50_000 },
    { runners: 600, dead: 200, calls: 16, gapMs: 50_000 }
  ]
  for (const { runners, dead, calls, gapMs } of cases) {
    it(`${runners} runners, ${dead} of them dead: bounded calls a round, and every live runner polled in rotation`, async () => {
      const fleet = new SimulatedFleet(runners, { handle: () => [] })
      for (let index = 0; index < dead; index++) fleet.dead.add(`10.0.0.1:${3 * index + 1}`)
      await fleet.run(3 * Math.ceil(runners / 12) + 20)
      expect(fleet.maxCallsInTick).to.equal(calls)
      expect(fleet.longestGapMs).to.equal(gapMs)
    })
  }

  /** Loads ordered while all runners live, and until the copy of a dead runner is replaced. */
  async function measureReplacement (planner: PlacementDecider): Promise<object> {
    const fleet = new SimulatedFleet(240, planner)
    await fleet.run(45)
    const before = fleet.loads.length
    const diedAt = fleet.ms
    fleet.dead.add('10.0.0.1:1')
    await fleet.run(60, () => fleet.loads.length > before)
    return { before, loads: fleet.loads.slice(before), inTime: fleet.ms - diedAt <= 35_000 }
  }

  it('replaces a dead runner within 15 s and one rotation, but no live runner that waits for its poll', async () => {
    expect(await measureReplacement(new PlacementPlanner())).to.deep.equal({ before: 0, loads: ['m0'], inTime: true })
  })

  it('a planner that expects a report every second counts live runners as dead (counter-example)', async () => {
    const faulty = new PlacementPlanner({ ...defaultPlacementLimits, downAfterMs: defaultPlacementLimits.downAfterMs - 19_000 })
    expect(await measureReplacement(faulty)).to.not.have.property('before', 0)
  })

  it('applies the longer interval until reports requested at it have been renewed', () => {
    const interval = new ReportInterval()
    const at = (ms: number): { mono: number, wall: number } => ({ mono: ms, wall: ms })
    interval.configure(600, at(0))
    interval.configure(12, at(1_000))
    expect([1_000, 50_999, 51_000].map(ms => interval.extraDelayMs(at(ms)))).to.deep.equal([49_000, 49_000, 0])
  })
})
