/**
 * Placement under each fault. Every case also runs with a faulty planner or holder that must violate the guarantee.
 */
import { expect } from 'chai'
import { PlacementPlanner } from '@rosemaryspread/decisions/placement/placementPlanner.js'
import type { PlacementDecider } from '@rosemaryspread/decisions/placement/placementTypes.js'
import { NaivePlanner } from '../measure/placement/naivePlanner.js'
import { PlacementWorld, type PlacementWorldOptions } from './placementWorld.js'
import { ContentIds, DeafPlanner, ForgetfulPlanner, HastyPlanner, ImpatientPlanner, NoFencePass, NoReadBack } from './weakPlanners.spec.js'

const MINUTE = 60_000

type Part = Partial<PlacementWorldOptions>

/** Three domains with two runners each; all may serve the model. */
function fleet (copies: number, more: object = {}): object {
  const runners = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map((name, index) =>
    [name, { address: `127.0.0.1:${7000 + index}`, domain: name.slice(0, 1), models: ['m'], ...more }])
  return { models: { m: { version: '1', copies } }, runners: Object.fromEntries(runners), limits: { placement: true } }
}

function loaded (...names: readonly string[]): PlacementWorldOptions['engines'] {
  return Object.fromEntries(names.map(name => [name, { models: ['m@1'] }]))
}

function setVersion (world: PlacementWorld, version: string): void {
  world.patch(config => { config.models['m']!.version = version })
}

function loads (world: PlacementWorld): number {
  return new Set(world.sent.filter(({ kind }) => kind === 'load').map(({ orderId }) => orderId)).size
}

interface FaultCase {
  readonly fault: string
  readonly promise: string
  readonly weaker: string
  readonly weak: () => PlacementDecider
  readonly weakPart?: Part
  readonly part: Part
  /** Returns whether the guarantee held. */
  readonly run: (world: PlacementWorld) => boolean
}

