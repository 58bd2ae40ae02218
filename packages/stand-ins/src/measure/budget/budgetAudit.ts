/**
 * Verifies a budget run: compares the run records of the engines with the final rows of the table.
 */
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { allotmentRowSchema, budgetRowSchema, segmentRowSchema, type Bill } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { BudgetHarness } from './budgetHarness.js'

function allBills (harness: BudgetHarness): readonly Bill[] {
  return harness.state.all(budgetTables.segments).flatMap(row => segmentRowSchema.parse(row.value).bills)
}

function auditBills (harness: BudgetHarness): readonly string[] {
  const violations: string[] = []
  const billed = new Map<string, Bill>()
  for (const bill of allBills(harness)) {
    if (billed.has(bill.requestId)) violations.push(`${bill.requestId} is billed twice`)
    billed.set(bill.requestId, bill)
  }
  for (const record of harness.engines.all()) {
    const bill = billed.get(record.requestId)
    if (bill === undefined) violations.push(`${record.requestId} of ${record.holder} is not billed`)
    else if (bill.tokens !== record.promptTokens) violations.push(`${record.requestId} is billed ${bill.tokens} tokens instead of ${record.promptTokens}`)
    billed.delete(record.requestId)
  }
  for (const id of billed.keys()) violations.push(`${id} is billed but did not run`)
  return violations
}

/** Tokens used beyond what was paid, summed over all budgets. */
export function overspend (harness: BudgetHarness): number {
  const used = new Map<string, number>()
  for (const record of harness.engines.all()) used.set(record.budget, (used.get(record.budget) ?? 0) + record.promptTokens)
  let overspent = 0
  for (const [budget, tokens] of used) {
    const row = harness.state.read([{ table: budgetTables.budgets, key: budget }]).rows[0]
    const paid = row === null || row === undefined ? 0 : budgetRowSchema.parse(row.value).paid
    overspent += Math.max(0, tokens - paid)
  }
  return overspent
}

/** Lists all violations at the end of a run in which all faults healed and all VMs drained or were recovered. */
export function auditBudgets (harness: BudgetHarness): readonly string[] {
  const violations = [...auditBills(harness)]
  const overspent = overspend(harness)
  if (overspent > 0) violations.push(`${overspent} tokens overspent`)
  for (const row of harness.state.all(budgetTables.budgets)) {
    const { budget, paid, spent, allotted } = budgetRowSchema.parse(row.value)
    const billed = allBills(harness).filter(bill => bill.budget === budget).reduce((sum, bill) => sum + bill.tokens, 0)
    if (spent + allotted > paid) violations.push(`${budget} is overcommitted`)
    if (allotted !== 0) violations.push(`${allotted} tokens of ${budget} are stranded`)
    if (spent !== billed) violations.push(`${budget} has ${spent} spent but ${billed} billed`)
  }
  for (const row of harness.state.all(budgetTables.allotments)) {
    const { budget, holder, held, state } = allotmentRowSchema.parse(row.value)
    if (state === 'open') violations.push(`${holder} still has an allotment of ${held} in ${budget}`)
  }
  return violations
}
