import { expect } from 'chai'
import { MemberHarness, type HarnessVm } from './memberHarness.fixture.js'
import { addressesFor } from './callerAddresses.js'
import { heartbeatSenders, heartbeatRecipients, roleCandidates } from './memberRing.js'
import { defaultMemberLimits, type MemberView } from './memberTypes.js'
import { LocalRow } from './localRow.js'

const DOMAINS = ['quito', 'cumbaya', 'tababela']

function fleetOf (perDomain: number): MemberHarness {
  const fleet = new MemberHarness()
  for (const domain of DOMAINS) {
    for (let i = 1; i <= perDomain; i += 1) fleet.add(domain, i)
  }
  fleet.run(22)
  return fleet
}

/** Distinct states of one VM as seen by all other active VMs. */
function statesOf (fleet: MemberHarness, vm: HarnessVm): readonly string[] {
  const others = fleet.vms.filter(other => other !== vm && other.active)
  return [...new Set(others.map(other => other.stateOf(vm.row.vm) ?? 'unknown'))].sort()
}

describe('membership', () => {
  for (const perDomain of [1, 2, 6]) {
    it(`${perDomain * 3} VMs: all see all as live, and an unresponsive one as suspected until its next heartbeat`, () => {
      const fleet = fleetOf(perDomain)
      const victim = fleet.vms[0]!
      for (const vm of fleet.vms) expect(statesOf(fleet, vm)).deep.equal(['live'])
      victim.frozen = true
      fleet.run(perDomain > 2 ? 12 : 4)
      expect(statesOf(fleet, victim)).deep.equal(['suspected'])
      for (const vm of fleet.vms.slice(1)) expect(statesOf(fleet, vm), vm.row.vm).deep.equal(['live'])
      victim.frozen = false
      fleet.run(perDomain > 2 ? 30 : 1)
      expect(statesOf(fleet, victim)).deep.equal(['live'])
      expect(victim.stateOf(fleet.vms[1]!.row.vm), 'a paused VM does not suspect the others').equal('live')
    })
  }

  it('a leaving VM notifies the VMs of its domain and the table at once', () => {
    for (const perDomain of [2, 6]) {
      const fleet = fleetOf(perDomain)
      const vm = fleet.vms[0]!
      vm.feed({ kind: 'leave' })
      const domain = fleet.vms.filter(other => other !== vm && other.row.domain === vm.row.domain)
      for (const other of domain) expect(other.stateOf(vm.row.vm)).equal('leaving')
      expect(fleet.rows.get(vm.row.vm)?.row.state).equal('leaving')
      fleet.run(8)
      expect(statesOf(fleet, vm)).deep.equal(['leaving'])
    }
  })

  const listCases = [
    { title: 'gone, later than the last heartbeat', state: 'gone', asOf: 0, expected: 'gone' },
    { title: 'gone, but a minute old with a heartbeat since', state: 'gone', asOf: -60_000, expected: 'live' },
    { title: 'leaving', state: 'leaving', asOf: 0, expected: 'leaving' },
    { title: 'leaving, from before this incarnation', state: 'leaving', asOf: -60_000, expected: 'live' },
    { title: 'live', state: 'live', asOf: 0, expected: 'live' }
  ] as const
  for (const { title, state, asOf, expected } of listCases) {
    it(`the list says ${title}: ${expected}`, () => {
      const fleet = fleetOf(1)
      const [vm, observer] = fleet.vms as [HarnessVm, HarnessVm]
      fleet.time += 500
      observer.mono += 500
      observer.feed({ kind: 'listRead', vms: [{ vm: vm.row.vm, state }], lagMs: -asOf, requestedAt: observer.now() })
      expect(observer.stateOf(vm.row.vm)).equal(expected)
    })
  }

  it('a list that lags by a minute does not hide a terminated VM, and marks it as gone once it catches up', () => {
    const fleet = fleetOf(2)
    const victim = fleet.vms[0]!
    victim.dead = true
    const diedAt = fleet.time
    for (let i = 0; i < 70; i += 1) {
      const asOf = fleet.time - 60_000
      fleet.list = { asOf, vms: [{ vm: victim.row.vm, state: asOf > diedAt ? 'gone' : 'live' }] }
      fleet.run(1)
      if (i === 5) expect(statesOf(fleet, victim)).deep.equal(['suspected'])
    }
    expect(statesOf(fleet, victim)).deep.equal(['gone'])
    fleet.add('quito', 1, 2)
    fleet.run(3)
    expect(statesOf(fleet, victim), 'the next incarnation is live, though the list lags').deep.equal(['live'])
  })

  for (const monoStopped of [false, true]) {
    it(`a VM replaced while frozen (monotonic clock ${monoStopped ? 'stopped' : 'running'}) stops when it resumes`, () => {
      const fleet = fleetOf(1)
      const frozen = fleet.vms[0]!
      Object.assign(frozen, { frozen: true, monoStopped })
      fleet.run(10)
      fleet.add('quito', 1, 2)
      fleet.run(3)
      Object.assign(frozen, { frozen: false, monoStopped: false })
      fleet.run(1)
      expect(frozen.table.mayBeReplaced()).equal(true)
      expect(frozen.actions.filter(action => action.kind === 'replaced')).deep.equal([{ kind: 'replaced', by: 'quito-1~2' }])
      expect(fleet.rows.get('quito-1')?.row.holder).equal('quito-1~2')
      fleet.run(30)
      expect(fleet.rows.get('quito-1')?.row.holder, 'never written again by the old process').equal('quito-1~2')
    })
  }

  it('a renewal without the version check would overwrite the new holder (counter-example)', () => {
    const fleet = fleetOf(1)
    const frozen = fleet.vms[0]!
    frozen.frozen = true
    fleet.add('quito', 1, 2)
    fleet.run(1)
    fleet.store(frozen.row, fleet.rows.get('quito-1')!.version)
    expect(fleet.rows.get('quito-1')?.row.holder).equal('quito-1~1')
  })

  it('while the table is down a resumed VM reports that it may have been replaced, until it has read its row', () => {
    const fleet = fleetOf(1)
    const vm = fleet.vms[0]!
    vm.frozen = true
    fleet.run(10)
    fleet.tableDown = true
    vm.frozen = false
    fleet.run(5)
    expect(vm.table.mayBeReplaced()).equal(true)
    fleet.tableDown = false
    fleet.run(2)
    expect(vm.table.mayBeReplaced()).equal(false)
    expect(vm.count('replaced')).equal(0)
  })

  it('lost responses to registration and renewal are resolved by a read, not mistaken for another holder', () => {
    const fleet = new MemberHarness()
    const vm = fleet.add('quito', 1)
    fleet.loseAnswers = 1
    fleet.run(2)
    expect(vm.count('writeLocalRow')).equal(1)
    fleet.loseAnswers = 1
    fleet.run(22)
    expect(vm.count('replaced')).equal(0)
    expect(fleet.rows.get('quito-1')?.updatedAt).greaterThan(fleet.time - 21_000)
  })

  it('an outdated replica that still shows the earlier incarnation does not stop this one', () => {
    const row = new LocalRow('a~2', 20_000)
    const at = (ms: number): { mono: number, wall: number } => ({ mono: ms, wall: ms })
    const wanted = new MemberHarness().add('quito', 1).row
    row.nextCall(wanted, at(0))
    row.handleRead({ holder: 'a~1', version: 5 })
    expect(row.nextCall(wanted, at(1))).deep.equal([{ kind: 'writeLocalRow', row: wanted, version: 5 }])
    row.handleWriteOutcome({ kind: 'written', version: 9 })
    row.handlePause()
    expect(row.nextCall(wanted, at(2))).deep.equal([{ kind: 'readLocalRow' }])
    expect(row.handleRead({ holder: 'a~1', version: 5 })).deep.equal([])
    expect(row.mayBeReplaced).equal(true)
    expect(row.nextCall(wanted, at(1_100))).deep.equal([{ kind: 'readLocalRow' }])
    expect(row.handleRead({ holder: 'a~3', version: 12 })).deep.equal([{ kind: 'replaced', by: 'a~3' }])
  })

  it('the row is renewed periodically, and at once when the configuration version changes', () => {
    const fleet = fleetOf(1)
    const vm = fleet.vms[0]!
    const before = vm.count('writeLocalRow')
    fleet.run(40)
    expect(vm.count('writeLocalRow') - before).equal(2)
    vm.feed({ kind: 'self', configVersion: 2, openRequests: 0 })
    expect(fleet.rows.get(vm.row.vm)?.row.configVersion).equal(2)
  })

  it('partitioned domains suspect each other, while a third that reaches both sees all as live', () => {
    const fleet = fleetOf(2)
    const statesIn = (domain: string, of: string): readonly string[] => {
      const seen = fleet.vms.filter(vm => vm.row.domain === domain).flatMap(vm => [1, 2].map(i => vm.row.vm === `${of}-${i}` ? 'live' : vm.stateOf(`${of}-${i}`) ?? 'unknown'))
      return [...new Set(seen)]
    }
    fleet.cuts.add('quito|cumbaya')
    fleet.run(20)
    for (const [from, to] of [['quito', 'cumbaya'], ['cumbaya', 'quito']] as const) expect(statesIn(from, to)).deep.equal(['suspected'])
    for (const to of DOMAINS) expect(statesIn('tababela', to)).deep.equal(['live'])
    for (const domain of DOMAINS) expect(statesIn(domain, domain)).deep.equal(['live'])
    fleet.cuts.clear()
    fleet.run(2)
    for (const vm of fleet.vms) expect(statesOf(fleet, vm), vm.row.vm).deep.equal(['live'])
  })

  it('the number and size of messages do not grow with the fleet', () => {
    const fleet = fleetOf(30)
    const before = fleet.messages
    fleet.run(8)
    expect((fleet.messages - before) / fleet.vms.length / 8).below(6)
    const updateCounts = fleet.vms[0]!.actions.flatMap(action => action.kind === 'beat' ? [action.heartbeat.news.length] : [])
    expect(Math.max(...updateCounts)).most(defaultMemberLimits.rumors + defaultMemberLimits.digest)
  })

  it('the row of a terminated VM is retained for an hour, then deleted, and others stay', () => {
    const fleet = fleetOf(1)
    const victim = fleet.vms[0]!
    victim.dead = true
    fleet.run(1)
    fleet.list = { asOf: fleet.time, vms: [{ vm: victim.row.vm, state: 'gone' }] }
    fleet.run(3_500)
    expect([...fleet.rows.keys()].sort()).deep.equal(['cumbaya-1', 'quito-1', 'tababela-1'])
    fleet.run(150)
    expect([...fleet.rows.keys()].sort()).deep.equal(['cumbaya-1', 'tababela-1'])
    fleet.run(30)
    expect(fleet.vms[1]!.stateOf(victim.row.vm)).equal(undefined)
  })

  it('a heartbeat whose holder differs from the authenticated sender is ignored', () => {
    const fleet = fleetOf(1)
    const [vm, other] = fleet.vms as [HarnessVm, HarnessVm]
    const forged = { holder: other.row.holder, beat: 9_999, state: 'leaving', config: 1, open: 0, age: 0 } as const
    vm.feed({ kind: 'heartbeatReceived', from: 'tababela-1~1', heartbeat: { self: forged, news: [], ask: false } })
    expect(vm.stateOf(other.row.vm)).equal('live')
  })
})

