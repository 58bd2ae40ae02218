/**
 * Arithmetic of budget rows: single operations, and any order of them.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import type { Either } from 'purify-ts'
import type { Failure } from '../codes/failure.js'
import { applyClose, applyDraw, applyReturn, applySettle, applyTopUp, applyTransfer, emptyAllotment, type RowPair } from './budgetRows.js'
import type { AllotmentRow, BudgetRow } from './budgetTypes.js'

const budget: BudgetRow = { budget: 'b', paid: 100, spent: 10, allotted: 40 }
const allotment: AllotmentRow = { ...emptyAllotment('b', 'vm1~a', 'd'), held: 30, settled: 10 }
const other: AllotmentRow = { ...emptyAllotment('b', 'vm2~a', 'd') }
const closed: AllotmentRow = { ...allotment, state: 'closed' }
const pair: RowPair = { budget, allotment }

function codeOf (result: Either<Failure, unknown>): string {
  return result.caseOf({ Left: failure => failure.code, Right: () => 'ok' })
}

describe('budget rows', () => {
  const transfer = (tokens: number): Parameters<typeof applyTransfer>[1] => ({ transferId: 't', budget: 'b', from: 'vm1~a', to: 'vm2~a', tokens })
  const cases: ReadonlyArray<readonly [string, Either<Failure, unknown>, string]> = [
    ['draws all unallotted tokens', applyDraw(pair, 50, 'd1'), 'ok'],
    ['draws no more than is unallotted', applyDraw(pair, 51, 'd1'), 'internal'],
    ['draws no negative amount', applyDraw(pair, -1, 'd1'), 'amountInvalid'],
    ['draws no fraction', applyDraw(pair, 0.5, 'd1'), 'amountInvalid'],
    ['draws nothing into a closed row', applyDraw({ budget, allotment: closed }, 1, 'd1'), 'allotmentClosed'],
    ['settles the whole allotment', applySettle(allotment, 30), 'ok'],
    ['settles no more than the allotment', applySettle(allotment, 31), 'internal'],
    ['settles no huge amount', applySettle(allotment, 1e300), 'amountInvalid'],
    ['settles nothing against a closed row', applySettle(closed, 1), 'allotmentClosed'],
    ['returns the whole allotment', applyReturn(pair, 30), 'ok'],
    ['returns no more than the allotment', applyReturn(pair, 31), 'internal'],
    ['tops up', applyTopUp(budget, 'b', 1), 'ok'],
    ['tops up a new budget', applyTopUp(undefined, 'b', 1), 'ok'],
    ['lowers to the committed amount', applyTopUp(budget, 'b', -50), 'ok'],
    ['lowers no further', applyTopUp(budget, 'b', -51), 'budgetBelowCommitted'],
    ['tops up no missing amount', applyTopUp(budget, 'b', undefined as unknown as number), 'amountInvalid'],
    ['transfers the whole allotment', applyTransfer({ sender: allotment, receiver: other }, transfer(30)), 'ok'],
    ['transfers no more than the allotment', applyTransfer({ sender: allotment, receiver: other }, transfer(31)), 'internal'],
    ['transfers nothing from a closed row', applyTransfer({ sender: closed, receiver: other }, transfer(1)), 'allotmentClosed'],
    ['transfers nothing to another domain', applyTransfer({ sender: allotment, receiver: { ...other, domain: 'e' } }, transfer(1)), 'internal'],
    ['closes with the whole allotment owed', applyClose(budget, [allotment], 30), 'ok'],
    ['closes with no more owed than the allotment', applyClose(budget, [allotment], 31), 'internal'],
    ['closes no row twice', applyClose(budget, [closed], 0), 'allotmentClosed']
  ]
  for (const [title, result, code] of cases) {
    it(title, () => expect(codeOf(result)).to.equal(code))
  }
})

/** An operation on a random holder with an unchecked amount. */
const operation = fc.record({ kind: fc.constantFrom('draw', 'settle', 'return', 'transfer', 'topUp', 'close'), holder: fc.nat({ max: 2 }), tokens: fc.integer({ min: -20, max: 200 }) })
type Operation = typeof operation extends fc.Arbitrary<infer T> ? T : never

interface Rows {
  budget: BudgetRow
  allotments: AllotmentRow[]
}

type Apply = (rows: Rows, operation: Operation) => Rows

const guarded: Apply = (rows, { kind, holder, tokens }) => {
  const row = rows.allotments[holder] ?? other
  const put = (after: AllotmentRow, index = holder): AllotmentRow[] => rows.allotments.map((item, at) => at === index ? after : item)
  const both = (result: Either<Failure, RowPair>): Rows =>
    result.map(after => ({ budget: after.budget, allotments: put(after.allotment) })).orDefault(rows)
  const next = (holder + 1) % 3
  switch (kind) {
    case 'draw': return both(applyDraw({ budget: rows.budget, allotment: row }, tokens, 'd'))
    case 'return': return both(applyReturn({ budget: rows.budget, allotment: row }, tokens))
    case 'settle': return applySettle(row, tokens).map(after => ({ ...rows, allotments: put(after) })).orDefault(rows)
    case 'topUp': return applyTopUp(rows.budget, 'b', tokens).map(after => ({ ...rows, budget: after })).orDefault(rows)
    case 'close': return applyClose(rows.budget, [row], tokens)
      .map(after => ({ budget: after.budget, allotments: put(after.allotments[0] ?? row) })).orDefault(rows)
    default: return applyTransfer({ sender: row, receiver: rows.allotments[next] ?? other }, { transferId: 't', budget: 'b', from: '', to: '', tokens })
      .map(after => ({ ...rows, allotments: rows.allotments.map((item, at) => at === holder ? after.sender : at === next ? after.receiver : item) })).orDefault(rows)
  }
}

/** Counterexample: trusts any reported amount. */
const unguarded: Apply = (rows, operation) => {
  if (operation.kind !== 'settle') return guarded(rows, operation)
  const allotments = rows.allotments.map((row, at) => at === operation.holder ? { ...row, held: row.held - operation.tokens, settled: row.settled + operation.tokens } : row)
  return { ...rows, allotments }
}

function isSound ({ budget, allotments }: Rows): boolean {
  const held = allotments.reduce((sum, row) => sum + row.held + row.settled, 0)
  return budget.spent + budget.allotted <= budget.paid && held === budget.allotted && allotments.every(row => row.held >= 0 && row.settled >= 0)
}

function alwaysSound (apply: Apply): fc.IProperty<[Operation[]]> {
  return fc.property(fc.array(operation, { maxLength: 40 }), operations => {
    let rows: Rows = { budget: { budget: 'b', paid: 0, spent: 0, allotted: 0 }, allotments: [0, 1, 2].map(index => emptyAllotment('b', `vm${index}~a`, 'd')) }
    for (const item of operations) {
      rows = apply(rows, item)
      if (!isSound(rows)) return false
    }
    return true
  })
}

describe('budget rows in any order', () => {
  it('preserve spent + allotted <= paid, and allotted equal to the sum of the allotment rows', () => {
    fc.assert(alwaysSound(guarded), { seed: 4, numRuns: 2000 })
  })

  it('do not preserve it when amounts are unchecked', () => {
    expect(fc.check(alwaysSound(unguarded), { seed: 4, numRuns: 2000 }).failed).to.equal(true)
  })
})
