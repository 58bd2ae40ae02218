/**
 * Placement under each fault. Every case also runs with a faulty planner or holder that must violate the guarantee.
 */
import { expect } from 'chai'
import { PlacementPlanner } from '@rosemaryspread/decisions/placement/placementPlanner.js'
import type { PlacementDecider } from '@rosemaryspread/decisions/placement/placementTypes.js'
import { NaivePlanner } from '../measure/placement/naivePlanner.js'
import { PlacementHarness, type PlacementHarnessOptions } from './placementHarness.js'
import { ContentIdPlanner, IgnoresLeavingPlanner, ForgetfulPlanner, NoHysteresisPlanner, ImpatientPlanner, NoFencingAnnouncementPlanner, NoReadBackPlanner } from './faultyPlanners.spec.js'

const MINUTE = 60_000

type HarnessOptions = Partial<PlacementHarnessOptions>

/** Three domains with two runners each; all may serve the model. */
function fleet (copies: number, runnerFields: object = {}): object {
  const runners = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map((name, index) =>
    [name, { address: `127.0.0.1:${7000 + index}`, domain: name.slice(0, 1), models: ['m'], ...runnerFields }])
  return { models: { m: { version: '1', copies } }, runners: Object.fromEntries(runners), limits: { placement: true } }
}

function loaded (...names: readonly string[]): PlacementHarnessOptions['engines'] {
  return Object.fromEntries(names.map(name => [name, { models: ['m@1'] }]))
}

function setVersion (harness: PlacementHarness, version: string): void {
  harness.patch(config => { config.models['m']!.version = version })
}

function countLoads (harness: PlacementHarness): number {
  return new Set(harness.sent.filter(({ kind }) => kind === 'load').map(({ orderId }) => orderId)).size
}

interface FaultCase {
  readonly fault: string
  readonly guarantee: string
  readonly counterExample: string
  readonly weak: () => PlacementDecider
  readonly faultyOptions?: HarnessOptions
  readonly part: HarnessOptions
  /** Returns whether the guarantee held. */
  readonly run: (harness: PlacementHarness) => boolean
}

