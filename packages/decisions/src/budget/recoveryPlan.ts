/**
 * Recovery of holders that ended: what is owed for their runs is billed from what they held, and
 * the rest goes back to the budget. All ended holders of one failure domain are closed together
 * for a budget, because tokens that one gave may have been spent by another before either could
 * record the transfer.
 */
import { Right, type Either } from 'purify-ts'
import type { Failure } from '../codes/failure.js'
import { allotmentKey, budgetTables, holdingKey, recoveredSegmentKey } from './budgetKeys.js'
import { allotmentOf, budgetOf, putAllotment, putBudget } from './budgetPlans.js'
import { applyClose, fold } from './budgetRows.js'
import type { Bill } from './budgetTypes.js'
import type { PlanKey, RowSet } from './rowSet.js'

/** An allotment to be closed, at the version on which the decision was made. */
export interface ClosingAllotment {
  readonly holder: string
  readonly version: number
}

/** A bill and the ended holder that owed it. */
export interface OwedBill {
  readonly holder: string
  readonly bill: Bill
}

/** What is recovered for one budget. */
export interface RecoveryOrder {
  readonly budget: string
  readonly closing: readonly ClosingAllotment[]
  /** Runs of ended holders of the domain that no segment has billed. */
  readonly owed: readonly OwedBill[]
}

/** What a recovery comes to; `moved` when a row changed since the decision, which has to be made anew. */
export type RecoveryPlan =
  | { readonly kind: 'write', readonly billed: number, readonly returned: number }
  | { readonly kind: 'moved' }

/**
 * Rows that a recovery reads.
 * @param order - the recovery
 */
export function recoveryKeys (order: RecoveryOrder): readonly PlanKey[] {
  return [
    { table: budgetTables.budgets, key: order.budget },
    ...order.closing.map(item => ({ table: budgetTables.allotments, key: allotmentKey(order.budget, item.holder) }))
  ]
}

/** Bills never exceed what was held: a runner that reports more than its cap does not overspend the team. */
function clip (owed: readonly OwedBill[], held: number): readonly OwedBill[] {
  let left = held
  return owed.map(({ holder, bill }) => {
    const tokens = Math.min(bill.tokens, left)
    left -= tokens
    return { holder, bill: { ...bill, tokens } }
  })
}

function putSegments (rows: RowSet, order: RecoveryOrder, owed: readonly OwedBill[], version: number): void {
  const byHolder = new Map<string, Bill[]>()
  for (const { holder, bill } of owed) byHolder.set(holder, [...byHolder.get(holder) ?? [], bill])
  for (const [holder, bills] of byHolder) {
    rows.set(budgetTables.segments, recoveredSegmentKey(holder, order.budget, version), { holder, seq: 0, bills })
  }
}

/**
 * Plans a recovery.
 * @param rows - rows of {@link recoveryKeys}
 * @param order - the recovery
 */
export function planRecovery (rows: RowSet, order: RecoveryOrder): Either<Failure, RecoveryPlan> {
  const budget = budgetOf(rows, order.budget)
  const isMoved = order.closing.some(item =>
    rows.version(budgetTables.allotments, allotmentKey(order.budget, item.holder)) !== item.version)
  if (budget === undefined || isMoved || order.closing.length === 0) return Right({ kind: 'moved' })
  const allotments = order.closing.flatMap(item => allotmentOf(rows, order.budget, item.holder) ?? [])
  const held = allotments.reduce((sum, row) => sum + row.held, 0)
  const owed = clip(order.owed, held)
  const billed = owed.reduce((sum, item) => sum + item.bill.tokens, 0)
  return applyClose(budget, allotments, billed).map(after => {
    putBudget(rows, after.budget)
    for (const row of after.allotments) putAllotment(rows, row)
    putSegments(rows, order, owed, rows.version(budgetTables.budgets, order.budget) ?? 0)
    return { kind: 'write', billed, returned: held - billed }
  })
}

/** What retiring comes to; `kept` when tokens are still held. */
export interface RetirePlan {
  readonly kind: 'write' | 'kept' | 'done'
}

/**
 * Removes the empty allotment of a holder that drained.
 * @param rows - budget row and allotment row
 * @param budgetId - budget id
 * @param holder - holder id
 */
export function planRetire (rows: RowSet, budgetId: string, holder: string): Either<Failure, RetirePlan> {
  const budget = budgetOf(rows, budgetId)
  const allotment = allotmentOf(rows, budgetId, holder)
  if (budget === undefined || allotment === undefined) return Right({ kind: 'done' })
  if (allotment.held > 0) return Right({ kind: 'kept' })
  putBudget(rows, fold({ budget, allotment }).budget)
  rows.set(budgetTables.allotments, allotmentKey(budgetId, holder), null)
  rows.set(budgetTables.holdings, holdingKey(holder, budgetId), null)
  return Right({ kind: 'write' })
}
