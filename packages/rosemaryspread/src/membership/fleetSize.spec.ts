/**
 * The cached number of live VMs.
 */
import { expect } from 'chai'
import type { MemberState, MemberView } from '@rosemaryspread/decisions/membership/memberTypes.js'
import { FleetSize } from './fleetSize.js'

const member = (state: MemberState): MemberView => ({
  vm: 'v', holder: 'v~1', domain: 'd', region: 'r', callers: '', operators: '', peers: '', state, configVersion: 1, capacity: 1, openRequests: 0, ageMs: 0
})

const cases: ReadonlyArray<{ readonly name: string, readonly states: readonly MemberState[], readonly size: number }> = [
  { name: 'one VM while the list of members is empty', states: [], size: 1 },
  { name: 'live VMs', states: ['live', 'live', 'live'], size: 3 },
  { name: 'only VMs that accept work', states: ['live', 'leaving', 'suspected', 'gone', 'live'], size: 2 }
]

describe('the size of the fleet', () => {
  for (const { name, states, size } of cases) {
    it(`counts ${name}`, () => {
      expect(new FleetSize({ now: () => ({ mono: 0, wall: 0 }) }, () => states.map(member)).live()).to.equal(size)
    })
  }

  it('iterates over the members once a second however often it is read', () => {
    let mono = 0
    let iterations = 0
    const size = new FleetSize({ now: () => ({ mono, wall: mono }) }, () => {
      iterations += 1
      return [member('live')]
    })
    for (; mono < 3_000; mono += 10) size.live()
    expect(iterations).to.equal(3)
  })
})