describe('heartbeat ring', () => {
  const members = DOMAINS.flatMap(domain => Array.from({ length: 20 }, (_, i) => ({ vm: `${domain}-${i}`, domain })))

  it('senders are the inverse of recipients, within the domain, bounded', () => {
    for (const self of members) {
      const targets = heartbeatRecipients(self, members, defaultMemberLimits)
      expect(targets.length).equal(defaultMemberLimits.ringFanout)
      for (const target of targets) {
        expect(target.domain).equal(self.domain)
        expect(heartbeatSenders(target, members, defaultMemberLimits)).include(self)
      }
    }
  })

  it('candidates for a role do not depend on the order of names, and the rest stay when one leaves', () => {
    const vms = members.map(member => member.vm)
    const first = roleCandidates('placement', vms, 3)
    expect(roleCandidates('placement', [...vms].reverse(), 3)).deep.equal(first)
    const without = vms.filter(vm => vm !== first[0])
    expect(roleCandidates('placement', without, 3).slice(0, 2)).deep.equal(first.slice(1))
  })
})

describe('addresses for callers', () => {
  const location = { domain: 'quito', region: 'sierra' }
  const member = (vm: string, over: Partial<MemberView> = {}): MemberView => ({
    vm, holder: `${vm}~1`, domain: 'quito', region: 'sierra', callers: vm, operators: vm, peers: vm, state: 'live', configVersion: 1, capacity: 1, openRequests: 0, ageMs: 0, ...over
  })
  const cases = [
    { title: 'local domain, then local region, then the rest', members: [member('far', { domain: 'hcm', region: 'south' }), member('near', { domain: 'cumbaya' }), member('local')], expected: ['local', 'near', 'far'] },
    { title: 'no leaving, suspected or terminated VMs', members: [member('a', { state: 'leaving' }), member('b', { state: 'suspected' }), member('c', { state: 'gone' }), member('d', { domain: 'cumbaya' })], expected: ['d'] },
    { title: 'the less loaded VM first at equal draws', members: [member('busy', { openRequests: 9 }), member('idle')], expected: ['idle', 'busy'] },
    { title: 'the larger VM first at equal draws', members: [member('small'), member('large', { capacity: 4 })], expected: ['large', 'small'] }
  ]
  for (const { title, members, expected } of cases) {
    it(title, () => {
      expect(addressesFor(location, members, 9_000, () => 0.5)).deep.equal({ addresses: expected, keepMs: 9_000 })
    })
  }

  it('spreads callers by load', () => {
    const { random } = new MemberHarness()
    const members = [member('idle'), member('busy', { openRequests: 3 })]
    const firsts = Array.from({ length: 4_000 }, () => addressesFor(location, members, 1, random).addresses[0])
    expect(firsts.filter(vm => vm === 'idle').length / firsts.length).within(0.77, 0.83)
  })
})
