import { expect } from 'chai'
import { Right } from 'purify-ts'
import type { MemberRow, MemberState } from '@rosemaryspread/decisions/membership/memberTypes.js'
import { JsonRpcPeerClient } from '@rosemaryspread/peers/link/peerClient.js'
import { JsonRpcPeerServer } from '@rosemaryspread/peers/link/peerServer.js'
import type { VmEntry } from '@rosemaryspread/infra/vmList/vmListTypes.js'
import { MemberDriver } from './memberDriver.js'
import { FixtureTable } from './membershipTable.fixture.js'

const KEY = 'a fleet key for this spec'
const KEEP_MS = 9_000
const WAIT_TRIES = 400

interface Line {
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** One VM with real links over loopback and manual ticks. */
class SpecVm {
  replacedBy: string | undefined
  readonly seenVersions: number[] = []
  configVersion = 1

  private constructor (readonly row: MemberRow, readonly driver: (vm: SpecVm) => MemberDriver, private readonly closers: readonly (() => unknown)[], readonly lines: readonly Line[]) {
    this.member = driver(this)
  }

  readonly member: MemberDriver

  static async start (world: SpecWorld, vm: string, domain: string, incarnation = 1): Promise<SpecVm> {
    const holder = `${vm}~${incarnation}`
    const lines: Line[] = []
    const log = { write: (event: string, fields: Line['fields']) => { lines.push({ event, fields }) } }
    const identity = { holder, keys: [KEY] }
    const clock = { now: () => ({ mono: world.ms, wall: world.ms }) }
    const server = new JsonRpcPeerServer(identity, log)
    await server.listen('127.0.0.1:0')
    const client = new JsonRpcPeerClient({ identity, clock, random: () => 0.5 })
    const row: MemberRow = { vm, holder, domain, region: 'r', callers: `${vm}:1`, operators: `${vm}:2`, peers: server.address, state: 'live', configVersion: 1, capacity: 1 }
    const made = new SpecVm(row, spec => new MemberDriver({
      self: row,
      table: world.table,
      vmList: { list: async () => Right({ asOf: world.table.now, now: world.table.now, vms: world.listed }) },
      client,
      server,
      clock,
      log,
      random: () => 0.5,
      status: () => ({ configVersion: spec.configVersion, openRequests: 0 }),
      onReplaced: by => { spec.replacedBy = by },
      onConfigVersion: version => { spec.seenVersions.push(version) }
    }), [() => client.close(), () => server.close()], lines)
    world.vms.push(made)
    await made.member.start()
    made.member.stop()
    return made
  }

  stateOf (vm: SpecVm): MemberState | undefined {
    return this.member.members().find(member => member.vm === vm.row.vm)?.state
  }

  async close (): Promise<void> {
    for (const close of this.closers) await close()
  }
}

class SpecWorld {
  ms = 1_000
  readonly table = new FixtureTable()
  readonly vms: SpecVm[] = []
  listed: VmEntry[] = []

  async tick (...vms: readonly SpecVm[]): Promise<void> {
    this.ms += 1_000
    this.table.now += 1_000
    for (const vm of vms) await vm.member.tick()
  }
}

async function until (condition: () => boolean): Promise<void> {
  for (let i = 0; i < WAIT_TRIES && !condition(); i += 1) await new Promise(resolve => setTimeout(resolve, 5))
  expect(condition()).equal(true)
}

describe('membership driver', () => {
  let world: SpecWorld
  beforeEach(() => { world = new SpecWorld() })
  afterEach(async () => { await Promise.all(world.vms.map(vm => vm.close())) })

  it('discovers peers, propagates configuration versions, and stops advertising a leaving VM at once', async () => {
    const a = await SpecVm.start(world, 'a', 'quito')
    const b = await SpecVm.start(world, 'b', 'quito')
    const c = await SpecVm.start(world, 'c', 'cumbaya')
    await world.tick(a, b, c)
    b.configVersion = 7
    await world.tick(b)
    await until(() => a.seenVersions.includes(7) && c.seenVersions.includes(7))
    expect(a.member.addresses(KEEP_MS)).deep.equal({ addresses: ['a:1', 'b:1', 'c:1'], keepMs: KEEP_MS })
    await b.member.announceLeaving()
    await until(() => a.stateOf(b) === 'leaving' && c.stateOf(b) === 'leaving')
    expect(a.member.addresses(KEEP_MS).addresses).deep.equal(['a:1', 'c:1'])
    expect(world.table.find({ table: 'vms', key: 'b' })?.value).include({ state: 'leaving', configVersion: 7 })
  })

  it('suspects an unresponsive VM, marks it gone by the VM list, and accepts its next incarnation', async () => {
    const a = await SpecVm.start(world, 'a', 'quito')
    const b = await SpecVm.start(world, 'b', 'quito')
    await world.tick(a, b)
    for (let i = 0; i < 4; i += 1) await world.tick(a)
    expect(a.stateOf(b)).equal('suspected')
    expect(a.lines.at(-1)).deep.equal({ event: 'peerSeen', fields: { peer: 'b', state: 'suspected', evidence: 'silence' } })
    world.listed = [{ vm: 'b', domain: 'quito', address: 'b:1', state: 'gone' }]
    for (let i = 0; i < 6; i += 1) await world.tick(a)
    expect(a.stateOf(b)).equal('gone')
    const next = await SpecVm.start(world, 'b', 'quito', 2)
    await world.tick(next)
    for (let i = 0; i < 20; i += 1) await world.tick(a, next)
    await until(() => a.stateOf(next) === 'live')
    await world.tick(b)
    expect(b.replacedBy).equal('b~2')
  })

  it('starts without the table and registers once it is available', async () => {
    world.table.down = true
    const a = await SpecVm.start(world, 'a', 'quito')
    expect(a.member.members().map(member => member.vm)).deep.equal(['a'])
    world.table.down = false
    await world.tick(a)
    await world.tick(a)
    expect(world.table.find({ table: 'vms', key: 'a' })?.value).include({ holder: 'a~1' })
  })

  it('makes only a few VMs of the domain candidates for a role', async () => {
    const vms: SpecVm[] = []
    for (const name of ['a', 'b', 'c', 'd', 'e']) vms.push(await SpecVm.start(world, name, 'quito'))
    await world.tick(...vms)
    await world.tick(...vms)
    await until(() => vms.filter(vm => vm.member.isCandidate('writer/quito', 'quito')).length === 3)
    expect(vms.filter(vm => vm.member.isCandidate('writer/cumbaya', 'cumbaya'))).deep.equal([])
  })
})