const cases: readonly FaultCase[] = [
  {
    fault: 'a new version',
    promise: 'never fewer copies serve than declared, and no copy is loaded needlessly',
    weaker: 'a planner that orders everything at once',
    weak: () => new NaivePlanner(),
    part: { config: fleet(3), engines: loaded('a1', 'b1', 'c1') },
    run: world => {
      world.run(MINUTE)
      const before = world.shortMs
      setVersion(world, '2')
      const ms = world.runUntilPlaced(10 * MINUTE)
      return ms < 10 * MINUTE && world.shortMs === before && loads(world) === 3
    }
  },
  {
    fault: 'a new version of a single copy whose spare runner is in another domain',
    promise: 'the last copy is not unloaded before its replacement serves',
    weaker: 'a planner that orders everything at once',
    weak: () => new NaivePlanner(),
    part: { config: fleet(1), engines: loaded('b1') },
    run: world => {
      world.run(MINUTE)
      setVersion(world, '2')
      return world.runUntilPlaced(5 * MINUTE) < 5 * MINUTE && world.absentMs === 0
    }
  },
  {
    fault: 'an order of a former holder that is delivered after it resumes',
    promise: 'engines that check fencing refuse it, though the new holder had no order for them',
    weaker: 'a planner that does not announce its fencing number',
    weak: () => new NoFencePass(),
    part: { config: fleet(2), engines: loaded('a1', 'b1', 'c1') },
    run: world => {
      const [first] = world.holders
      // The order to unload the surplus copy is in transit when the holder is paused.
      while (!world.sent.some(({ kind }) => kind === 'unload')) world.run(100)
      first!.isFrozen = true
      const victim = world.sent.at(-1)!.orderId.split('/')[2]!
      const others = ['a1', 'b1', 'c1'].filter(name => name !== victim)
      others.forEach(name => { world.engine(name).die(world.now) })
      // The new holder relies on the copy that the late order unloads.
      world.run(12_000)
      first!.isFrozen = false
      world.run(2_000)
      return world.engine(victim).holds('m')
    }
  },
  {
    fault: 'engines that ignore fencing numbers, and a late order of a former holder',
    promise: 'its effect is detected in the reports and corrected',
    weaker: 'a planner that ignores later reports',
    weak: () => new NoReadBack(),
    part: { config: fleet(6, { checksFencing: false }), engines: loaded('a1', 'a2', 'b1', 'b2', 'c1', 'c2') },
    run: world => {
      world.run(MINUTE)
      setVersion(world, '2')
      while (loads(world) === 0) world.run(100)
      world.holders[0]!.isFrozen = true
      world.run(MINUTE)
      setVersion(world, '3')
      world.runUntilPlaced(5 * MINUTE)
      world.holders[0]!.isFrozen = false
      world.run(1_000)
      return !world.isPlaced() && world.runUntilPlaced(5 * MINUTE) < 5 * MINUTE
    }
  },
  {
    fault: 'engines that ignore fencing numbers, and a frozen holder that resumes',
    promise: 'it sends no order after its lease has expired',
    weaker: 'a holder that does not check its lease',
    weak: () => new PlacementPlanner(),
    weakPart: { holder: { checksLease: false } },
    part: { config: fleet(3, { checksFencing: false }), engines: loaded('a1', 'b1', 'c1') },
    run: world => {
      world.run(MINUTE)
      world.holders[0]!.isFrozen = true
      world.run(MINUTE)
      setVersion(world, '2')
      world.runUntilPlaced(5 * MINUTE)
      const before = world.sent.length
      world.holders[0]!.isFrozen = false
      world.run(2 * MINUTE)
      return world.sent.slice(before).every(({ fencing }) => fencing === 2)
    }
  },
  {
    fault: 'a copy that is unloaded by someone else',
    promise: 'it is ordered again, under a new order id',
    weaker: 'a planner whose order ids depend on the content alone',
    weak: () => new ContentIds(),
    part: { config: fleet(1), engines: loaded('b1') },
    run: world => {
      world.run(MINUTE)
      setVersion(world, '2')
      world.runUntilPlaced(5 * MINUTE)
      const holder = world.sent.find(({ kind }) => kind === 'load')!.orderId.split('/')[2]!
      for (const name of world.engines.keys()) if (name !== holder) world.engine(name).isLeaving = true
      world.engine(holder).take({ orderId: 'by-hand', fencing: 1, kind: 'unload', model: 'm', version: '2' }, world.now)
      world.run(3 * MINUTE)
      return world.serving('m', true) === 1
    }
  },
  {
    fault: 'lost answers of orders',
    promise: 'the order is repeated under its id, and nothing is loaded twice',
    weaker: 'a planner that drops the order',
    weak: () => new ForgetfulPlanner(),
    part: { config: fleet(3), engines: {} },
    run: world => {
      for (const engine of world.engines.values()) engine.loseAnswers = 2
      const ms = world.runUntilPlaced(5 * MINUTE)
      const ids = new Set(world.sent.filter(({ kind }) => kind === 'load').map(({ orderId }) => orderId))
      return ms < 5 * MINUTE && ids.size === 3
    }
  },
  {
    fault: 'a weight store at its rate limit',
    promise: 'requests are repeated only after its `retry-after`',
    weaker: 'a planner that retries at once',
    weak: () => new ImpatientPlanner(),
    part: { config: fleet(6), engines: {}, weightsPerMinute: 2, weightsBurst: 1 },
    run: world => world.runUntilPlaced(10 * MINUTE) < 10 * MINUTE && world.weightRefusals <= 12
  },
  {
    fault: 'a runner that crashes',
    promise: 'its copy is replaced once, in its domain, and no other copy moves',
    weaker: 'a planner that orders everything at once',
    weak: () => new NaivePlanner(),
    part: { config: fleet(3), engines: loaded('a2', 'b2', 'c2') },
    run: world => {
      world.run(2 * MINUTE)
      world.engine('b2').die(world.now)
      world.run(2 * MINUTE)
      const { orders } = world
      return world.engine('b1').serves('m') && new Set(world.sent.filter(({ kind }) => kind !== 'role').map(({ orderId }) => orderId)).size === 1 && orders > 0
    }
  },
  {
    fault: 'a domain that fails and recovers',
    promise: 'copies move to the other domains, are then distributed over all domains again, and no copy is unloaded too early',
    weaker: 'a planner that orders everything at once',
    weak: () => new NaivePlanner(),
    part: { config: fleet(3), engines: loaded('a1', 'b1', 'c1') },
    run: world => {
      world.run(MINUTE)
      for (const name of ['a1', 'a2']) Object.assign(world.engine(name), { isCut: true, goneAt: world.now })
      world.run(3 * MINUTE)
      const during = world.domainsOf('m').join('')
      for (const name of ['a1', 'a2']) world.engine(name).isCut = false
      world.run(5 * MINUTE)
      return during === 'bbc' && world.domainsOf('m').join('') === 'abc' && world.harmful.length === 0 && loads(world) <= 6
    }
  },
  {
    fault: 'runners that are repeatedly unreachable',
    promise: 'copies move only the first time',
    weaker: 'a planner without hysteresis',
    weak: () => new HastyPlanner(),
    part: { config: fleet(3), engines: loaded('a1', 'b1', 'c1') },
    run: world => {
      world.run(MINUTE)
      for (let round = 0; round < 12; round += 1) {
        Object.assign(world.engine('a1'), { isCut: true, goneAt: world.now })
        Object.assign(world.engine('a2'), { isCut: true, goneAt: world.now })
        world.run(20_000)
        Object.assign(world.engine('a1'), { isCut: false })
        Object.assign(world.engine('a2'), { isCut: false })
        world.run(40_000)
      }
      return new Set(world.sent.filter(({ kind }) => kind !== 'role').map(({ orderId }) => orderId)).size <= 6
    }
  },
  {
    fault: 'a runner that reports that it is leaving, and one that the configuration marks as leaving',
    promise: 'they get no new copies, and theirs are replaced elsewhere',
    weaker: 'a planner that is not informed of it',
    weak: () => new DeafPlanner(),
    part: { config: fleet(3), engines: loaded('a1', 'b1', 'c1') },
    run: world => {
      world.run(MINUTE)
      world.engine('a1').isLeaving = true
      world.patch(config => { config.runners['b1']!.state = 'leaving' })
      world.run(5_000)
      const before = world.sent.length
      world.runUntilPlaced(5 * MINUTE)
      setVersion(world, '2')
      world.run(5 * MINUTE)
      const after = world.sent.slice(before).map(({ orderId }) => orderId.split('/')[2])
      return world.serving('m', true) === 3 && !after.includes('a1') && !after.includes('b1')
    }
  }
]

function worldOf (planner: () => PlacementDecider, part: Part): PlacementWorld {
  return new PlacementWorld({ config: fleet(3), planners: [planner(), planner()], ...part })
}

describe('placement under faults', () => {
  for (const { fault, promise, weaker, weak, weakPart, part, run } of cases) {
    it(`${fault}: ${promise}`, () => {
      expect(run(worldOf(() => new PlacementPlanner(), part))).to.equal(true)
    })

    it(`${fault}: ${weaker} violates it (counter-example)`, () => {
      expect(run(worldOf(weak, { ...part, ...weakPart }))).to.equal(false)
    })
  }
})
