/**
 * Guards against tokens that lie where no request finds them: leftovers of grants at VMs that own no budget, and allotments that a
 * busy VM drew for itself while the owners, whom all others ask, have nothing left.
 */
import { expect } from 'chai'
import { GatewayFleet, type FleetCounts, type FleetShape } from './gatewayFleet.js'

const shape: FleetShape = {
  seed: 's2',
  vms: 16,
  teams: 6,
  readsPerS: 3_000,
  writesPerS: 800,
  requestsPerS: 150,
  prepaidRatio: 1,
  prepaidTrafficMs: 30_000,
  grants: { handBackAfterMs: 500, maxAskPauseMs: 160, urgentHoldMs: 60 },
  kinds: [
    { part: 0.25, tokens: 9_400, used: 9_240, runMs: 700, waitMs: 300, priority: 0 },
    { part: 0.53, tokens: 2_460, used: 2_390, runMs: 400, waitMs: 200, priority: 1 },
    { part: 0.22, tokens: 1_490, used: 995, runMs: 2_500, waitMs: 150, priority: 2 }
  ]
}
const SETTLE_MS = 8_000
const SPAN_MS = 34_000
/** Refusals of requests that fit into the guaranteed share, of some 5,000. */
const MAX_WRONG = 40
const MIN_USED_SHARE = 0.99

describe('GatewayFleet whose VMs hand back what they do not use', () => {
  it('serves until its budgets are used up', async () => {
    const fleet = new GatewayFleet(shape)
    await fleet.time.run(SETTLE_MS)
    const counts: FleetCounts = await fleet.serve(SPAN_MS)
    expect(counts.wrongfullyRefused).to.be.at.most(MAX_WRONG)
    expect(fleet.usedShare).to.be.at.least(MIN_USED_SHARE)
    expect(fleet.overspent).to.equal(0)
  }).timeout(60_000)
})
