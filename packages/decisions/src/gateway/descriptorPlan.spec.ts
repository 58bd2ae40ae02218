/** Guards against servers and clients of a process that together open more descriptors than it has. */
import { expect } from 'chai'
import { planDescriptors } from './descriptorPlan.js'

const FILE_DESCRIPTORS = 200

const cases: ReadonlyArray<{ readonly descriptors: number, readonly minCallers: number }> = [
  { descriptors: 600, minCallers: 300 },
  { descriptors: 4_100, minCallers: 2_050 },
  { descriptors: 4_200, minCallers: 2_100 }
]

describe('planDescriptors', () => {
  for (const { descriptors, minCallers } of cases) {
    it(`leaves descriptors for files, the store and links with ${descriptors}`, () => {
      const plan = planDescriptors(descriptors)
      const sum = Object.values(plan).reduce((all, share) => all + share, 0)
      expect(plan.callers).to.be.at.least(minCallers)
      expect(sum).to.be.below(descriptors - FILE_DESCRIPTORS)
    })
  }

  it('sets no limit without one of the process', () => {
    expect(Object.values(planDescriptors()).every(share => share === Infinity)).to.equal(true)
  })
})
