/**
 * Targets of the register: leaving ones get no new requests, and entries that disappear during a register failure come back.
 */
import { expect } from 'chai'
import { RELIST_TIMEOUT_MS, TargetSet, type TargetView } from './targetSet.js'

function view (id: string, over: Partial<TargetView> = {}): TargetView {
  return { id, service: 's', address: `10.0.0.1:${id.length}`, domain: 'd', slots: 4, isLeaving: false, ...over }
}

interface SetCase {
  readonly name: string
  readonly act: (set: TargetSet) => void
  readonly serving: readonly string[]
}

const cases: readonly SetCase[] = [
  { name: 'serves all entries of the register', act: () => {}, serving: ['a', 'b'] },
  { name: 'adds a new entry', act: set => { set.put(view('c')) }, serving: ['a', 'b', 'c'] },
  { name: 'sends no requests to a leaving target', act: set => { set.put(view('a', { isLeaving: true })) }, serving: ['b'] },
  { name: 'drops a removed entry at once while the register is reachable', act: set => { set.remove('a', 10_000) }, serving: ['b'] },
  { name: 'drops an entry that is missing from a complete read', act: set => { set.replace([view('b')], 10_000) }, serving: ['b'] },
  {
    name: 'retains an entry that disappeared while the register was unreachable',
    act: set => {
      set.registerFailed(9_000)
      set.replace([], 10_000)
    },
    serving: ['a', 'b']
  },
  {
    name: 'drops a retained entry that is not listed again in time',
    act: set => {
      set.registerFailed(9_000)
      set.replace([], 10_000)
      set.tick(9_000 + RELIST_TIMEOUT_MS + 1)
    },
    serving: []
  },
  {
    name: 'retains an entry that is listed again in time',
    act: set => {
      set.registerFailed(9_000)
      set.replace([], 10_000)
      set.put(view('a'))
      set.tick(9_000 + RELIST_TIMEOUT_MS + 1)
    },
    serving: ['a']
  },
  {
    name: 'drops a leaving target that is removed while the register is unreachable',
    act: set => {
      set.put(view('a', { isLeaving: true }))
      set.registerFailed(9_000)
      set.remove('a', 10_000)
      set.put(view('b'))
    },
    serving: ['b']
  }
]

describe('TargetSet', () => {
  for (const { name, act, serving } of cases) {
    it(name, () => {
      const set = new TargetSet()
      set.replace([view('a'), view('b')], 0)
      act(set)
      expect(set.serving('s').map(({ id }) => id).sort()).to.deep.equal(serving)
    })
  }

  it('distinguishes a process that restarted under its id from the previous one, and discards an entry at once', () => {
    const set = new TargetSet()
    set.put(view('a', { startedAt: 1 }))
    expect([view('a', { startedAt: 1 }), view('a', { startedAt: 2 }), view('b', { startedAt: 2 })].map(item => set.isRestarted(item))).to.deep.equal([false, true, false])
    set.registerFailed(0)
    set.discard('a')
    expect([set.has('a'), set.serving('s')]).to.deep.equal([false, []])
  })

  it('distinguishes a heartbeat from a change', () => {
    const set = new TargetSet()
    set.put(view('a'))
    expect([set.isChange(view('a')), set.isChange(view('a', { isLeaving: true })), set.isChange(view('b'))]).to.deep.equal([false, true, true])
  })
})
