/**
 * Placement under random patches, crashes, cuts, lost answers and pauses of the lease holder: no unload is harmful, the
 * declared state is reached, and the number of orders is bounded.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import { PlacementPlanner } from '@rosemaryspread/decisions/placement/placementPlanner.js'
import type { PlacementDecider } from '@rosemaryspread/decisions/placement/placementTypes.js'
import { NaivePlanner } from '../measure/placement/naivePlanner.js'
import { PlacementHarness } from './placementHarness.js'

const MINUTE = 60_000
const HEAL_MS = 20 * MINUTE
const RUNNERS = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2']
const MODELS = ['m', 'n']
/** Bound of the orders that one fault may cause; the start and the end count as one fault each. */
const MAX_ORDERS_PER_FAULT = 12

const runner = fc.constantFrom(...RUNNERS)
const model = fc.constantFrom(...MODELS)
const step = fc.oneof(
  fc.record({ kind: fc.constant('version' as const), model, value: fc.integer({ min: 1, max: 3 }) }),
  fc.record({ kind: fc.constant('copies' as const), model, value: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ kind: fc.constant('adapters' as const), model, value: fc.integer({ min: 0, max: 2 }) }),
  fc.record({ kind: fc.constantFrom('die' as const, 'revive' as const, 'cut' as const, 'heal' as const, 'leave' as const, 'stay' as const, 'forbid' as const, 'allow' as const), runner }),
  fc.record({ kind: fc.constantFrom('freeze' as const, 'thaw' as const), holder: fc.integer({ min: 0, max: 1 }) }),
  fc.record({ kind: fc.constant('lose' as const), runner, value: fc.integer({ min: 1, max: 3 }) })
)
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

function createHarness (planner: () => PlacementDecider, ignoringFencing: readonly string[]): PlacementHarness {
  const runners = RUNNERS.map((name, index) =>
    [name, { address: `127.0.0.1:${7000 + index}`, domain: name.slice(0, 1), models: MODELS, checksFencing: !ignoringFencing.includes(name) }])
  const config = { models: { m: { copies: 3 }, n: { copies: 2 } }, runners: Object.fromEntries(runners) }
  const engines = { a1: { models: ['m', 'n'] }, b1: { models: ['m'] }, c2: { models: ['n'] } }
  return new PlacementHarness({ config, engines, planners: [planner(), planner()] })
}

function applyStep (harness: PlacementHarness, item: Step): void {
  switch (item.kind) {
    case 'version': return harness.patch(config => { config.models[item.model]!.version = String(item.value) })
    case 'copies': return harness.patch(config => { config.models[item.model]!.copies = item.value })
    case 'adapters': return harness.patch(config => { config.models[item.model]!.adapters = ['x', 'y'].slice(0, item.value) })
    case 'forbid': return harness.patch(config => { config.runners[item.runner]!.models = ['n'] })
    case 'allow': return harness.patch(config => { config.runners[item.runner]!.models = MODELS })
    case 'die': return harness.engine(item.runner).crash(harness.now)
    case 'freeze': case 'thaw': return setFrozen(harness, item.holder, item.kind === 'freeze')
    default: return applyEngineFault(harness, item)
  }
}

function setFrozen (harness: PlacementHarness, holder: number, isFrozen: boolean): void {
  harness.holders[holder]!.isFrozen = isFrozen
}

function applyEngineFault (harness: PlacementHarness, item: Extract<Step, { runner: string }>): void {
  const engine = harness.engine(item.runner)
  if (item.kind === 'lose') engine.loseAnswers += item.value
  if (item.kind === 'revive') engine.isDown = false
  if (item.kind === 'cut') Object.assign(engine, { isCut: true, goneAt: harness.now })
  if (item.kind === 'heal') engine.isCut = false
  if (item.kind === 'leave' || item.kind === 'stay') engine.isLeaving = item.kind === 'leave'
}

/** Runs the steps, ends all faults and returns the violated guarantees. */
function findViolations (planner: () => PlacementDecider, ignoringFencing: readonly string[], steps: ReadonlyArray<readonly [Step, number]>): readonly string[] {
  const harness = createHarness(planner, ignoringFencing)
  for (const [item, pauseMs] of steps) {
    applyStep(harness, item)
    harness.run(pauseMs)
  }
  for (const holder of harness.holders) holder.isFrozen = false
  for (const engine of harness.engines.values()) Object.assign(engine, { isDown: false, isCut: false, isLeaving: false, loseAnswers: 0 })
  const isHealed = harness.runUntilPlaced(HEAL_MS) < HEAL_MS
  const decided = new Set(harness.sent.filter(({ kind }) => kind !== 'role').map(({ orderId }) => orderId)).size
  return [
    ...harness.harmfulUnloads,
    ...isHealed ? [] : ['the declared state was not reached'],
    ...decided > (steps.length + 2) * MAX_ORDERS_PER_FAULT ? [`${decided} orders`] : []
  ]
}

const ignoring = fc.subarray(RUNNERS, { maxLength: 2 })
const script = fc.array(fc.tuple(step, fc.integer({ min: 100, max: MINUTE })), { minLength: 1, maxLength: 12 })
const settings = { seed: Number(process.env.CHAOS_SEED ?? 20_262), numRuns: Number(process.env.CHAOS_RUNS ?? 150) }

describe('placement under random faults', function () {
  this.timeout(300_000)

  it('unloads nothing harmfully, reaches the declared state, and issues a bounded number of orders', () => {
    fc.assert(fc.property(ignoring, script, (names, steps) => {
      expect(findViolations(() => new PlacementPlanner(), names, steps)).to.deep.equal([])
    }), settings)
  })

  it('detects a planner that orders everything at once (counter-example)', () => {
    expect(() => fc.assert(fc.property(ignoring, script, (names, steps) => {
      expect(findViolations(() => new NaivePlanner(), names, steps)).to.deep.equal([])
    }), { ...settings, endOnFailure: true })).to.throw()
  })
})
