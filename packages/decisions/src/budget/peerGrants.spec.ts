/**
 * Grants between holders that cannot reach the table: when they are requested, how much is granted, and that no order of
 * messages, losses and terminations spends a token twice.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import { BudgetLedger } from './budgetLedger.js'
import { defaultBudgetPolicy, type BudgetPolicy } from './budgetPolicy.js'
import type { BudgetAction, BudgetEvent } from './budgetTypes.js'

const policy: BudgetPolicy = {
  ...defaultBudgetPolicy, fairShareRatio: 0.1, boundsUnreportedUse: true, demandSource: 'reservations', flushMs: 100, horizonMs: 10_000, rateWindowMs: 3_000, unreachableWaitMs: 30, grantAfterMs: 20
}
const HELD = 50_000
/** Allowance of the first report of this allotment. */
const ALLOWED = 5_000

class Holder {
  readonly ledger: BudgetLedger
  mono = 0

  constructor (name: string, over: Partial<BudgetPolicy> = {}) {
    this.ledger = new BudgetLedger(name, { ...policy, ...over })
    const draw = this.send({ kind: 'prepare', budget: 'b' }).find(action => action.kind === 'draw')
    this.send({ kind: 'drawAnswered', drawId: draw?.drawId ?? '', outcome: { kind: 'granted', tokens: HELD, left: 0, sentAt: this.now } })
  }

  get now (): { readonly mono: number, readonly wall: number } {
    return { mono: this.mono, wall: this.mono }
  }

  send (event: BudgetEvent): readonly BudgetAction[] {
    return this.ledger.handle(event, this.now)
  }

  pass (ms: number): readonly BudgetAction[] {
    this.mono += ms
    return this.send({ kind: 'tick' })
  }

  reserve (reservationId: string, tokens: number): readonly BudgetAction[] {
    return this.send({ kind: 'reserve', reservationId, budget: 'b', tokens, giveUpAfterMs: 200 })
  }

  settle (reservationId: string, tokens: number): readonly BudgetAction[] {
    return this.send({ kind: 'settle', reservationId, bill: { requestId: reservationId, budget: 'b', team: 't', tokens, runner: 'r' } })
  }

  /** The grant request sent after a request has waited long enough. */
  requestGrant (tokens: number): Extract<BudgetAction, { kind: 'requestGrant' }> | undefined {
    return [...this.reserve('r1', tokens), ...this.pass(25)].find(action => action.kind === 'requestGrant')
  }

  grant (tokens: number): number {
    const answer = this.send({ kind: 'grantRequested', giftId: 'g', budget: 'b', tokens, to: 'other' }).find(action => action.kind === 'answerGrant')
    return answer?.tokens ?? 0
  }
}

const kinds = (actions: readonly BudgetAction[]): readonly string[] => actions.map(action => action.kind === 'refuse' ? action.failure.code : action.kind)

