/**
 * Guards against streams whose version is lost with the VM at which they began, and against messages between VMs that nobody needs.
 */
import { expect } from 'chai'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ServiceVersions } from '@rosemaryspread/decisions/streams/streamTypes.js'
import type { AdmittedCall } from '../gateway/callTypes.js'
import { streamMethods, StreamVersions } from './streamVersions.js'

const LIFETIME_MS = 10_000
const VMS = 6

/** VMs that call each other directly. */
class FakeFleet {
  mono = 0
  service: ServiceVersions = { kind: 'several' }
  readonly sent: string[] = []
  /** Records in the store. */
  readonly stored = new Map<string, string>()
  isStoreReadable = false
  readonly gone = new Set<string>()
  readonly vms: readonly StreamVersions[] = Array.from({ length: VMS }, (_, index) => new StreamVersions({
    clock: { now: () => ({ mono: this.mono, wall: this.mono }) },
    lifetimeMs: () => LIFETIME_MS,
    versions: () => this.service,
    confirmedVersions: async () => this.service,
    log: { write: () => {} },
    stored: {
      add: (key, version) => { this.stored.set(key, version) },
      load: async () => {
        if (!this.isStoreReadable) return false
        for (const [key, version] of this.stored) this.vm(index).receive(key, version)
        return true
      },
      tick: () => {}
    },
    peers: () => Array.from({ length: VMS }, (_peer, other) => ({ holder: `vm-${other}~x`, address: String(other) })).filter((_peer, other) => other !== index),
    call: async (address, method, params) => await this.deliver(address, method, params),
    notify: (address, method, params) => { this.deliver(address, method, params).catch(() => {}) }
  }))

  vm (index: number): StreamVersions {
    return this.vms[index] as StreamVersions
  }

  private async deliver (address: string, method: string, params: unknown): Promise<Either<Failure, unknown>> {
    this.sent.push(method)
    if (this.gone.has(address)) return Left(new Failure('peerUnreachable', 'gone', { ran: 'no' }))
    return Right(await this.vm(Number(address)).methods().get(method)?.(params, 'other'))
  }
}

function call (requestId: string, resumes?: string, team = 'team'): AdmittedCall {
  const resumption = resumes === undefined ? {} : { resumption: { requestId: resumes, after: '3' } }
  return { service: 's', team, call: { requestId, ...resumption } } as unknown as AdmittedCall
}

async function versionAt (fleet: FakeFleet, vm: number, admitted: AdmittedCall): Promise<string> {
  return (await fleet.vm(vm).versionOf(admitted)).caseOf({ Left: ({ code }) => code, Right: ({ version }) => version })
}

describe('StreamVersions', () => {
  it('are known to all other VMs after the VM at which the stream began, and one of the told ones, are gone', async () => {
    for (let stream = 0; stream < 50; stream += 1) {
      const fleet = new FakeFleet()
      fleet.vm(0).began(call(`r${stream}`), '1')
      fleet.gone.add('0').add(String(1 + stream % (VMS - 1)))
      const asked = Array.from({ length: VMS }, (_, index) => index).filter(index => !fleet.gone.has(String(index)))
      expect(await Promise.all(asked.map(async vm => await versionAt(fleet, vm, call('next', `r${stream}`))))).to.deep.equal(asked.map(() => '1'))
    }
  })

  it('are known from the store after all VMs that knew them are gone, and unknown while it cannot be read', async () => {
    const fleet = new FakeFleet()
    fleet.vm(0).began(call('r'), '1')
    for (let vm = 0; vm < VMS - 1; vm += 1) fleet.gone.add(String(vm))
    const restarted = fleet.vm(VMS - 1)
    restarted.receive('other', '2')
    const before = await versionAt(fleet, VMS - 1, call('next', 'unwritten'))
    fleet.isStoreReadable = true
    expect([before, await versionAt(fleet, VMS - 1, call('next', 'r')), await versionAt(fleet, VMS - 1, call('next', 'unwritten'))]).to.deep.equal(['streamUnknown', '1', 'streamUnknown'])
  })

  it('are stored once a second version appears', () => {
    const fleet = new FakeFleet()
    fleet.service = { kind: 'sole', version: '1' }
    fleet.vm(0).began(call('r0'), '1')
    fleet.vm(0).tick()
    expect(fleet.stored.size).to.equal(0)
    fleet.service = { kind: 'several' }
    fleet.vm(0).began(call('r1'), '2')
    fleet.vm(0).tick()
    expect([...fleet.stored.values()].sort()).to.deep.equal(['1', '2'])
  })

  it('are of no use to another team', async () => {
    const fleet = new FakeFleet()
    fleet.vm(0).began(call('r'), '1')
    expect(await versionAt(fleet, 0, call('next', 'r', 'other'))).to.equal('streamUnknown')
  })

  it('are renewed when a stream is resumed', async () => {
    const fleet = new FakeFleet()
    fleet.vm(0).began(call('r'), '1')
    fleet.mono = LIFETIME_MS - 1
    fleet.vm(1).began(call('next', 'r'), '1')
    fleet.mono = LIFETIME_MS + 1
    for (const vm of fleet.vms) vm.tick()
    expect(await versionAt(fleet, 0, call('third', 'r'))).to.equal('1')
  })

  it('are told to nobody while the service has one version, and to others when a second one appears', async () => {
    const fleet = new FakeFleet()
    fleet.service = { kind: 'sole', version: '1' }
    for (let stream = 0; stream < 20; stream += 1) fleet.vm(0).began(call(`r${stream}`), '1')
    fleet.vm(0).tick()
    expect(fleet.sent).to.have.length(0)
    expect(await versionAt(fleet, 1, call('next', 'r1'))).to.equal('1')
    fleet.service = { kind: 'several' }
    fleet.sent.length = 0
    fleet.vm(0).tick()
    expect(fleet.sent).to.have.length.within(1, VMS - 1)
    expect(new Set(fleet.sent)).to.deep.equal(new Set([streamMethods.began]))
    fleet.gone.add('0')
    expect(await versionAt(fleet, 1, call('next', 'r1'))).to.equal('1')
  })

  it('are not guessed for a stream that its caller does not name', async () => {
    const fleet = new FakeFleet()
    const unnamed = { service: 's', team: 'team', call: { requestId: 'next', resumption: { after: '3' } } } as unknown as AdmittedCall
    expect(await versionAt(fleet, 1, unnamed)).to.equal('streamUnknown')
  })
})
