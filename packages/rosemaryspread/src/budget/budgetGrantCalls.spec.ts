/**
 * Guards against grant requests that go to the wrong VMs or too many of them, wait on unresponsive ones, or lose late
 * answers.
 */
import { expect } from 'chai'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { LateResponseHandler } from '@rosemaryspread/peers/link/linkTypes.js'
import { BudgetGrantCalls, grantMethod, type GrantResponse } from './budgetGrantCalls.js'

const peers = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'].map(name => ({ holder: name, address: `${name}:1` }))

/** Other VMs with the tokens that each can grant; one without a number is unresponsive. */
class Harness {
  mono = 0
  readonly asked: string[] = []
  readonly late: Array<[budget: string, tokens: number]> = []
  readonly lateAnswers: LateResponseHandler[] = []
  readonly calls: BudgetGrantCalls

  constructor (readonly have: Record<string, number | undefined>) {
    this.calls = new BudgetGrantCalls({
      holder: 'me',
      clock: { now: () => ({ mono: this.mono, wall: 0 }) },
      log: { write: () => {} },
      peersFor: () => peers.filter(({ holder }) => holder in have),
      call: async (address, _method, params, _timeoutMs, onLate) => {
        if (onLate !== undefined) this.lateAnswers.push(onLate)
        return this.answer(address.slice(0, 1), params as { tokens: number })
      },
      acceptLateGrant: (budget, tokens) => { this.late.push([budget, tokens]) },
      preference: () => 0.5
    })
  }

  private answer (name: string, { tokens }: { tokens: number }): Either<Failure, unknown> {
    this.asked.push(name)
    const left = this.have[name]
    if (left === undefined) return Left(new Failure('peerUnreachable', 'no answer', { ran: 'unknown' }))
    const given = Math.min(left, tokens)
    this.have[name] = left - given
    return Right({ tokens: given, left: left - given })
  }
}

interface RequestCase {
  readonly name: string
  readonly have: Record<string, number | undefined>
  /** Tokens of each request, one after another, half a second apart. */
  readonly requested: readonly number[]
  readonly given: readonly number[]
  readonly asked: readonly string[]
}

const cases: readonly RequestCase[] = [
  { name: 'one VM if it has enough', have: { a: 100, b: 100 }, requested: [50], given: [50], asked: ['a'] },
  { name: 'the next VM for the rest', have: { a: 30, b: 100 }, requested: [50], given: [50], asked: ['a', 'b'] },
  { name: 'VMs with the highest balance first', have: { a: 60, b: 500 }, requested: [100, 10], given: [100, 10], asked: ['a', 'b', 'b'] },
  { name: 'VMs that did not answer last', have: { a: undefined, b: 500 }, requested: [10, 10], given: [10, 10], asked: ['a', 'a', 'b', 'b'] },
  { name: 'at most six VMs', have: { a: 1, b: 1, c: 1, d: 1, e: 1, f: 1, g: 1, h: 1 }, requested: [50], given: [6], asked: ['a', 'b', 'c', 'd', 'e', 'f'] },
  { name: 'nobody if there is no other VM', have: {}, requested: [50], given: [0], asked: [] }
]

describe('BudgetGrantCalls', () => {
  for (const { name, have, requested: asks, given, asked } of cases) {
    it(`requests a grant from ${name}`, async () => {
      const harness = new Harness({ ...have })
      const got: number[] = []
      for (const tokens of asks) {
        got.push((await harness.calls.ask('g', 'b', tokens)).tokens)
        harness.mono += 500
      }
      expect([got, harness.asked]).to.deep.equal([given, asked])
    })
  }

  const late: ReadonlyArray<{ readonly name: string, readonly answer: unknown, readonly accepted: number | undefined }> = [
    { name: 'tokens that arrive after the request timed out', answer: { tokens: 40, left: 0 }, accepted: 40 },
    { name: 'at most the requested tokens', answer: { tokens: 90, left: 0 }, accepted: 50 },
    { name: 'nothing of an answer without tokens', answer: { tokens: 0, left: 0 }, accepted: undefined },
    { name: 'nothing of a malformed answer', answer: { tokens: 'many' }, accepted: undefined }
  ]
  for (const { name, answer, accepted: kept } of late) {
    it(`accepts ${name}`, async () => {
      const harness = new Harness({ a: undefined })
      expect(await harness.calls.ask('g', 'b', 50)).to.deep.equal({ tokens: 0, isReached: false })
      harness.lateAnswers[0]?.(answer)
      expect(harness.late).to.deep.equal(kept === undefined ? [] : [['b', kept]])
    })
  }

  it('opens a link to an owner once, without receiving tokens', async () => {
    const harness = new Harness({ a: 100 })
    await harness.calls.connectOwner('b')
    await harness.calls.connectOwner('b')
    expect([harness.asked, harness.have]).to.deep.equal([['a'], { a: 100 }])
  })

  const handovers: ReadonlyArray<{ readonly name: string, readonly have: Record<string, number | undefined>, readonly taken: boolean, readonly asked: readonly string[] }> = [
    { name: 'the first VM that answers', have: { a: 0, b: 0 }, taken: true, asked: ['a'] },
    { name: 'no second VM if the first may have accepted them', have: { a: undefined, b: 0 }, taken: false, asked: ['a'] }
  ]
  for (const { name, have, taken, asked } of handovers) {
    it(`hands tokens over to ${name}`, async () => {
      const harness = new Harness({ ...have })
      const isTaken = await harness.calls.handOver('b', 100)
      expect([isTaken, harness.asked]).to.deep.equal([taken, asked])
    })
  }

  const malformed: ReadonlyArray<{ readonly name: string, readonly params: unknown }> = [
    { name: 'no number of tokens', params: { giftId: 'g', budget: 'b', to: 'v' } },
    { name: 'a fractional number of tokens', params: { giftId: 'g', budget: 'b', to: 'v', tokens: 0.5 } },
    { name: 'a negative number of tokens', params: { giftId: 'g', budget: 'b', to: 'v', tokens: -1 } }
  ]
  for (const { name, params } of malformed) {
    it(`grants nothing for a request with ${name}`, async () => {
      let given = 0
      const serve = grantMethod((): GrantResponse => { given += 1; return { tokens: 1, left: 0 } })
      const failed = await serve(params, 'v').then(() => false, () => true)
      expect([failed, given]).to.deep.equal([true, 0])
    })
  }
})
