/**
 * Property test under random faults: no budget is overspent, each run is billed once, and no
 * tokens stay allotted to a terminated holder.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import { ChaosRun, chaosStep, type Tally } from './budgetChaos.js'

const seed = Number(process.env.CHAOS_SEED ?? 20_261)
const runs = Number(process.env.CHAOS_RUNS ?? 2000)

/** Outcomes and events that the cases together must reach, so that the test covers them. */
const expectedOutcomes = [
  'admitted', 'budgetSpent', 'budgetElsewhere', 'budgetPending', 'budgetDrawn', 'budgetFlushed', 'budgetTransferred',
  'budgetRecalled', 'budgetReturned', 'budgetRecovered', 'allotmentClosed', 'budgetFault'
]

describe('budgets under random faults', function () {
  this.timeout(300_000)

  it('are never overspent, bill each run once and leave no tokens stranded', async () => {
    const tally: Tally = new Map()
    await fc.assert(fc.asyncProperty(fc.integer({ min: 0, max: 1e9 }), fc.array(chaosStep, { minLength: 3, maxLength: 14 }), async (caseSeed, steps) => {
      expect(await new ChaosRun(caseSeed, tally).run(steps)).to.deep.equal([])
    }), { seed, numRuns: runs, endOnFailure: process.env.CHAOS_FAST === '1' })
    if (process.env.CHAOS_TALLY === '1') console.log(tally)
    expect([...tally.keys()]).to.include.members(expectedOutcomes)
  })
})
