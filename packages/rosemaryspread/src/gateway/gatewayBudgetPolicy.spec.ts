/**
 * How often VMs flush, by the size of the fleet.
 */
import { expect } from 'chai'
import { fleetBudgetPolicy } from './gatewayBudgetPolicy.js'

describe('fleetBudgetPolicy', () => {
  const cases = [
    { vms: 1, flushMs: 100 },
    { vms: 6, flushMs: 100 },
    { vms: 60, flushMs: 300 },
    { vms: 360, flushMs: 1_800 }
  ]
  for (const { vms, flushMs } of cases) {
    it(`${vms} VMs flush each ${flushMs} ms`, () => { expect(fleetBudgetPolicy(() => vms).flushMs).to.equal(flushMs) })
  }

  it('follows a fleet that grows', () => {
    let vms = 6
    const policy = fleetBudgetPolicy(() => vms)
    vms = 60
    expect(policy.flushMs).to.equal(300)
  })
})
