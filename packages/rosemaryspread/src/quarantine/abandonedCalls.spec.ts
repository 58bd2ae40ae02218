/**
 * Guards against blaming the wrong abandoned calls for the termination of a target, and against missing the right ones.
 */
import { expect } from 'chai'
import { AbandonedCalls } from './abandonedCalls.js'

const target = { id: 't1', startedAt: 1 }

interface AbandonedCallCase {
  readonly name: string
  readonly left: { readonly id: string, readonly startedAt: number }
  /** Milliseconds from abandoning the call to the termination of the target. */
  readonly afterMs: number
  readonly isAttributed: boolean
}

const cases: readonly AbandonedCallCase[] = [
  { name: 'abandoned right before it', left: target, afterMs: 100, isAttributed: true },
  { name: 'abandoned long before it', left: target, afterMs: 1_001, isAttributed: false },
  { name: 'abandoned at another target', left: { id: 't2', startedAt: 1 }, afterMs: 100, isAttributed: false },
  { name: 'abandoned at an earlier process with the same id', left: { id: 't1', startedAt: 0 }, afterMs: 100, isAttributed: false }
]

describe('AbandonedCalls', () => {
  for (const { name, left, afterMs, isAttributed: isBlamed } of cases) {
    it(`${isBlamed ? 'hold' : 'do not hold'} the termination of a target against a call ${name}, and never twice`, () => {
      const abandonedCalls = new AbandonedCalls()
      abandonedCalls.add({ requestId: 'r', digest: 'a' }, left, 0)
      const removed = [abandonedCalls.removeFor(target, afterMs), abandonedCalls.removeFor(target, afterMs)].map(calls => calls.map(({ digest }) => digest))
      expect(removed).to.deep.equal([isBlamed ? ['a'] : [], []])
    })
  }

  it('evict the oldest call above the limit', () => {
    const abandonedCalls = new AbandonedCalls()
    for (let index = 0; index <= 1_000; index += 1) abandonedCalls.add({ requestId: 'r', digest: `${index}` }, target, 0)
    expect(abandonedCalls.removeFor(target, 0).map(({ digest }) => digest)).to.include('1000').and.not.include('0')
  })
})
