/**
 * Proofs that a holder terminated.
 */
import { expect } from 'chai'
import { TerminatedVms, hasSuccessor, LIST_CLOCK_MARGIN_MS } from './recoveryRules.js'

const old = { holder: 'quito-1~a', place: 'p', since: 100 }

const successions = [
  { name: 'a later process of the VM on its addresses', others: [{ holder: 'quito-1~b', place: 'p', since: 200 }], ended: true },
  { name: 'an earlier process on its addresses', others: [{ holder: 'quito-1~b', place: 'p', since: 50 }], ended: false },
  { name: 'a later process of the VM on other addresses', others: [{ holder: 'quito-1~b', place: 'q', since: 200 }], ended: false },
  { name: 'another VM that names the same addresses', others: [{ holder: 'quito-2~b', place: 'p', since: 200 }], ended: false },
  { name: 'only itself', others: [], ended: false }
]

describe('a holder and its successor', () => {
  for (const { name, others, ended } of successions) {
    it(`${ended ? 'ended' : 'may be running'} with ${name}`, () => {
      expect(hasSuccessor(old.holder, [old, ...others])).to.equal(ended)
    })
  }

  it('may be running if its addresses were never recorded', () => {
    expect(hasSuccessor('quito-1~a', [{ holder: 'quito-1~b', place: 'p', since: 200 }])).to.equal(false)
  })
})

describe('the VM list as a proof', () => {
  const registered = { holder: 'quito-1~a', domain: 'd', registeredAt: 1_000_000 }
  const cases = [
    { name: 'a VM that was terminated after the registration', asOf: registered.registeredAt + LIST_CLOCK_MARGIN_MS + 1, state: 'gone', proof: true },
    { name: 'a list from before the registration', asOf: registered.registeredAt - 1, state: 'gone', proof: false },
    { name: 'a list within the clock margin', asOf: registered.registeredAt + LIST_CLOCK_MARGIN_MS, state: 'gone', proof: false },
    { name: 'a VM that is leaving', asOf: registered.registeredAt + LIST_CLOCK_MARGIN_MS + 1, state: 'leaving', proof: false }
  ]
  for (const { name, asOf, state, proof } of cases) {
    it(`${proof ? 'accepts' : 'rejects'} ${name}`, () => {
      const terminated = new TerminatedVms()
      terminated.record(asOf, [{ vm: 'quito-1', state }])
      expect(terminated.proves(registered)).to.equal(proof)
    })
  }
})