describe('grants between holders', () => {
  const grants: ReadonlyArray<{ readonly name: string, readonly prepare?: (holder: Holder) => void, readonly asked: number, readonly granted: number }> = [
    { name: 'the requested amount', asked: 3_000, granted: 3_000 },
    { name: 'no more than the last report allows', asked: 90_000, granted: ALLOWED },
    { name: 'only tokens that are not reserved', prepare: holder => { holder.reserve('local', 4_000) }, asked: 3_000, granted: 1_000 },
    { name: 'nothing while local requests wait', prepare: holder => { holder.reserve('local', 9_000) }, asked: 3_000, granted: 0 },
    { name: 'only tokens that were not granted before', prepare: holder => { holder.grant(4_500) }, asked: 3_000, granted: 500 },
    { name: 'nothing while draining', prepare: holder => { holder.send({ kind: 'drain' }) }, asked: 3_000, granted: 0 }
  ]
  for (const { name, prepare, asked, granted } of grants) {
    it(`a holder grants ${name}`, () => {
      const holder = new Holder('vm1~a')
      prepare?.(holder)
      expect(holder.grant(asked)).to.equal(granted)
    })
  }

  it('a holder bills granted tokens before it answers', () => {
    const holder = new Holder('vm1~a')
    holder.grant(3_000)
    const flush = holder.pass(200).find(action => action.kind === 'flush')
    expect(flush?.bills).to.deep.equal([{ requestId: 'g other', budget: 'b', team: 'b', tokens: 3_000, runner: '' }])
  })

  const requests: ReadonlyArray<{ readonly name: string, readonly over?: Partial<BudgetPolicy>, readonly tokens: number, readonly waitedMs: number, readonly asked: number | undefined }> = [
    { name: 'the missing tokens of a request that waited', tokens: 9_000, waitedMs: 20, asked: 4_000 },
    { name: 'nothing while the table may still answer', tokens: 9_000, waitedMs: 10, asked: undefined },
    { name: 'nothing if holders have no links', over: { grantAfterMs: undefined as never }, tokens: 9_000, waitedMs: 40, asked: undefined }
  ]
  for (const { name, over, tokens, waitedMs, asked } of requests) {
    it(`a holder requests ${name}`, () => {
      const holder = new Holder('vm1~a', over)
      const actions = [...holder.reserve('r1', tokens), ...holder.pass(waitedMs)]
      expect(actions.find(action => action.kind === 'requestGrant')?.tokens).to.equal(asked)
    })
  }

  it('a holder requests a grant immediately if its last report is old', () => {
    const holder = new Holder('vm1~a')
    holder.pass(600)
    expect(holder.reserve('r1', 9_000).find(action => action.kind === 'requestGrant')?.tokens).to.equal(4_000)
  })

  it('a request is admitted from granted tokens, and the unused ones serve the next request', () => {
    const holder = new Holder('vm1~a')
    const request = holder.requestGrant(9_000)
    const admitted = holder.send({ kind: 'grantAnswered', giftId: request?.giftId ?? '', budget: 'b', tokens: 4_000, isReached: true })
    holder.settle('r1', 1_000)
    const next = holder.reserve('r2', 8_000)
    expect([kinds(admitted), kinds(next)]).to.deep.equal([['admit'], ['admit']])
  })

  it('a holder passes on granted tokens before it grants from its allotment', () => {
    const holder = new Holder('vm1~a')
    const request = holder.requestGrant(9_000)
    holder.send({ kind: 'grantAnswered', giftId: request?.giftId ?? '', budget: 'b', tokens: 9_000, isReached: true })
    holder.settle('r1', 2_000)
    expect([holder.grant(8_000), holder.ledger.view('b')?.unsettled]).to.deep.equal([8_000, 1_000])
  })

  it('a request paid by grants alone does not use the local allotment', () => {
    const holder = new Holder('vm1~a')
    const request = holder.requestGrant(9_000)
    holder.send({ kind: 'grantAnswered', giftId: request?.giftId ?? '', budget: 'b', tokens: 9_000, isReached: true })
    holder.settle('r1', 9_000)
    expect(holder.ledger.view('b')).to.deep.include({ held: HELD, reserved: 0, unsettled: 0 })
  })

  const drains: ReadonlyArray<{ readonly name: string, readonly unresponsiveMs: number, readonly grantedBalance: number, readonly left: readonly number[] }> = [
    { name: 'nothing while the tokens can be returned to the table', unresponsiveMs: 0, grantedBalance: 0, left: [] },
    { name: 'its usable tokens if the table is unresponsive', unresponsiveMs: 600, grantedBalance: 0, left: [ALLOWED] },
    { name: 'granted tokens in any case', unresponsiveMs: 0, grantedBalance: 700, left: [700] }
  ]
  for (const { name, unresponsiveMs, grantedBalance, left } of drains) {
    it(`a draining holder hands over ${name}`, () => {
      const holder = new Holder('vm1~a')
      if (grantedBalance > 0) holder.send({ kind: 'handoverReceived', budget: 'b', tokens: grantedBalance })
      holder.pass(unresponsiveMs)
      const handovers = holder.send({ kind: 'drain' }).filter(action => action.kind === 'handOver')
      expect(handovers.map(({ tokens }) => tokens)).to.deep.equal(left)
    })
  }

  it('granted tokens may be used after the allotment was closed, and a request paid by them alone stays valid', () => {
    const holder = new Holder('vm1~a')
    holder.send({ kind: 'handoverReceived', budget: 'b', tokens: 9_000 })
    const flush = holder.pass(700).find(action => action.kind === 'flush')
    holder.send({ kind: 'flushAnswered', seq: flush?.seq ?? 0, outcome: { kind: 'closed', budgets: ['b'] } })
    const admitted = kinds(holder.reserve('r1', 9_000)).includes('admit')
    expect([admitted, holder.ledger.isValid('r1', holder.now), holder.ledger.isValid('r2', holder.now)]).to.deep.equal([true, true, false])
  })

  it('granted tokens are not used after the paid amount was lowered', () => {
    const holder = new Holder('vm1~a')
    holder.send({ kind: 'handoverReceived', budget: 'b', tokens: 9_000 })
    holder.send({ kind: 'paidChanged', budget: 'b', isLowered: true })
    expect([holder.grant(9_000), kinds(holder.reserve('r1', 9_000)).includes('admit')]).to.deep.equal([0, false])
  })

  it('an answer to a grant request that is not open adds nothing', () => {
    const holder = new Holder('vm1~a')
    const request = holder.requestGrant(9_000)
    holder.send({ kind: 'grantAnswered', giftId: request?.giftId ?? '', budget: 'b', tokens: 0, isReached: true })
    holder.send({ kind: 'grantAnswered', giftId: request?.giftId ?? '', budget: 'b', tokens: 9_000, isReached: true })
    expect(kinds(holder.reserve('r2', 9_000))).to.not.include('admit')
  })

  const retries: ReadonlyArray<{ readonly name: string, readonly granted: number | undefined, readonly retryAfterMs: number }> = [
    { name: 'another VM soon, if peers have not answered', granted: undefined, retryAfterMs: 20 },
    { name: 'any VM later, if peers granted too little', granted: 0, retryAfterMs: 1_000 }
  ]
  for (const { name, granted, retryAfterMs } of retries) {
    it(`a request refused for lack of tokens is advised to retry at ${name}`, () => {
      const holder = new Holder('vm1~a', { otherVmRetryMs: 20 })
      holder.pass(600)
      const request = holder.reserve('r1', 90_000).find(action => action.kind === 'requestGrant')
      const answered = granted === undefined ? [] : holder.send({ kind: 'grantAnswered', giftId: request?.giftId ?? '', budget: 'b', tokens: granted, isReached: true })
      const refused = [...answered, ...holder.pass(300)].find(action => action.kind === 'refuse')
      expect([refused?.failure.code, refused?.failure.retryAfterMs]).to.deep.equal(['budgetPending', retryAfterMs])
    })
  }

  it('a request is refused immediately if neither the table nor other holders have tokens', () => {
    const holder = new Holder('vm1~a')
    holder.pass(600)
    const request = holder.reserve('r1', 9_000).find(action => action.kind === 'requestGrant')
    const answered = holder.send({ kind: 'grantAnswered', giftId: request?.giftId ?? '', budget: 'b', tokens: 0, isReached: true })
    expect(kinds(answered)).to.include('budgetUnreported')
  })

  /**
   * Three holders without access to the table. Messages between them are lost or duplicated, requests bill all they reserved,
   * and any holder may terminate. Less than a second passes, so that allowances do not grow: all admitted tokens must stay
   * within the amount that recovery would bill for the three.
   */
  it('no order of messages, losses and terminations spends a token twice', () => {
    const step = fc.record({ holder: fc.nat(2), granter: fc.nat(2), tokens: fc.integer({ min: 1, max: 9_000 }), fate: fc.constantFrom('arrives', 'lost', 'answerLost', 'doubled', 'ends'), settles: fc.boolean() })
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => {
      const holders = ['vm1~a', 'vm2~a', 'vm3~a'].map(name => new Holder(name))
      const ended = new Set<number>()
      let used = 0
      steps.forEach(({ holder: index, granter, tokens, fate, settles }, number) => {
        const holder = holders[index]!
        if (ended.has(index)) return
        const emitted = [...holder.reserve(`r${number}`, tokens), ...holder.pass(25)]
        used += admittedTokens(emitted, steps)
        const request = emitted.find(action => action.kind === 'requestGrant')
        const isAnswered = request !== undefined && fate !== 'lost' && !ended.has(granter) && granter !== index
        const granted = isAnswered ? holders[granter]!.grant(request.tokens) : 0
        if (request !== undefined) {
          const answer = { kind: 'grantAnswered' as const, giftId: request.giftId, budget: 'b', tokens: fate === 'answerLost' ? 0 : granted, isReached: true }
          const answers = fate === 'doubled' ? [answer, answer] : [answer]
          for (const event of answers) used += admittedTokens(holder.send(event), steps)
        }
        if (settles) holder.settle(`r${number}`, tokens)
        if (fate === 'ends') ended.add(index)
      })
      return used <= holders.length * ALLOWED
    }), { seed: 7, numRuns: 300 })
  })
})

/** Total tokens of the admitted requests; the reservation id contains the number of its step. */
function admittedTokens (actions: readonly BudgetAction[], steps: ReadonlyArray<{ readonly tokens: number }>): number {
  return actions.reduce((sum, action) => action.kind === 'admit' ? sum + (steps[Number(action.reservationId.slice(1))]?.tokens ?? 0) : sum, 0)
}
