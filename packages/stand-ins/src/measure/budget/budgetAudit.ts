/**
 * Verifies a budget run: compares the run records of the engines with the final rows of the table.
 */
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { allotmentRowSchema, budgetRowSchema, segmentRowSchema, type Bill } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { BudgetWorld } from './budgetWorld.js'

function billsOf (world: BudgetWorld): readonly Bill[] {
  return world.state.all(budgetTables.segments).flatMap(row => segmentRowSchema.parse(row.value).bills)
}

function auditBills (world: BudgetWorld): readonly string[] {
  const mistakes: string[] = []
  const billed = new Map<string, Bill>()
  for (const bill of billsOf(world)) {
    if (billed.has(bill.requestId)) mistakes.push(`${bill.requestId} is billed twice`)
    billed.set(bill.requestId, bill)
  }
  for (const record of world.engines.all()) {
    const bill = billed.get(record.requestId)
    if (bill === undefined) mistakes.push(`${record.requestId} of ${record.holder} is not billed`)
    else if (bill.tokens !== record.promptTokens) mistakes.push(`${record.requestId} is billed ${bill.tokens} in place of ${record.promptTokens}`)
    billed.delete(record.requestId)
  }
  for (const id of billed.keys()) mistakes.push(`${id} is billed but did not run`)
  return mistakes
}

/** Tokens used beyond what was paid, summed over all budgets. */
export function overspend (world: BudgetWorld): number {
  const used = new Map<string, number>()
  for (const record of world.engines.all()) used.set(record.budget, (used.get(record.budget) ?? 0) + record.promptTokens)
  let over = 0
  for (const [budget, tokens] of used) {
    const row = world.state.read([{ table: budgetTables.budgets, key: budget }]).rows[0]
    const paid = row === null || row === undefined ? 0 : budgetRowSchema.parse(row.value).paid
    over += Math.max(0, tokens - paid)
  }
  return over
}

/** Lists all violations at the end of a run in which all faults healed and all VMs drained or were recovered. */
export function auditBudgets (world: BudgetWorld): readonly string[] {
  const mistakes = [...auditBills(world)]
  const over = overspend(world)
  if (over > 0) mistakes.push(`${over} tokens overspent`)
  for (const row of world.state.all(budgetTables.budgets)) {
    const { budget, paid, spent, allotted } = budgetRowSchema.parse(row.value)
    const billed = billsOf(world).filter(bill => bill.budget === budget).reduce((sum, bill) => sum + bill.tokens, 0)
    if (spent + allotted > paid) mistakes.push(`${budget} is overcommitted`)
    if (allotted !== 0) mistakes.push(`${allotted} tokens of ${budget} are stranded`)
    if (spent !== billed) mistakes.push(`${budget} has ${spent} spent but ${billed} billed`)
  }
  for (const row of world.state.all(budgetTables.allotments)) {
    const { budget, holder, held, state } = allotmentRowSchema.parse(row.value)
    if (state === 'open') mistakes.push(`${holder} still has an allotment of ${held} in ${budget}`)
  }
  return mistakes
}
