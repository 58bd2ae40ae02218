/**
 * Membership over real links between VMs: discovery, suspicion of unresponsive VMs, replacement and role candidates.
 */
import { expect } from 'chai'
import { Right } from 'purify-ts'
import type { MemberRow, MemberState } from '@rosemaryspread/decisions/membership/memberTypes.js'
import { JsonRpcPeerClient } from '@rosemaryspread/peers/link/peerClient.js'
import { JsonRpcPeerServer } from '@rosemaryspread/peers/link/peerServer.js'
import type { VmEntry } from '@rosemaryspread/infra/vmList/vmListTypes.js'
import { MemberDriver } from './memberDriver.js'
import { FixtureTable } from './membershipTable.fixture.js'

const KEY = 'a fleet key for this spec'
const ADDRESS_TTL_MS = 9_000
const MAX_WAIT_TRIES = 400

interface Line {
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** One VM with real links over loopback and manual ticks. */
class TestVm {
  replacedBy: string | undefined
  readonly seenVersions: number[] = []
  configVersion = 1

  private constructor (readonly row: MemberRow, readonly driver: (vm: TestVm) => MemberDriver, private readonly closers: readonly (() => unknown)[], readonly lines: readonly Line[]) {
    this.member = driver(this)
  }

  readonly member: MemberDriver

  static async start (harness: Harness, vm: string, domain: string, incarnation = 1): Promise<TestVm> {
    const holder = `${vm}~${incarnation}`
    const lines: Line[] = []
    const log = { write: (event: string, fields: Line['fields']) => { lines.push({ event, fields }) } }
    const identity = { holder, keys: [KEY] }
    const clock = { now: () => ({ mono: harness.ms, wall: harness.ms }) }
    const server = new JsonRpcPeerServer(identity, log)
    await server.listen('127.0.0.1:0')
    const client = new JsonRpcPeerClient({ identity, clock, random: () => 0.5 })
    const row: MemberRow = { vm, holder, domain, region: 'r', callers: `${vm}:1`, operators: `${vm}:2`, peers: server.address, state: 'live', configVersion: 1, capacity: 1 }
    const started = new TestVm(row, spec => new MemberDriver({
      self: row,
      table: harness.table,
      vmList: { list: async () => Right({ asOf: harness.table.now, now: harness.table.now, vms: harness.listed }) },
      client,
      server,
      clock,
      log,
      random: () => 0.5,
      status: () => ({ configVersion: spec.configVersion, openRequests: 0 }),
      onReplaced: by => { spec.replacedBy = by },
      onConfigVersion: version => { spec.seenVersions.push(version) }
    }), [() => client.close(), () => server.close()], lines)
    harness.vms.push(started)
    await started.member.start()
    started.member.stop()
    return started
  }

  stateOf (vm: TestVm): MemberState | undefined {
    return this.member.members().find(member => member.vm === vm.row.vm)?.state
  }

  async close (): Promise<void> {
    for (const close of this.closers) await close()
  }
}

class Harness {
  ms = 1_000
  readonly table = new FixtureTable()
  readonly vms: TestVm[] = []
  listed: VmEntry[] = []

  async tick (...vms: readonly TestVm[]): Promise<void> {
    this.ms += 1_000
    this.table.now += 1_000
    for (const vm of vms) await vm.member.tick()
  }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  for (let i = 0; i < MAX_WAIT_TRIES && !condition(); i += 1) await new Promise(resolve => setTimeout(resolve, 5))
  expect(condition()).equal(true)
}

describe('membership driver', () => {
  let harness: Harness
  beforeEach(() => { harness = new Harness() })
  afterEach(async () => { await Promise.all(harness.vms.map(vm => vm.close())) })

  it('discovers peers, propagates configuration versions, and stops advertising a leaving VM at once', async () => {
    const a = await TestVm.start(harness, 'a', 'quito')
    const b = await TestVm.start(harness, 'b', 'quito')
    const c = await TestVm.start(harness, 'c', 'cumbaya')
    await harness.tick(a, b, c)
    b.configVersion = 7
    await harness.tick(b)
    await waitUntil(() => a.seenVersions.includes(7) && c.seenVersions.includes(7))
    expect(a.member.addresses(ADDRESS_TTL_MS)).deep.equal({ addresses: ['a:1', 'b:1', 'c:1'], keepMs: ADDRESS_TTL_MS })
    await b.member.announceLeaving()
    await waitUntil(() => a.stateOf(b) === 'leaving' && c.stateOf(b) === 'leaving')
    expect(a.member.addresses(ADDRESS_TTL_MS).addresses).deep.equal(['a:1', 'c:1'])
    expect(harness.table.find({ table: 'vms', key: 'b' })?.value).include({ state: 'leaving', configVersion: 7 })
  })

  it('suspects an unresponsive VM, marks it gone by the VM list, and accepts its next incarnation', async () => {
    const a = await TestVm.start(harness, 'a', 'quito')
    const b = await TestVm.start(harness, 'b', 'quito')
    await harness.tick(a, b)
    for (let i = 0; i < 4; i += 1) await harness.tick(a)
    expect(a.stateOf(b)).equal('suspected')
    expect(a.lines.at(-1)).deep.equal({ event: 'peerSeen', fields: { peer: 'b', state: 'suspected', evidence: 'silence' } })
    harness.listed = [{ vm: 'b', domain: 'quito', address: 'b:1', state: 'gone' }]
    for (let i = 0; i < 6; i += 1) await harness.tick(a)
    expect(a.stateOf(b)).equal('gone')
    const next = await TestVm.start(harness, 'b', 'quito', 2)
    await harness.tick(next)
    for (let i = 0; i < 20; i += 1) await harness.tick(a, next)
    await waitUntil(() => a.stateOf(next) === 'live')
    await harness.tick(b)
    expect(b.replacedBy).equal('b~2')
  })

  it('starts without the table and registers once it is available', async () => {
    harness.table.down = true
    const a = await TestVm.start(harness, 'a', 'quito')
    expect(a.member.members().map(member => member.vm)).deep.equal(['a'])
    harness.table.down = false
    await harness.tick(a)
    await harness.tick(a)
    expect(harness.table.find({ table: 'vms', key: 'a' })?.value).include({ holder: 'a~1' })
  })

  it('makes only a few VMs of the domain candidates for a role', async () => {
    const vms: TestVm[] = []
    for (const name of ['a', 'b', 'c', 'd', 'e']) vms.push(await TestVm.start(harness, name, 'quito'))
    await harness.tick(...vms)
    await harness.tick(...vms)
    await waitUntil(() => vms.filter(vm => vm.member.isCandidate('writer/quito', 'quito')).length === 3)
    expect(vms.filter(vm => vm.member.isCandidate('writer/cumbaya', 'cumbaya'))).deep.equal([])
  })
})
