/**
 * Load calls stay bounded, every runner is polled eventually, and runners in use are polled more often.
 */
import { expect } from 'chai'
import { callsPerSecond, PollSchedule } from './pollSchedule.js'

const TICK_MS = 250

/** Simulates the schedule; returns the number of calls to each runner. */
function simulateCalls (runners: number, vms: number, seconds: number, used: readonly string[] = []): Map<string, number> {
  const schedule = new PollSchedule(500)
  const watched = Array.from({ length: runners }, (_, index) => `r${index}`)
  const calls = new Map(watched.map(runner => [runner, 0]))
  for (let mono = 0; mono <= seconds * 1_000; mono += TICK_MS) {
    used.forEach(runner => { schedule.markUsed(runner) })
    for (const { runner } of schedule.due(watched, vms, mono)) calls.set(runner, (calls.get(runner) ?? 0) + 1)
  }
  return calls
}

const total = (calls: ReadonlyMap<string, number>): number => [...calls.values()].reduce((sum, count) => sum + count, 0)

const bounds = [
  { name: 'one runner', runners: 1, vms: 6, most: 201 },
  { name: '12 runners', runners: 12, vms: 6, most: 202 },
  { name: '600 runners and 360 VMs', runners: 600, vms: 360, most: 27 }
]

describe('PollSchedule', () => {
  for (const { name, runners, vms, most } of bounds) {
    it(`bounds the calls in 100 seconds with ${name}`, () => {
      expect(total(simulateCalls(runners, vms, 100))).to.be.within(1, most)
    })
  }

  it('polls all runners equally often', () => {
    const calls = [...simulateCalls(12, 6, 100).values()]
    expect(Math.max(...calls) - Math.min(...calls)).to.be.at.most(1)
  })

  it('polls a runner in use more often, but still polls the others', () => {
    const calls = simulateCalls(12, 6, 100, ['r3'])
    expect(calls.get('r3')).to.be.above(3 * (calls.get('r4') ?? 0))
    expect(Math.min(...calls.values())).to.be.above(0)
  })

  it('bounds the calls per second of the whole fleet', () => {
    expect([6, 60, 360].map(vms => vms * callsPerSecond(vms))).to.deep.equal([12, 15, 90])
  })
})
