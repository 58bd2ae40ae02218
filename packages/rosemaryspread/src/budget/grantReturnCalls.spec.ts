/**
 * Guards against a message for each budget that is handed back, and against tokens that are kept here although an owner may have
 * accepted them.
 */
import { expect } from 'chai'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { GrantedTokens } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import { GrantReturnCalls, HAND_BACK_METHOD, handBackMethod } from './grantReturnCalls.js'

type Fate = 'takes' | 'refuses' | 'silent'

const cases: ReadonlyArray<{ readonly name: string, readonly owners: Readonly<Record<string, readonly string[]>>, readonly fates?: Readonly<Record<string, Fate>>, readonly calls: ReadonlyArray<readonly [string, readonly string[]]>, readonly kept: readonly string[] }> = [
  { name: 'all budgets of one owner in one call', owners: { b1: ['o1'], b2: ['o1'], b3: ['o1'] }, calls: [['o1', ['b1', 'b2', 'b3']]], kept: [] },
  { name: 'most budgets to the owner that has most of them', owners: { b1: ['o1', 'o2'], b2: ['o2', 'o3'], b3: ['o3'] }, calls: [['o2', ['b1', 'b2']], ['o3', ['b3']]], kept: [] },
  { name: 'nothing for a budget without an owner that accepts it', owners: { b1: [], b2: ['o1'] }, calls: [['o1', ['b2']]], kept: ['b1'] },
  { name: 'nothing to an owner without a connection', owners: { b1: ['o1'], b2: ['o2'] }, fates: { o1: 'refuses' }, calls: [['o1', ['b1']], ['o2', ['b2']]], kept: ['b1'] },
  { name: 'tokens that an owner may have accepted only once', owners: { b1: ['o1'] }, fates: { o1: 'silent' }, calls: [['o1', ['b1']]], kept: [] }
]

describe('GrantReturnCalls', () => {
  for (const { name, owners, fates = {}, calls, kept } of cases) {
    it(`hands back ${name}`, async () => {
      const sent: Array<readonly [string, readonly string[]]> = []
      const answerOf: Record<Fate, Either<Failure, unknown>> = {
        takes: Right({ short: [] }),
        refuses: Left(new Failure('peerUnreachable', 'connection refused', { ran: 'no' })),
        silent: Left(new Failure('peerUnreachable', 'no answer', { ran: 'unknown' }))
      }
      const returns = new GrantReturnCalls({
        call: async (address, method, params) => {
          expect(method).to.equal(HAND_BACK_METHOD)
          sent.push([address, (params as { grants: GrantedTokens[] }).grants.map(({ budget }) => budget)])
          return answerOf[fates[address] ?? 'takes']
        }
      })
      const grants = Object.keys(owners).map(budget => ({ budget, tokens: 5 }))
      const left = await returns.handBack(grants, budget => (owners[budget] ?? []).map(owner => ({ holder: owner, address: owner })))
      expect([sent, left.kept.map(({ budget }) => budget)]).to.deep.equal([calls, kept])
    })
  }

  it('accepts all tokens of a message, and nothing of a malformed one', async () => {
    const accepted: Array<readonly [string, number]> = []
    const serve = handBackMethod(grants => {
      for (const { budget, tokens } of grants) accepted.push([budget, tokens])
      return { short: [] }
    })
    await serve({ grants: [{ budget: 'b1', tokens: 5 }, { budget: 'b2', tokens: 7 }] }, 'v')
    const failed = await serve({ grants: [{ budget: 'b1', tokens: 5 }, { budget: 'b2', tokens: -7 }] }, 'v').then(() => false, () => true)
    expect([accepted, failed]).to.deep.equal([[['b1', 5], ['b2', 7]], true])
  })
})
