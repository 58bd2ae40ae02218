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
    const harness = harnessOf(3)
    harness.run(20_000)
    expect(harness.acting()).length(1)
    expect(harness.acting()[0]!.manager.fencing()).equal(1)
    expect(harness.nodes.map(node => node.count('taken')).sort()).deep.equal([0, 0, 1])
  })

  it('is acquired by another process within seconds after the holder stops, with a higher fencing number', () => {
    const harness = harnessOf(3)
    harness.run(3_000)
    harness.acting()[0]!.paused = true
    harness.run(durationMs + marginMs + 2 * pollMs)
    expect(harness.acting()).length(1)
    expect(harness.acting()[0]!.manager.fencing()).equal(2)
  })

  it('can be acquired at once after a release, also when responses to the release write are lost', () => {
    for (const loseAnswers of [0, 1, 2]) {
      const harness = harnessOf(2)
      harness.run(3_000)
      const [holder] = harness.acting() as [LeaseNode]
      harness.loseAnswers = loseAnswers
      holder.feed({ kind: 'release' })
      expect(harness.acting()).deep.equal([])
      harness.run(3 * pollMs)
      expect(harness.acting().map(node => node.name)).deep.equal(harness.nodes.filter(node => node !== holder).map(node => node.name))
      expect(holder.count('released')).equal(1)
    }
  })

  it('completes a release by expiry when the table is unavailable', () => {
    const harness = harnessOf(1)
    harness.run(3_000)
    harness.down = true
    harness.nodes[0]!.feed({ kind: 'release' })
    harness.run(durationMs - 100)
    expect(harness.nodes[0]!.count('released')).equal(0)
    harness.run(200)
    expect(harness.nodes[0]!.count('released')).equal(1)
  })

  for (const [monoRuns, wallRuns] of [[true, true], [true, false], [false, true]] as const) {
    it(`a holder that was paused past expiry may not act on resuming (monotonic clock ${monoRuns ? 'runs' : 'stops'}, wall clock ${wallRuns ? 'runs' : 'stops'})`, () => {
      const harness = harnessOf(2)
      harness.run(3_000)
      const [frozen] = harness.acting() as [LeaseNode]
      const beforeWait = frozen.mayAct()
      Object.assign(frozen, { paused: true, monoRuns, wallRuns })
      harness.run(20_000)
      frozen.paused = false
      expect(beforeWait, 'a check before the wait proves nothing (counter-example)').equal(true)
      expect(frozen.mayAct()).equal(false)
      expect(harness.acting(), 'acquired by the other process').length(1)
      harness.run(3_000)
      expect(frozen.count('lost')).equal(1)
      expect(harness.acting()).length(1)
    })
  }

  it('a lease measured by the monotonic clock alone lets two processes act (counter-example)', () => {
    const harness = new LeaseHarness(2, name => new MonotonicOnlyManager(ROLE, name))
    harness.run(3_000)
    const [frozen] = harness.acting() as [LeaseNode]
    Object.assign(frozen, { paused: true, monoRuns: false })
    harness.run(20_000)
    frozen.paused = false
    expect(harness.acting()).length(2)
  })

  it('a wall clock that is set back does not revive an expired lease', () => {
    const harness = harnessOf(1)
    harness.run(3_000)
    const [holder] = harness.nodes as [LeaseNode]
    harness.down = true
    Object.assign(holder, { paused: true, monoRuns: false })
    harness.run(20_000)
    expect(holder.mayAct()).equal(false)
    holder.wall -= 20_000
    expect(holder.mayAct()).equal(false)
  })

  it('lost write responses are resolved by reading, so acquiring and renewing continue under one fencing number', () => {
    const harness = harnessOf(1)
    harness.loseAnswers = 3
    harness.run(20_000)
    const [holder] = harness.nodes as [LeaseNode]
    expect(holder.mayAct()).equal(true)
    expect([holder.manager.fencing(), holder.count('taken'), holder.count('lost')]).deep.equal([1, 1, 0])
  })

  it('a table outage shorter than the lease does not end it; after a longer one the same process acquires it again', () => {
    for (const [outageMs, lost] of [[durationMs - marginMs - renewMs - 500, 0], [durationMs + 1_000, 1]] as const) {
      const harness = harnessOf(1)
      harness.run(3_000)
      harness.down = true
      harness.run(outageMs)
      harness.down = false
      harness.run(1_000)
      const [holder] = harness.nodes as [LeaseNode]
      expect([holder.mayAct(), holder.count('lost'), holder.manager.fencing()]).deep.equal([true, lost, 1])
    }
  })

  it('a write under the lease fails once another process holds it, even before the old holder detects the loss', () => {
    const harness = harnessOf(2)
    harness.run(3_000)
    const [old] = harness.acting() as [LeaseNode]
    const check = old.manager.leaseCheck(old.now())!
    expect(harness.holds(check)).equal(true)
    harness.run(4 * renewMs)
    expect(harness.holds(check), 'a renewal does not invalidate the check').equal(true)
    old.paused = true
    harness.run(durationMs + marginMs + 2 * pollMs)
    expect(harness.holds(check)).equal(false)
    old.paused = false
    expect(old.manager.leaseCheck(old.now())).equal(undefined)
  })

  it('a read from a lagging replica does not make the holder drop its lease', () => {
    const harness = harnessOf(1)
    harness.run(3_000)
    const [holder] = harness.nodes as [LeaseNode]
    holder.feed({ kind: 'recheck' })
    const row = { role: ROLE, holder: 'other~1', fencing: 1, durationMs, renewal: 1, released: true }
    holder.manager.handle({ kind: 'readAnswered', read: { lease: { row, version: 0, ageMs: 1 }, fence: null } }, holder.now())
    expect(holder.mayAct()).equal(true)
  })

  it('a process that is not a candidate does not acquire the role', () => {
    const harness = harnessOf(1)
    harness.nodes[0]!.feed({ kind: 'candidate', wanted: false } satisfies LeaseEvent)
    harness.run(5_000)
    expect(harness.acting()).deep.equal([])
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
    const scenario = fc.record({
      rates: fc.array(drift, { minLength: 3, maxLength: 3 }),
      faulty: fc.array(fc.constantFrom('mono' as const, 'wall' as const), { minLength: 3, maxLength: 3 }),
      tableRate: drift,
      randomValues: fc.array(fc.nat(999), { minLength: 40, maxLength: 80 }),
      faults: fc.array(fault, { minLength: 1, maxLength: 12 })
    })

    function isViolated (makeManager: (name: string) => LeaseManager): boolean {
      const run = fc.check(fc.property(scenario, ({ rates, faulty, tableRate, randomValues, faults }) => {
        const harness = new LeaseHarness(3, makeManager)
        harness.setConditions(rates, faulty, tableRate, randomValues)
        harness.runWithFaults(faults, 70_000)
        return harness.maxActing <= 1
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
