/**
 * Guards against an idle cost per VM that grows with the fleet: without the digest, each VM follows the heartbeats of all VMs
 * and all targets itself. Also tests that leaving targets and terminated VMs are reported in time when publishers fail.
 */
import { expect } from 'chai'
import { DIGEST_TABLE } from 'rosemaryspread/digest/digestTypes.js'
import { DigestFleet, type DigestVm, type VmFault } from './digestFleet.fixture.js'

const TARGETS = 92
/** Time until a new fleet relies on the digest. */
const SETTLED_MS = 12_000
/** Time within which all VMs must know that a target is leaving, so that it gets no more work. */
const LEAVING_DEADLINE_MS = 4_000

async function startSettled (vms: number): Promise<DigestFleet> {
  const fleet = new DigestFleet(vms, TARGETS)
  await fleet.time.run(SETTLED_MS)
  return fleet
}

/** Highest number of calls and rows per second among the VMs that read the digest. */
async function measureCost (fleet: DigestFleet, seconds: number): Promise<{ readonly calls: number, readonly rows: number }> {
  const { readers } = fleet
  for (const vm of readers) {
    vm.calls = 0
    vm.rows = 0
  }
  await fleet.time.run(seconds * 1_000)
  const maxPerSecond = (counterOf: (vm: DigestVm) => number): number => Math.max(...readers.map(counterOf)) / seconds
  return { calls: maxPerSecond(({ calls }) => calls), rows: maxPerSecond(({ rows }) => rows) }
}