const cases: readonly FaultCase[] = [
  {
    fault: 'a new version',
    guarantee: 'never fewer copies serve than declared, and no copy is loaded needlessly',
    counterExample: 'a planner that orders everything at once',
    weak: () => new NaivePlanner(),
    part: { config: fleet(3), engines: loaded('a1', 'b1', 'c1') },
    run: harness => {
      harness.run(MINUTE)
      const before = harness.shortMs
      setVersion(harness, '2')
      const ms = harness.runUntilPlaced(10 * MINUTE)
      return ms < 10 * MINUTE && harness.shortMs === before && countLoads(harness) === 3
    }
  },
  {
    fault: 'a new version of a single copy whose spare runner is in another domain',
    guarantee: 'the last copy is not unloaded before its replacement serves',
    counterExample: 'a planner that orders everything at once',
    weak: () => new NaivePlanner(),
    part: { config: fleet(1), engines: loaded('b1') },
    run: harness => {
      harness.run(MINUTE)
      setVersion(harness, '2')
      return harness.runUntilPlaced(5 * MINUTE) < 5 * MINUTE && harness.absentMs === 0
    }
  },
  {
    fault: 'an order of a former holder that is delivered after it resumes',
    guarantee: 'engines that check fencing refuse it, though the new holder had no order for them',
    counterExample: 'a planner that does not announce its fencing number',
    weak: () => new NoFencingAnnouncementPlanner(),
    part: { config: fleet(2), engines: loaded('a1', 'b1', 'c1') },
    run: harness => {
      const [first] = harness.holders
      // The order to unload the surplus copy is in transit when the holder freezes.
      while (!harness.sent.some(({ kind }) => kind === 'unload')) harness.run(100)
      first!.isFrozen = true
      const unloadedRunner = harness.sent.at(-1)!.orderId.split('/')[2]!
      const others = ['a1', 'b1', 'c1'].filter(name => name !== unloadedRunner)
      others.forEach(name => { harness.engine(name).crash(harness.now) })
      // The new holder relies on the copy that the late order unloads.
      harness.run(12_000)
      first!.isFrozen = false
      harness.run(2_000)
      return harness.engine(unloadedRunner).hasModel('m')
    }
  },
  {
    fault: 'engines that ignore fencing numbers, and a late order of a former holder',
    guarantee: 'its effect is detected in the reports and corrected',
    counterExample: 'a planner that ignores later reports',
    weak: () => new NoReadBackPlanner(),
    part: { config: fleet(6, { checksFencing: false }), engines: loaded('a1', 'a2', 'b1', 'b2', 'c1', 'c2') },
    run: harness => {
      harness.run(MINUTE)
      setVersion(harness, '2')
      while (countLoads(harness) === 0) harness.run(100)
      harness.holders[0]!.isFrozen = true
      harness.run(MINUTE)
      setVersion(harness, '3')
      harness.runUntilPlaced(5 * MINUTE)
      harness.holders[0]!.isFrozen = false
      harness.run(1_000)
      return !harness.isPlaced() && harness.runUntilPlaced(5 * MINUTE) < 5 * MINUTE
    }
  },
  {
    fault: 'engines that ignore fencing numbers, and a frozen holder that resumes',
    guarantee: 'it sends no order after its lease has expired',
    counterExample: 'a holder that does not check its lease',
    weak: () => new PlacementPlanner(),
    faultyOptions: { holder: { checksLease: false } },
    part: { config: fleet(3, { checksFencing: false }), engines: loaded('a1', 'b1', 'c1') },
    run: harness => {
      harness.run(MINUTE)
      harness.holders[0]!.isFrozen = true
      harness.run(MINUTE)
      setVersion(harness, '2')
      harness.runUntilPlaced(5 * MINUTE)
      const before = harness.sent.length
      harness.holders[0]!.isFrozen = false
      harness.run(2 * MINUTE)
      return harness.sent.slice(before).every(({ fencing }) => fencing === 2)
    }
  },
  {
    fault: 'a copy that is unloaded by someone else',
    guarantee: 'it is ordered again, under a new order id',
    counterExample: 'a planner whose order ids depend on the content alone',
    weak: () => new ContentIdPlanner(),
    part: { config: fleet(1), engines: loaded('b1') },
    run: harness => {
      harness.run(MINUTE)
      setVersion(harness, '2')
      harness.runUntilPlaced(5 * MINUTE)
      const holder = harness.sent.find(({ kind }) => kind === 'load')!.orderId.split('/')[2]!
      for (const name of harness.engines.keys()) if (name !== holder) harness.engine(name).isLeaving = true
      harness.engine(holder).receive({ orderId: 'by-hand', fencing: 1, kind: 'unload', model: 'm', version: '2' }, harness.now)
      harness.run(3 * MINUTE)
      return harness.serving('m', true) === 1
    }
  },
  {
    fault: 'lost answers of orders',
    guarantee: 'the order is repeated under its id, and nothing is loaded twice',
    counterExample: 'a planner that drops the order',
    weak: () => new ForgetfulPlanner(),
    part: { config: fleet(3), engines: {} },
    run: harness => {
      for (const engine of harness.engines.values()) engine.loseAnswers = 2
      const ms = harness.runUntilPlaced(5 * MINUTE)
      const ids = new Set(harness.sent.filter(({ kind }) => kind === 'load').map(({ orderId }) => orderId))
      return ms < 5 * MINUTE && ids.size === 3
    }
  },
  {
    fault: 'a weight store at its rate limit',
    guarantee: 'requests are repeated only after its `retry-after`',
    counterExample: 'a planner that retries at once',
    weak: () => new ImpatientPlanner(),
    part: { config: fleet(6), engines: {}, weightsPerMinute: 2, weightsBurst: 1 },
    run: harness => harness.runUntilPlaced(10 * MINUTE) < 10 * MINUTE && harness.weightRefusals <= 12
  },
  {
    fault: 'a runner that crashes',
    guarantee: 'its copy is replaced once, in its domain, and no other copy moves',
    counterExample: 'a planner that orders everything at once',
    weak: () => new NaivePlanner(),
    part: { config: fleet(3), engines: loaded('a2', 'b2', 'c2') },
    run: harness => {
      harness.run(2 * MINUTE)
      harness.engine('b2').crash(harness.now)
      harness.run(2 * MINUTE)
      const { orders } = harness
      return harness.engine('b1').serves('m') && new Set(harness.sent.filter(({ kind }) => kind !== 'role').map(({ orderId }) => orderId)).size === 1 && orders > 0
    }
  },
  {
    fault: 'a domain that fails and recovers',
    guarantee: 'copies move to the other domains, are then distributed over all domains again, and no copy is unloaded too early',
    counterExample: 'a planner that orders everything at once',
    weak: () => new NaivePlanner(),
    part: { config: fleet(3), engines: loaded('a1', 'b1', 'c1') },
    run: harness => {
      harness.run(MINUTE)
      for (const name of ['a1', 'a2']) Object.assign(harness.engine(name), { isCut: true, goneAt: harness.now })
      harness.run(3 * MINUTE)
      const during = harness.servingDomains('m').join('')
      for (const name of ['a1', 'a2']) harness.engine(name).isCut = false
      harness.run(5 * MINUTE)
      return during === 'bbc' && harness.servingDomains('m').join('') === 'abc' && harness.harmfulUnloads.length === 0 && countLoads(harness) <= 6
    }
  },
  {
    fault: 'runners that are repeatedly unreachable',
    guarantee: 'copies move only the first time',
    counterExample: 'a planner without hysteresis',
    weak: () => new NoHysteresisPlanner(),
    part: { config: fleet(3), engines: loaded('a1', 'b1', 'c1') },
    run: harness => {
      harness.run(MINUTE)
      for (let round = 0; round < 12; round += 1) {
        Object.assign(harness.engine('a1'), { isCut: true, goneAt: harness.now })
        Object.assign(harness.engine('a2'), { isCut: true, goneAt: harness.now })
        harness.run(20_000)
        Object.assign(harness.engine('a1'), { isCut: false })
        Object.assign(harness.engine('a2'), { isCut: false })
        harness.run(40_000)
      }
      return new Set(harness.sent.filter(({ kind }) => kind !== 'role').map(({ orderId }) => orderId)).size <= 6
    }
  },
  {
    fault: 'a runner that reports that it is leaving, and one that the configuration marks as leaving',
    guarantee: 'they get no new copies, and theirs are replaced elsewhere',
    counterExample: 'a planner that is not informed of it',
    weak: () => new IgnoresLeavingPlanner(),
    part: { config: fleet(3), engines: loaded('a1', 'b1', 'c1') },
    run: harness => {
      harness.run(MINUTE)
      harness.engine('a1').isLeaving = true
      harness.patch(config => { config.runners['b1']!.state = 'leaving' })
      harness.run(5_000)
      const before = harness.sent.length
      harness.runUntilPlaced(5 * MINUTE)
      setVersion(harness, '2')
      harness.run(5 * MINUTE)
      const after = harness.sent.slice(before).map(({ orderId }) => orderId.split('/')[2])
      return harness.serving('m', true) === 3 && !after.includes('a1') && !after.includes('b1')
    }
  }
]

function createHarness (planner: () => PlacementDecider, options: HarnessOptions): PlacementHarness {
  return new PlacementHarness({ config: fleet(3), planners: [planner(), planner()], ...options })
}

describe('placement under faults', () => {
  for (const { fault, guarantee: guaranteeTitle, counterExample: faultyVariant, weak: createFaulty, faultyOptions: faultyHarnessOptions, part: options, run } of cases) {
    it(`${fault}: ${guaranteeTitle}`, () => {
      expect(run(createHarness(() => new PlacementPlanner(), options))).to.equal(true)
    })

    it(`${fault}: ${faultyVariant} violates it (counter-example)`, () => {
      expect(run(createHarness(createFaulty, { ...options, ...faultyHarnessOptions }))).to.equal(false)
    })
  }
})
