/** The flush interval must grow with the fleet, else the VMs together overload the store. */
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
    it(`${vms} VMs flush every ${flushMs} ms`, () => { expect(fleetBudgetPolicy(() => vms).flushMs).to.equal(flushMs) })
  }

  it('follows the size of a growing fleet', () => {
    let vms = 6
    const policy = fleetBudgetPolicy(() => vms)
    vms = 60
    expect(policy.flushMs).to.equal(300)
  })
})
