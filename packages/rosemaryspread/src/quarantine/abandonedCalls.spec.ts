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
      abandonedCalls.add({ requestId: 'r', digest: 'a', partDigests: [] }, left, 0)
      const removed = [abandonedCalls.removeFor(target, afterMs), abandonedCalls.removeFor(target, afterMs)].map(calls => calls.map(({ digest }) => digest))
      expect(removed).to.deep.equal([isBlamed ? ['a'] : [], []])
    })
  }

  it('return answers that ended with their connection once the same process has answered a later request', () => {
    const abandonedCalls = new AbandonedCalls()
    abandonedCalls.add({ requestId: 'r', digest: 'cancelled', partDigests: [] }, target, 10)
    abandonedCalls.add({ requestId: 'r', digest: 'answered', partDigests: [], isEligible: true }, target, 10)
    const digestsAt = (id: string, startedAt: number, sentAt: number): readonly string[] => abandonedCalls.removeConfirmed({ id, startedAt }, sentAt).map(({ digest }) => digest)
    expect([digestsAt('t1', 1, 9), digestsAt('t1', 2, 11), digestsAt('t1', 1, 11), digestsAt('t1', 1, 11)]).to.deep.equal([[], [], ['answered'], []])
    expect(abandonedCalls.removeFor(target, 20).map(({ digest }) => digest)).to.deep.equal(['cancelled'])
  })

  it('evict the oldest call above the limit', () => {
    const abandonedCalls = new AbandonedCalls()
    for (let index = 0; index <= 1_000; index += 1) abandonedCalls.add({ requestId: 'r', digest: `${index}`, partDigests: [] }, target, 0)
    expect(abandonedCalls.removeFor(target, 0).map(({ digest }) => digest)).to.include('1000').and.not.include('0')
  })
})
