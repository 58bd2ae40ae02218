/**
 * What proves that a holder ended.
 */
import { expect } from 'chai'
import { GoneVms, isSucceeded, LIST_MARGIN_MS } from './recoveryRules.js'

const old = { holder: 'quito-1~a', place: 'p', since: 100 }

const successions = [
  { name: 'a later process of the VM in its place', others: [{ holder: 'quito-1~b', place: 'p', since: 200 }], ended: true },
  { name: 'an earlier process in its place', others: [{ holder: 'quito-1~b', place: 'p', since: 50 }], ended: false },
  { name: 'a later process of the VM in another place', others: [{ holder: 'quito-1~b', place: 'q', since: 200 }], ended: false },
  { name: 'another VM that names the same place', others: [{ holder: 'quito-2~b', place: 'p', since: 200 }], ended: false },
  { name: 'only itself', others: [], ended: false }
]

describe('a holder and its successor', () => {
  for (const { name, others, ended } of successions) {
    it(`${ended ? 'ended' : 'may live'} with ${name}`, () => {
      expect(isSucceeded(old.holder, [old, ...others])).to.equal(ended)
    })
  }

  it('may live when it never told its place', () => {
    expect(isSucceeded('quito-1~a', [{ holder: 'quito-1~b', place: 'p', since: 200 }])).to.equal(false)
  })
})

describe('the list of VMs as a proof', () => {
  const registered = { holder: 'quito-1~a', domain: 'd', registeredAt: 1_000_000 }
  const cases = [
    { name: 'a VM that ended after the registration', asOf: registered.registeredAt + LIST_MARGIN_MS + 1, state: 'gone', proof: true },
    { name: 'a list from before the registration', asOf: registered.registeredAt - 1, state: 'gone', proof: false },
    { name: 'a list within the margin of the clocks', asOf: registered.registeredAt + LIST_MARGIN_MS, state: 'gone', proof: false },
    { name: 'a VM that leaves', asOf: registered.registeredAt + LIST_MARGIN_MS + 1, state: 'leaving', proof: false }
  ]
  for (const { name, asOf, state, proof } of cases) {
    it(`${proof ? 'takes' : 'does not take'} ${name}`, () => {
      const gone = new GoneVms()
      gone.note(asOf, [{ vm: 'quito-1', state }])
      expect(gone.proves(registered)).to.equal(proof)
    })
  }
})
