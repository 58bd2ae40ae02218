/** How long a request may have lain unread, by the ticks and reads before it. */
import { expect } from 'chai'
import { UnreadTime, type LoopSample } from './unreadTime.js'

interface UnreadCase {
  readonly name: string
  /** Ticks and reads in order, each with the counters at that moment. */
  readonly steps: ReadonlyArray<LoopSample & { readonly kind: 'tick' | 'read' }>
  /** Bound of the last read. */
  readonly unreadMs: number
}

const cases: readonly UnreadCase[] = [
  { name: 'the busy time since the start', steps: [{ kind: 'read', turns: 4, busyMs: 30 }], unreadMs: 30 },
  { name: 'the busy time since a tick that was more than a turn before', steps: [{ kind: 'tick', turns: 4, busyMs: 30 }, { kind: 'read', turns: 9, busyMs: 35 }], unreadMs: 5 },
  {
    name: 'the time since the tick before, if one ran in the last turn',
    steps: [{ kind: 'tick', turns: 8, busyMs: 300 }, { kind: 'tick', turns: 9, busyMs: 600 }, { kind: 'read', turns: 10, busyMs: 601 }],
    unreadMs: 301
  },
  { name: 'the time since another request was read in an earlier turn', steps: [{ kind: 'read', turns: 9, busyMs: 600 }, { kind: 'read', turns: 10, busyMs: 640 }], unreadMs: 40 },
  {
    name: 'the time since an earlier turn, if others were read in the same turn',
    steps: [{ kind: 'read', turns: 9, busyMs: 600 }, { kind: 'read', turns: 10, busyMs: 640 }, { kind: 'read', turns: 10, busyMs: 650 }],
    unreadMs: 50
  }
]

describe('UnreadTime', () => {
  for (const { name, steps, unreadMs } of cases) {
    it(`is ${name}`, () => {
      let counters: LoopSample = { turns: 0, busyMs: 0 }
      const unread = new UnreadTime(() => counters)
      let bound = 0
      for (const { kind, ...sample } of steps) {
        counters = sample
        if (kind === 'tick') unread.tick()
        else bound = unread.read()
      }
      expect(bound).to.equal(unreadMs)
    })
  }
})
