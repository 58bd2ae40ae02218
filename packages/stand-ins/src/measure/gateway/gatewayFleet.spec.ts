/**
 * Guards against refusals with `budgetPending` and `budgetUnreported` in a fleet of 60 VMs while prepaid tokens are left. Each VM
 * holds a sixtieth of a budget and may use a tenth of that before it reports, which is less than one large request. If requests
 * therefore wait for a report, a draw or a grant, the conflicting draws overload the store, and any store delay refuses the waiters.
 */
import { expect } from 'chai'
import { GatewayFleet, type FleetCounts, type FleetShape } from './gatewayFleet.js'

const SETTLE_MS = 8_000

const shape: FleetShape = {
  seed: 'a fleet of sixty',
  vms: 60,
  teams: 24,
  readsPerS: 6_000,
  writesPerS: 1_200,
  requestsPerS: 260,
  prepaidRatio: 1.3,
  prepaidTrafficMs: 34_000,
  kinds: [
    { part: 0.36, tokens: 9_300, used: 9_240, runMs: 700, waitMs: 300 },
    { part: 0.43, tokens: 2_420, used: 2_390, runMs: 400, waitMs: 200 },
    { part: 0.21, tokens: 1_200, used: 1_000, runMs: 2_000, waitMs: 150 }
  ]
}

const refusedShare = ({ asked, refused }: FleetCounts): number => refused / asked

describe('GatewayFleet', () => {
  it('makes only a few store calls to find terminated holders, whatever the fleet size', async () => {
    const calls: number[] = []
    for (const vms of [6, 60]) {
      const fleet = new GatewayFleet({ ...shape, vms })
      await fleet.time.run(SETTLE_MS)
      calls.push(await fleet.recoverTerminated())
    }
    const [small = 0, large = 0] = calls
    expect(small, String(calls)).to.be.greaterThan(0)
    expect(large, String(calls)).to.be.at.most(small * 2)
  })

  /*
   * After a restart of all VMs no VM holds tokens and every request waits. If each VM with a waiting request draws from the table,
   * also for budgets that it does not own, each of the 24 rows is drawn on by about 20 VMs. Transactions then queue for a second in
   * the store and conflict, and the fleet keeps refusing with `budgetPending` while most prepaid tokens are unused.
   */
  for (const [name, idleMs] of [['at once', 0], ['after two seconds', 2_000]] as const) {
    it(`recovers from a restart of all VMs when callers return ${name}`, async () => {
      const fleet = new GatewayFleet({ ...shape, vms: 79 })
      await fleet.time.run(SETTLE_MS)
      await fleet.serve(6_000)
      await fleet.restartAll(1_200)
      await fleet.time.run(idleMs)
      const first = await fleet.serve(4_000)
      const after = await fleet.serve(4_000)
      const details = JSON.stringify({ first, after })
      expect(fleet.overspent, details).to.equal(0)
      expect(refusedShare(after), details).to.be.below(0.05)
      expect(after.storeCalls / after.asked, details).to.be.below(4)
    })
  }

  const cases: ReadonlyArray<{ readonly name: string, readonly overrides: Partial<FleetShape> }> = [
    { name: 'six VMs', overrides: { vms: 6, readsPerS: 2_000, writesPerS: 600, requestsPerS: 60 } },
    { name: 'sixty VMs', overrides: {} },
    { name: 'sixty VMs, where the callers of the largest team all use one of them', overrides: { isLargestTeamPinned: true } }
  ]
  for (const { name, overrides } of cases) {
    it(`refuses almost no request that prepaid tokens cover, with ${name}, also after all connections stop responding`, async () => {
      const fleet = new GatewayFleet({ ...shape, ...overrides })
      await fleet.time.run(SETTLE_MS)
      const stable = await fleet.serve(6_000)
      fleet.stallConnections()
      const stalled = await fleet.serve(2_000)
      const after = await fleet.serve(2_000)
      const details = JSON.stringify({ stable, stalled, after })
      expect(fleet.overspent, details).to.equal(0)
      expect(refusedShare(stable), details).to.be.below(0.01)
      expect(refusedShare(stalled), details).to.be.below(0.05)
      expect(refusedShare(after), details).to.be.below(0.01)
      expect(stable.storeCalls / stable.asked, details).to.be.below(4)
    })
  }
})
