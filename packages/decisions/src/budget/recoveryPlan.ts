/**
 * Recovery of terminated holders: bills what their runs owe from their allotments and returns the rest to the budget. All
 * terminated holders of one failure domain are closed together for a budget, because tokens that one transferred may have been
 * spent by another before either recorded the transfer.
 */
import { Right, type Either } from 'purify-ts'
import type { Failure } from '../codes/failure.js'
import { allotmentKey, budgetTables, holdingKey, recoveredSegmentKey } from './budgetKeys.js'
import { allotmentOf, budgetOf, putAllotment, putBudget } from './budgetPlans.js'
import { applyClose, foldSettled } from './budgetRows.js'
import type { Bill } from './budgetTypes.js'
import type { PlanKey, RowSet } from './rowSet.js'

/** An allotment to close, at the row version on which the decision is based. */
export interface ClosingAllotment {
  readonly holder: string
  readonly version: number
}

/** A bill and the terminated holder that owes it. */
export interface OwedBill {
  readonly holder: string
  readonly bill: Bill
}

/** Recovery of one budget. */
export interface RecoveryRequest {
  readonly budget: string
  readonly closing: readonly ClosingAllotment[]
  /** Runs of terminated holders of the domain that are not billed in a segment. */
  readonly owed: readonly OwedBill[]
}

/** Result of planning a recovery; `stale` if a row changed since the decision, which has to be repeated. */
export type RecoveryPlan =
  | { readonly kind: 'write', readonly billed: number, readonly returned: number }
  | { readonly kind: 'stale' }

/** Rows that a recovery reads. */
export function recoveryKeys (request: RecoveryRequest): readonly PlanKey[] {
  return [
    { table: budgetTables.budgets, key: request.budget },
    ...request.closing.map(item => ({ table: budgetTables.allotments, key: allotmentKey(request.budget, item.holder) }))
  ]
}

/** Limits bills to the allotment: a runner that reports more than its cap does not overspend the budget of the team. */
function clipToAllotment (owed: readonly OwedBill[], held: number): readonly OwedBill[] {
  let left = held
  return owed.map(({ holder, bill }) => {
    const tokens = Math.min(bill.tokens, left)
    left -= tokens
    return { holder, bill: { ...bill, tokens } }
  })
}

function putSegments (rows: RowSet, request: RecoveryRequest, owed: readonly OwedBill[], version: number): void {
  const byHolder = new Map<string, Bill[]>()
  for (const { holder, bill } of owed) byHolder.set(holder, [...byHolder.get(holder) ?? [], bill])
  for (const [holder, bills] of byHolder) {
    rows.set(budgetTables.segments, recoveredSegmentKey(holder, request.budget, version), { holder, seq: 0, bills })
  }
}

/**
 * Plans a recovery.
 * @param rows - rows of {@link recoveryKeys}
 */
export function planRecovery (rows: RowSet, request: RecoveryRequest): Either<Failure, RecoveryPlan> {
  const budget = budgetOf(rows, request.budget)
  const isStale = request.closing.some(item =>
    rows.version(budgetTables.allotments, allotmentKey(request.budget, item.holder)) !== item.version)
  if (budget === undefined || isStale || request.closing.length === 0) return Right({ kind: 'stale' })
  const allotments = request.closing.flatMap(item => allotmentOf(rows, request.budget, item.holder) ?? [])
  const held = allotments.reduce((sum, row) => sum + row.held, 0)
  const owed = clipToAllotment(request.owed, held)
  const billed = owed.reduce((sum, item) => sum + item.bill.tokens, 0)
  return applyClose(budget, allotments, billed).map(after => {
    putBudget(rows, after.budget)
    for (const row of after.allotments) putAllotment(rows, row)
    putSegments(rows, request, owed, rows.version(budgetTables.budgets, request.budget) ?? 0)
    return { kind: 'write', billed, returned: held - billed }
  })
}

/** Result of removing an allotment; `notEmpty` if tokens are still allotted. */
export interface AllotmentRemovalPlan {
  readonly kind: 'write' | 'notEmpty' | 'done'
}

/**
 * Removes the empty allotment of a drained holder.
 * @param rows - budget row and allotment row
 */
export function planAllotmentRemoval (rows: RowSet, budgetId: string, holder: string): Either<Failure, AllotmentRemovalPlan> {
  const budget = budgetOf(rows, budgetId)
  const allotment = allotmentOf(rows, budgetId, holder)
  if (budget === undefined || allotment === undefined) return Right({ kind: 'done' })
  if (allotment.held > 0) return Right({ kind: 'notEmpty' })
  putBudget(rows, foldSettled({ budget, allotment }).budget)
  rows.set(budgetTables.allotments, allotmentKey(budgetId, holder), null)
  rows.set(budgetTables.holdings, holdingKey(holder, budgetId), null)
  return Right({ kind: 'write' })
}
