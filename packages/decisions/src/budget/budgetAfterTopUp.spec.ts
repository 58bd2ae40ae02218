/**
 * Guards against a holder that keeps refusing a spent or unknown budget after a top-up.
 */
import { expect } from 'chai'
import { BudgetLedger } from './budgetLedger.js'
import { defaultBudgetPolicy } from './budgetPolicy.js'
import type { BudgetAction, BudgetEvent, DrawOutcome } from './budgetTypes.js'

const TICK_MS = 200
/** Maximum delay until a top-up is noticed. */
const MAX_TOP_UP_DELAY_MS = 1_000
const sentAt = { mono: 0, wall: 0 }

const cases: ReadonlyArray<{ title: string, first: DrawOutcome, code: string }> = [
  { title: 'unknown', first: { kind: 'unknownBudget' }, code: 'budgetUnknown' },
  { title: 'spent', first: { kind: 'short', left: 0, elsewhere: 0, unspent: 0, sentAt }, code: 'budgetSpent' }
]

describe('a budget after its top-up', () => {
  for (const { title, first, code } of cases) {
    it(`is served again by a holder that found it ${title}`, () => {
      const ledger = new BudgetLedger('vm1~a', defaultBudgetPolicy)
      let mono = 0
      let outcome = first
      const results: string[] = []
      const send = (event: BudgetEvent): void => {
        const now = { mono, wall: mono }
        for (const action of ledger.handle(event, now)) carryOut(action)
      }
      const carryOut = (action: BudgetAction): void => {
        if (action.kind === 'admit') results.push('admit')
        if (action.kind === 'refuse') results.push(action.failure.code)
        if (action.kind === 'draw') send({ kind: 'drawAnswered', drawId: action.drawId, outcome })
        if (action.kind === 'requestTransfer') send({ kind: 'transferAnswered', transferId: action.transferId })
        if (action.kind === 'recall') send({ kind: 'recallAnswered', recallId: action.recallId, returned: 0 })
      }
      const reserve = (id: string): void => send({ kind: 'reserve', reservationId: id, budget: 'b', tokens: 100, giveUpAfterMs: 3000 })
      const pass = (ms: number): void => {
        for (const end = mono + ms; mono < end;) {
          mono += TICK_MS
          send({ kind: 'tick' })
        }
      }
      reserve('r1')
      reserve('r2')
      expect(results).to.deep.equal([code, code])
      outcome = { kind: 'granted', tokens: 10_000, left: 0, sentAt }
      pass(MAX_TOP_UP_DELAY_MS)
      reserve('r3')
      expect(results).to.deep.equal([code, code, 'admit'])
    })
  }
})
