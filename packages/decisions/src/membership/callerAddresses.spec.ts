/**
 * Order of addresses for a team: stable, spread over the VMs, and past a VM that is far busier than the others.
 */
import { expect } from 'chai'
import { addressesFor } from './callerAddresses.js'
import type { MemberView } from './memberTypes.js'

const location = { domain: 'd0', region: 'r' }

function member (index: number, over: Partial<MemberView> = {}): MemberView {
  const vm = `vm${index}`
  return { vm, holder: `${vm}~1`, domain: 'd0', region: 'r', callers: vm, operators: '', peers: '', state: 'live', configVersion: 1, capacity: 1, openRequests: 4, ageMs: 0, ...over }
}

function firstOf (members: readonly MemberView[], team: string): string {
  return addressesFor(location, members, 1, () => { throw new Error('random() must not be called for a known team') }, team).addresses[0] ?? ''
}

const teams = Array.from({ length: 1_200 }, (_, index) => `team${index}`)
const twelve = Array.from({ length: 12 }, (_, index) => member(index))

describe('addresses in the order of a team', () => {
  it('are the same for each request and spread the teams', () => {
    const firsts = teams.map(team => firstOf(twelve, team))
    expect(teams.map(team => firstOf([...twelve].reverse(), team))).to.deep.equal(firsts)
    const counts = twelve.map(({ vm }) => firsts.filter(first => first === vm).length)
    expect(Math.min(...counts)).to.be.above(60)
    expect(Math.max(...counts)).to.be.below(150)
  })

  const changes: ReadonlyArray<{ readonly name: string, readonly members: readonly MemberView[] }> = [
    { name: 'a VM that leaves', members: twelve.map((item, index) => index === 3 ? { ...item, state: 'leaving' } : item) },
    { name: 'a VM that is far busier than the rest', members: twelve.map((item, index) => index === 3 ? { ...item, openRequests: 100 } : item) }
  ]
  for (const { name, members } of changes) {
    it(`change only for the teams of ${name}`, () => {
      for (const team of teams) {
        const before = firstOf(twelve, team)
        const after = firstOf(members, team)
        if (before === 'vm3') expect(after).not.to.equal('vm3')
        else expect(after).to.equal(before)
      }
    })
  }

  it('give a VM of twice the capacity about twice the teams', () => {
    const members = twelve.map((item, index) => index === 3 ? { ...item, capacity: 2 } : item)
    const share = teams.filter(team => firstOf(members, team) === 'vm3').length / teams.length
    expect(share).to.be.within(0.11, 0.2)
  })

  it('begin with the local failure domain', () => {
    const members = [member(0, { domain: 'far' }), member(1, { domain: 'far' }), member(2)]
    expect(teams.map(team => firstOf(members, team))).to.include.members(['vm2']).and.not.include('vm0')
  })
})
