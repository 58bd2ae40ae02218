import { expect } from 'chai'
import fc from 'fast-check'
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import { LeaseManager } from './leaseManager.js'
import { LeaseHarness, type LeaseNode } from './leaseHarness.fixture.js'
import { defaultLeaseLimits, type LeaseEvent, type LeaseLimits } from './leaseTypes.js'

const ROLE = 'placement'
const { durationMs, marginMs, pollMs, renewMs } = defaultLeaseLimits

function harnessOf (count: number, limits: LeaseLimits = defaultLeaseLimits): LeaseHarness {
  return new LeaseHarness(count, name => new LeaseManager(ROLE, name, limits))
}

/** Faulty: relies on the monotonic clock alone. */
class MonotonicOnlyManager extends LeaseManager {
  override mayAct (now: Instant): boolean {
    return super.mayAct({ mono: now.mono, wall: 0 })
  }
}

describe('lease of a role', () => {
  it('is acquired by exactly one of several candidates, with fencing number 1, and stays with it', () => {
    const world = harnessOf(3)
    world.run(20_000)
    expect(world.acting()).length(1)
    expect(world.acting()[0]!.manager.fencing()).equal(1)
    expect(world.nodes.map(node => node.count('taken')).sort()).deep.equal([0, 0, 1])
  })

  it('is acquired by another process within seconds after the holder stops, with a higher fencing number', () => {
    const world = harnessOf(3)
    world.run(3_000)
    world.acting()[0]!.paused = true
    world.run(durationMs + marginMs + 2 * pollMs)
    expect(world.acting()).length(1)
    expect(world.acting()[0]!.manager.fencing()).equal(2)
  })

  it('can be acquired at once after a release, also when responses to the release write are lost', () => {
    for (const loseAnswers of [0, 1, 2]) {
      const world = harnessOf(2)
      world.run(3_000)
      const [holder] = world.acting() as [LeaseNode]
      world.loseAnswers = loseAnswers
      holder.feed({ kind: 'release' })
      expect(world.acting()).deep.equal([])
      world.run(3 * pollMs)
      expect(world.acting().map(node => node.name)).deep.equal(world.nodes.filter(node => node !== holder).map(node => node.name))
      expect(holder.count('released')).equal(1)
    }
  })

  it('completes a release by expiry when the table is unavailable', () => {
    const world = harnessOf(1)
    world.run(3_000)
    world.down = true
    world.nodes[0]!.feed({ kind: 'release' })
    world.run(durationMs - 100)
    expect(world.nodes[0]!.count('released')).equal(0)
    world.run(200)
    expect(world.nodes[0]!.count('released')).equal(1)
  })

  for (const [monoRuns, wallRuns] of [[true, true], [true, false], [false, true]] as const) {
    it(`a holder that was paused past expiry may not act on resuming (monotonic clock ${monoRuns ? 'runs' : 'stops'}, wall clock ${wallRuns ? 'runs' : 'stops'})`, () => {
      const world = harnessOf(2)
      world.run(3_000)
      const [frozen] = world.acting() as [LeaseNode]
      const beforeWait = frozen.mayAct()
      Object.assign(frozen, { paused: true, monoRuns, wallRuns })
      world.run(20_000)
      frozen.paused = false
      expect(beforeWait, 'a check before the wait proves nothing (counter-example)').equal(true)
      expect(frozen.mayAct()).equal(false)
      expect(world.acting(), 'acquired by the other process').length(1)
      world.run(3_000)
      expect(frozen.count('lost')).equal(1)
      expect(world.acting()).length(1)
    })
  }

  it('a lease measured by the monotonic clock alone lets two processes act (counter-example)', () => {
    const world = new LeaseHarness(2, name => new MonotonicOnlyManager(ROLE, name))
    world.run(3_000)
    const [frozen] = world.acting() as [LeaseNode]
    Object.assign(frozen, { paused: true, monoRuns: false })
    world.run(20_000)
    frozen.paused = false
    expect(world.acting()).length(2)
  })

  it('a wall clock that is set back does not revive an expired lease', () => {
    const world = harnessOf(1)
    world.run(3_000)
    const [holder] = world.nodes as [LeaseNode]
    world.down = true
    Object.assign(holder, { paused: true, monoRuns: false })
    world.run(20_000)
    expect(holder.mayAct()).equal(false)
    holder.wall -= 20_000
    expect(holder.mayAct()).equal(false)
  })

  it('lost write responses are resolved by reading, so acquiring and renewing continue under one fencing number', () => {
    const world = harnessOf(1)
    world.loseAnswers = 3
    world.run(20_000)
    const [holder] = world.nodes as [LeaseNode]
    expect(holder.mayAct()).equal(true)
    expect([holder.manager.fencing(), holder.count('taken'), holder.count('lost')]).deep.equal([1, 1, 0])
  })

  it('a table outage shorter than the lease does not end it; after a longer one the same process acquires it again', () => {
    for (const [outageMs, lost] of [[durationMs - marginMs - renewMs - 500, 0], [durationMs + 1_000, 1]] as const) {
      const world = harnessOf(1)
      world.run(3_000)
      world.down = true
      world.run(outageMs)
      world.down = false
      world.run(1_000)
      const [holder] = world.nodes as [LeaseNode]
      expect([holder.mayAct(), holder.count('lost'), holder.manager.fencing()]).deep.equal([true, lost, 1])
    }
  })

  it('a write under the lease fails once another process holds it, even before the old holder detects the loss', () => {
    const world = harnessOf(2)
    world.run(3_000)
    const [old] = world.acting() as [LeaseNode]
    const check = old.manager.leaseCheck(old.now())!
    expect(world.holds(check)).equal(true)
    world.run(4 * renewMs)
    expect(world.holds(check), 'a renewal does not invalidate the check').equal(true)
    old.paused = true
    world.run(durationMs + marginMs + 2 * pollMs)
    expect(world.holds(check)).equal(false)
    old.paused = false
    expect(old.manager.leaseCheck(old.now())).equal(undefined)
  })

  it('a read from a lagging replica does not make the holder drop its lease', () => {
    const world = harnessOf(1)
    world.run(3_000)
    const [holder] = world.nodes as [LeaseNode]
    holder.feed({ kind: 'recheck' })
    const row = { role: ROLE, holder: 'other~1', fencing: 1, durationMs, renewal: 1, released: true }
    holder.manager.handle({ kind: 'readAnswered', read: { lease: { row, version: 0, ageMs: 1 }, fence: null } }, holder.now())
    expect(holder.mayAct()).equal(true)
  })

  it('a process that is not a candidate does not acquire the role', () => {
    const world = harnessOf(1)
    world.nodes[0]!.feed({ kind: 'candidate', wanted: false } satisfies LeaseEvent)
    world.run(5_000)
    expect(world.acting()).deep.equal([])
  })

  describe('at most one process may act under random pauses, losses, delays and clock drift', () => {
    const DRIFT = 0.08
    const drift = fc.constantFrom(1 - DRIFT, 1, 1 + DRIFT)
    const fault = fc.record({
      atMs: fc.nat(60_000),
      node: fc.nat(2),
      kind: fc.constantFrom('pause' as const, 'cut' as const, 'wallBack' as const),
      forMs: fc.integer({ min: 500, max: 12_000 })
    })
    const history = fc.record({
      rates: fc.array(drift, { minLength: 3, maxLength: 3 }),
      faulty: fc.array(fc.constantFrom('mono' as const, 'wall' as const), { minLength: 3, maxLength: 3 }),
      tableRate: drift,
      tape: fc.array(fc.nat(999), { minLength: 40, maxLength: 80 }),
      troubles: fc.array(fault, { minLength: 1, maxLength: 12 })
    })

    function isViolated (makeManager: (name: string) => LeaseManager): boolean {
      const run = fc.check(fc.property(history, ({ rates, faulty, tableRate, tape, troubles }) => {
        const world = new LeaseHarness(3, makeManager)
        world.setConditions(rates, faulty, tableRate, tape)
        world.runWithFaults(troubles, 70_000)
        return world.maxActing <= 1
      }), { seed: 20_261, numRuns: 300, endOnFailure: true })
      return run.failed
    }

    it('holds with the margin', () => {
      expect(isViolated(name => new LeaseManager(ROLE, name))).equal(false)
    })

    it('fails without a margin (counter-example)', () => {
      expect(isViolated(name => new LeaseManager(ROLE, name, { ...defaultLeaseLimits, marginMs: 0 }))).equal(true)
    })

    it('fails on the monotonic clock alone (counter-example)', () => {
      expect(isViolated(name => new MonotonicOnlyManager(ROLE, name))).equal(true)
    })
  })

  it('elapsed time includes a pause that only one clock measured', () => {
    expect(elapsedMs({ mono: 0, wall: 0 }, { mono: 1, wall: 9 })).equal(9)
  })
})