describe('digest of the heartbeat tables', function () {
  for (const vms of [30, 100, 195, 360]) {
    it(`costs each of ${vms} VMs at most two calls and four rows per second`, async () => {
      const { calls, rows } = await measureCost(await startSettled(vms), 5)
      expect(calls).to.be.at.most(2)
      expect(rows).to.be.at.most(4)
    })
  }

  it('is not used in a small fleet', async () => {
    const fleet = await startSettled(20)
    expect(fleet.table.all(DIGEST_TABLE)).to.have.length(0)
    expect(fleet.vms.every(({ presence, targets }) => presence.size === 20 && targets.size === TARGETS)).to.equal(true)
  })

  const faults: ReadonlyArray<{ readonly name: string, readonly of: number, readonly fault: VmFault }> = [
    { name: 'no VM has a fault', of: 0, fault: 'ended' },
    { name: 'the first publisher terminates', of: 1, fault: 'ended' },
    { name: 'the first two publishers terminate', of: 2, fault: 'ended' },
    { name: 'all three publishers terminate', of: 3, fault: 'ended' },
    { name: 'the first publisher freezes', of: 1, fault: 'frozen' },
    { name: 'all three publishers freeze', of: 3, fault: 'frozen' },
    { name: 'the first publisher is cut off from the store', of: 1, fault: 'cut' },
    { name: 'all three publishers are cut off from the store', of: 3, fault: 'cut' },
    { name: 'all three publishers can read but not write', of: 3, fault: 'writesFail' },
    { name: 'the first publisher can write but not read', of: 1, fault: 'readsFail' }
  ]
  for (const { name, of: count, fault: publisherFault } of faults) {
    it(`reports a leaving target in time while ${name}`, async () => {
      const fleet = await startSettled(60)
      const faulty = fleet.publishers.slice(0, count)
      for (const vm of faulty) vm.fault = publisherFault
      fleet.leave('t5')
      await fleet.time.run(LEAVING_DEADLINE_MS)
      const { readers } = fleet
      expect(readers.length).to.be.at.least(54)
      expect(readers.filter(({ targets }) => targets.get('t5') !== 'leaving').map(vm => vm.name)).to.deep.equal([])
      expect(readers.every(({ targets }) => targets.size === TARGETS)).to.equal(true)
    })
  }

  it('does not revert the state of a leaving target if other publishers lag', async () => {
    const fleet = await startSettled(60)
    for (const vm of fleet.publishers.slice(1)) vm.lagMs = 1_500
    fleet.leave('t5')
    await fleet.time.run(LEAVING_DEADLINE_MS)
    for (let step = 0; step < 20; step += 1) {
      await fleet.time.run(250)
      expect(fleet.readers.every(({ targets }) => targets.get('t5') === 'leaving')).to.equal(true)
    }
  })

  /** Readers would go on sending to a target whose stale entry no publisher removes. */
  it('removes a target that was deregistered while no VM ran', async () => {
    const fleet = new DigestFleet(60, TARGETS)
    fleet.table.put(DIGEST_TABLE, 'targets/old', { version: 1, stage: 'present', value: { state: 'ready' } })
    await fleet.time.run(SETTLED_MS)
    expect(fleet.readers.filter(({ targets }) => targets.has('old')).map(vm => vm.name)).to.deep.equal([])
  })

  it('reports terminated VMs, first as overdue', async () => {
    const fleet = await startSettled(60)
    const terminated = fleet.readers.slice(0, 20)
    for (const vm of terminated) vm.fault = 'ended'
    await fleet.time.run(6_500)
    const addresses = new Set(fleet.readers.flatMap(({ presence }) => presence.addresses({ caller: 'c' })))
    expect(terminated.filter(({ name }) => addresses.has(`${name}:1`))).to.have.length(0)
    await fleet.time.run(3_000)
    expect(new Set(fleet.readers.map(({ presence }) => presence.size))).to.deep.equal(new Set([40]))
  })

  it('reports all VMs of a fleet that doubles within a second', async () => {
    const fleet = await startSettled(60)
    fleet.add(60)
    await fleet.time.run(5_000)
    expect(new Set(fleet.vms.map(({ presence }) => presence.size))).to.deep.equal(new Set([120]))
  })

  const malformedEntries: ReadonlyArray<{ readonly name: string, readonly key: string, readonly value: unknown }> = [
    { name: 'a malformed entry', key: 'targets/t5', value: { version: 'one' } },
    { name: 'a malformed heartbeat', key: 'beat/vm-0', value: { beat: true } },
    { name: 'a malformed VM', key: 'vms/vm-1', value: { version: 1e9, stage: 'present', value: 'a VM' } }
  ]
  for (const { name, key, value } of malformedEntries) {
    it(`is not relied on for some time after ${name}`, async () => {
      const fleet = await startSettled(60)
      fleet.table.put(DIGEST_TABLE, key, value)
      await fleet.time.run(1_500)
      expect(fleet.readers.every(({ events }) => events.at(-1) === 'digestFollowed' && events.includes('platformFault'))).to.equal(true)
      fleet.leave('t6')
      await fleet.time.run(LEAVING_DEADLINE_MS)
      expect(fleet.readers.every(({ targets }) => targets.get('t6') === 'leaving' && targets.size === TARGETS)).to.equal(true)
    })
  }

  /**
   * VMs that stop their presence feed to rely on a digest with a value that they cannot decode must not fail at each later
   * tick: they would get no further updates of other VMs.
   */
  for (const { name, key, value } of malformedEntries) {
    it(`is complete and relied on again some seconds after ${name}`, async () => {
      const fleet = await startSettled(60)
      fleet.table.put(DIGEST_TABLE, key, value)
      await fleet.time.run(8_000)
      const terminated = fleet.readers.slice(0, 10)
      for (const vm of terminated) vm.fault = 'ended'
      await fleet.time.run(10_000)
      expect(new Set(fleet.readers.map(({ presence, targets }) => `${presence.size} VMs, ${targets.size} targets`))).to.deep.equal(new Set([`50 VMs, ${TARGETS} targets`]))
      const { calls, rows } = await measureCost(fleet, 5)
      expect(calls).to.be.at.most(2)
      expect(rows).to.be.at.most(4)
    })
  }
})
