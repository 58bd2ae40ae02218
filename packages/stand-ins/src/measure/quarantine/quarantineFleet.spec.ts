/**
 * Guards against a harmful request that ends many targets, and against the quarantine of harmless requests when targets end for
 * other reasons. Each case runs with several seeds.
 */
import { expect } from 'chai'
import { QuarantineFleet, type QuarantineCounts, type QuarantineFleetShape } from './quarantineFleet.js'

const SEEDS = 5
const SECOND_MS = 1_000
/** Updates travel over links in a small fleet and through the change feed of the table in a large one, which is slower. */
const small: QuarantineFleetShape = { seed: '', vms: 6, targets: 18, requestsPerS: 120, runMs: 500, restartMs: 5 * SECOND_MS, maxUpdateDelayMs: 10, identicalShare: 0 }
const large: QuarantineFleetShape = { ...small, vms: 60, targets: 114, requestsPerS: 460, maxUpdateDelayMs: 250 }

interface FleetCase {
  readonly name: string
  readonly shape: QuarantineFleetShape
  /** Schedules the events of the 30 s run. */
  readonly schedule: (fleet: QuarantineFleet) => void
}

const repeat = (fleet: QuarantineFleet, fromMs: number, stepMs: number, times: number, action: (index: number) => void): void => {
  for (let index = 0; index < times; index += 1) fleet.time.after(fromMs + index * stepMs, () => { action(index) })
}

async function runCase ({ shape, schedule }: FleetCase, seed: number): Promise<QuarantineCounts> {
  const fleet = new QuarantineFleet({ ...shape, seed: `${seed}` })
  fleet.sendHarmless(25 * SECOND_MS)
  schedule(fleet)
  await fleet.time.run(30 * SECOND_MS)
  return fleet.counts
}

const harmful: readonly FleetCase[] = [
  { name: 'six VMs, four times a second', shape: small, schedule: fleet => { repeat(fleet, SECOND_MS, 250, 80, () => { fleet.sendHarmful(1) }) } },
  { name: 'six VMs, three copies at once', shape: small, schedule: fleet => { repeat(fleet, SECOND_MS, 500, 40, () => { fleet.sendHarmful(3) }) } },
  { name: 'six VMs, every four seconds', shape: small, schedule: fleet => { repeat(fleet, SECOND_MS, 4_000, 6, () => { fleet.sendHarmful(1) }) } },
  { name: 'six VMs whose updates take a second', shape: { ...small, maxUpdateDelayMs: SECOND_MS }, schedule: fleet => { repeat(fleet, SECOND_MS, 250, 80, () => { fleet.sendHarmful(1) }) } },
  { name: 'sixty VMs, four times a second', shape: large, schedule: fleet => { repeat(fleet, SECOND_MS, 250, 80, () => { fleet.sendHarmful(1) }) } },
  { name: 'sixty VMs, three copies at once', shape: large, schedule: fleet => { repeat(fleet, SECOND_MS, 500, 40, () => { fleet.sendHarmful(3) }) } }
]

const harmless: readonly FleetCase[] = [
  { name: 'all targets of a failure domain end at once', shape: small, schedule: fleet => { fleet.time.after(5 * SECOND_MS, () => { for (const target of fleet.targets) if (target.view.domain === 'd0') fleet.end(target) }) } },
  {
    name: 'the targets of a failure domain end one by one, twice',
    shape: small,
    schedule: fleet => {
      const domain = fleet.targets.filter(({ view }) => view.domain === 'd0')
      for (const from of [4_000, 16_000]) repeat(fleet, from, 300, domain.length, index => { const target = domain[index]; if (target !== undefined) fleet.end(target) })
    }
  },
  {
    name: 'a fifth of the targets end every three seconds',
    shape: { ...small, restartMs: SECOND_MS },
    schedule: fleet => { repeat(fleet, 2_000, 3_000, 7, () => { for (const target of fleet.targets.slice(0, 4)) fleet.end(target) }) }
  },
  {
    name: 'all targets are killed one after another',
    shape: small,
    schedule: fleet => { repeat(fleet, 3_000, 700, fleet.targets.length, index => { const target = fleet.targets[index]; if (target !== undefined) fleet.end(target) }) }
  },
  {
    name: 'three targets end repeatedly while a third of all requests are identical',
    shape: { ...small, targets: 3, runMs: 60, restartMs: 2 * SECOND_MS, identicalShare: 0.33 },
    schedule: fleet => { repeat(fleet, 3_000, 900, 20, index => { const target = fleet.targets[index % 3]; if (target !== undefined) fleet.end(target) }) }
  },
  { name: 'a harmful request is sent among them', shape: small, schedule: fleet => { repeat(fleet, SECOND_MS, 250, 80, () => { fleet.sendHarmful(1) }) } },
  { name: 'a harmful request is sent among them, with sixty VMs', shape: large, schedule: fleet => { repeat(fleet, SECOND_MS, 250, 80, () => { fleet.sendHarmful(1) }) } }
]

describe('QuarantineFleet', () => {
  for (const test of harmful) {
    it(`quarantines a harmful request after few targets ended, with ${test.name}`, async () => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const counts = await runCase(test, seed)
        expect(counts.ends, JSON.stringify({ seed, ...counts })).to.be.within(3, 8)
        expect(counts.late, JSON.stringify({ seed, ...counts })).to.equal(0)
      }
    })
  }

  for (const test of harmless) {
    it(`refuses fewer than 0.1% of harmless requests where ${test.name}`, async () => {
      const results = await Promise.all(Array.from({ length: SEEDS }, async (_, index) => await runCase(test, index + 1)))
      const asked = results.reduce((sum, counts) => sum + counts.asked, 0)
      const refused = results.reduce((sum, counts) => sum + counts.refused, 0)
      expect(refused / asked, `${refused} of ${asked}`).to.be.below(0.001)
    })
  }
})
