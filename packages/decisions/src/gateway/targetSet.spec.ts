/**
 * Targets of the register: leaving ones get no work, and entries that lapse with the register come back.
 */
import { expect } from 'chai'
import { RELIST_MS, TargetSet, type TargetView } from './targetSet.js'

function view (id: string, over: Partial<TargetView> = {}): TargetView {
  return { id, service: 's', address: `10.0.0.1:${id.length}`, domain: 'd', slots: 4, isLeaving: false, ...over }
}

interface SetCase {
  readonly name: string
  readonly act: (set: TargetSet) => void
  readonly serving: readonly string[]
}

const cases: readonly SetCase[] = [
  { name: 'lists what the register has', act: () => {}, serving: ['a', 'b'] },
  { name: 'takes a new entry', act: set => { set.put(view('c')) }, serving: ['a', 'b', 'c'] },
  { name: 'gives no work to a leaving target', act: set => { set.put(view('a', { isLeaving: true })) }, serving: ['b'] },
  { name: 'drops a removed entry at once while the register is well', act: set => { set.remove('a', 10_000) }, serving: ['b'] },
  { name: 'drops an entry that a whole read lacks', act: set => { set.replace([view('b')], 10_000) }, serving: ['b'] },
  {
    name: 'keeps an entry that went while the register was out of reach',
    act: set => {
      set.registerFailed(9_000)
      set.replace([], 10_000)
    },
    serving: ['a', 'b']
  },
  {
    name: 'drops it when it is not back in time',
    act: set => {
      set.registerFailed(9_000)
      set.replace([], 10_000)
      set.tick(9_000 + RELIST_MS + 1)
    },
    serving: []
  },
  {
    name: 'keeps it when it is back in time',
    act: set => {
      set.registerFailed(9_000)
      set.replace([], 10_000)
      set.put(view('a'))
      set.tick(9_000 + RELIST_MS + 1)
    },
    serving: ['a']
  },
  {
    name: 'drops a leaving target that goes while the register is out of reach',
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

  it('tells a process that started again under its id from the one before, and discards an entry at once', () => {
    const set = new TargetSet()
    set.put(view('a', { startedAt: 1 }))
    expect([view('a', { startedAt: 1 }), view('a', { startedAt: 2 }), view('b', { startedAt: 2 })].map(item => set.isRestarted(item))).to.deep.equal([false, true, false])
    set.registerFailed(0)
    set.discard('a')
    expect([set.has('a'), set.serving('s')]).to.deep.equal([false, []])
  })

  it('tells a heartbeat from news', () => {
    const set = new TargetSet()
    set.put(view('a'))
    expect([set.isNew(view('a')), set.isNew(view('a', { isLeaving: true })), set.isNew(view('b'))]).to.deep.equal([false, true, true])
  })
})
