/**
 * Guards against blaming the wrong abandoned calls for the termination of a target, and against missing the right ones.
 */
import { expect } from 'chai'
import { Departures } from './departures.js'

const target = { id: 't1', startedAt: 1 }

interface DepartureCase {
  readonly name: string
  readonly left: { readonly id: string, readonly startedAt: number }
  /** Milliseconds from abandoning the call to the termination of the target. */
  readonly afterMs: number
  readonly isHeld: boolean
}

const cases: readonly DepartureCase[] = [
  { name: 'abandoned right before it', left: target, afterMs: 100, isHeld: true },
  { name: 'abandoned long before it', left: target, afterMs: 1_001, isHeld: false },
  { name: 'abandoned at another target', left: { id: 't2', startedAt: 1 }, afterMs: 100, isHeld: false },
  { name: 'abandoned at an earlier process with the same id', left: { id: 't1', startedAt: 0 }, afterMs: 100, isHeld: false }
]

describe('AbandonedCalls', () => {
  for (const { name, left, afterMs, isHeld } of cases) {
    it(`${isHeld ? 'hold' : 'do not hold'} the termination of a target against a call ${name}, and never twice`, () => {
      const departures = new Departures()
      departures.add({ requestId: 'r', digest: 'a' }, left, 0)
      const taken = [departures.take(target, afterMs), departures.take(target, afterMs)].map(calls => calls.map(({ digest }) => digest))
      expect(taken).to.deep.equal([isHeld ? ['a'] : [], []])
    })
  }

  it('evict the oldest call above the limit', () => {
    const departures = new Departures()
    for (let index = 0; index <= 1_000; index += 1) departures.add({ requestId: 'r', digest: `${index}` }, target, 0)
    expect(departures.take(target, 0).map(({ digest }) => digest)).to.include('1000').and.not.include('0')
  })
})
