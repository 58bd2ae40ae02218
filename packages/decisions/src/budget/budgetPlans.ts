/**
 * Transactions for draws and top-ups: from the rows as read to the rows to be written. A draw and
 * a top-up are known by id, so that one whose answer was lost is found to have taken effect.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '../codes/failure.js'
import { allotmentKey, budgetTables, holderKey, holdingKey } from './budgetKeys.js'
import { grantTokens } from './budgetPolicy.js'
import { applyDeclared, applyDraw, applyTopUp, emptyAllotment, unallotted } from './budgetRows.js'
import { allotmentRowSchema, budgetRowSchema, topUpRowSchema, type AllotmentRow, type BudgetRow, type DeclaredPaid, type ReportRow, type TopUpRow } from './budgetTypes.js'
import type { PlanKey, RowSet } from './rowSet.js'

/** Who draws. */
export interface Drawer {
  readonly holder: string
  readonly domain: string
  /** Number of VMs that may draw on the budget. */
  readonly holders: number
  readonly shareDivisor: number
}

/** What is drawn. */
export interface DrawOrder {
  readonly drawId: string
  readonly budget: string
  readonly tokens: number
  /** Needed now by all that wait; 0 for a draw ahead of need. */
  readonly atLeast: number
  /** Smallest useful amount; `atLeast` when absent. */
  readonly least?: number
  /** Opens a row that was closed, or removed after it was closed. */
  readonly reopen?: boolean
  /** Whether the holder counts on a row it wrote before. */
  readonly expectsRow?: boolean
  /** What the configuration of the drawing VM says was paid, where it says so. */
  readonly declared?: DeclaredPaid
  /** What the holder may use without telling from now on; absent where the row has a report already. */
  readonly report?: ReportRow
}

/** What a draw comes to. */
export type DrawPlan =
  /** The rows are changed in the row set; send it. */
  | { readonly kind: 'write', readonly tokens: number, readonly left: number, readonly spent: number }
  /** The draw took effect earlier. */
  | { readonly kind: 'done', readonly tokens: number, readonly left: number }
  /** Too little is left. The budget row is changed all the same when the declared amount was new. */
  | { readonly kind: 'short', readonly left: number, readonly isRowChanged?: true }
  | { readonly kind: 'unknownBudget' }
  | { readonly kind: 'closed' }

/** Least part of the wanted amount for which a draw ahead of need is worth a write. */
const LEAST_AHEAD_PART = 1 / 16

/**
 * Rows that a draw reads.
 * @param holder - holder id
 * @param budget - budget id
 */
export function drawKeys (holder: string, budget: string): readonly PlanKey[] {
  return [
    { table: budgetTables.budgets, key: budget },
    { table: budgetTables.allotments, key: allotmentKey(budget, holder) }
  ]
}

/**
 * The budget row of a row set.
 * @param rows - the row set
 * @param budget - budget id
 */
export function budgetOf (rows: RowSet, budget: string): BudgetRow | undefined {
  return rows.get(budgetRowSchema, budgetTables.budgets, budget)
}

/**
 * The allotment row of a holder.
 * @param rows - the row set
 * @param budget - budget id
 * @param holder - holder id
 */
export function allotmentOf (rows: RowSet, budget: string, holder: string): AllotmentRow | undefined {
  return rows.get(allotmentRowSchema, budgetTables.allotments, allotmentKey(budget, holder))
}

/**
 * Puts an allotment row into a row set. With a new one go its index row and the register row of
 * its holder, so that recovery always finds it.
 * @param rows - the row set
 * @param row - new value
 */
export function putAllotment (rows: RowSet, row: AllotmentRow): void {
  if (rows.version(budgetTables.allotments, allotmentKey(row.budget, row.holder)) === null) {
    const { holder, domain, budget } = row
    rows.set(budgetTables.holdings, holdingKey(holder, budget), { holder, budget })
    rows.set(budgetTables.holders, holderKey(domain, holder), { holder, domain })
  }
  rows.set(budgetTables.allotments, allotmentKey(row.budget, row.holder), row)
}

/**
 * Puts a budget row into a row set.
 * @param rows - the row set
 * @param row - new value
 */
export function putBudget (rows: RowSet, row: BudgetRow): void {
  rows.set(budgetTables.budgets, row.budget, row)
}

function worthDrawing (granted: number, order: DrawOrder): boolean {
  if (granted === 0 || granted < (order.least ?? order.atLeast)) return false
  return order.atLeast > 0 || granted >= order.tokens * LEAST_AHEAD_PART
}

/**
 * Plans a draw.
 * @param rows - rows of {@link drawKeys}
 * @param order - what is drawn
 * @param drawer - who draws
 */
export function planDraw (rows: RowSet, order: DrawOrder, drawer: Drawer): Either<Failure, DrawPlan> {
  const stored = budgetOf(rows, order.budget)
  const budget = order.declared === undefined ? stored : applyDeclared(stored, order.budget, order.declared)
  if (budget === undefined) return Right({ kind: 'unknownBudget' })
  const found = allotmentOf(rows, order.budget, drawer.holder)
  const fresh = emptyAllotment(order.budget, drawer.holder, drawer.domain)
  const isGone = found === undefined ? order.expectsRow === true : found.state === 'closed'
  if (isGone && order.reopen !== true) return Right({ kind: 'closed' })
  const allotment = found?.state === 'closed' ? { ...fresh, lastSeq: found.lastSeq } : found ?? fresh
  const left = unallotted(budget)
  if (allotment.lastDraw?.drawId === order.drawId) return Right({ kind: 'done', tokens: allotment.lastDraw.tokens, left })
  const granted = grantTokens(order.tokens, order.atLeast, left, drawer.holders, drawer.shareDivisor)
  if (!worthDrawing(granted, order)) {
    if (budget === stored) return Right({ kind: 'short', left })
    putBudget(rows, budget)
    return Right({ kind: 'short', left, isRowChanged: true })
  }
  return applyDraw({ budget, allotment }, granted, order.drawId).map(pair => {
    putBudget(rows, pair.budget)
    putAllotment(rows, order.report === undefined ? pair.allotment : { ...pair.allotment, report: order.report })
    return { kind: 'write', tokens: granted, left: unallotted(pair.budget), spent: pair.budget.spent }
  })
}

/**
 * Rows that a top-up reads.
 * @param operationId - id of the operation
 * @param budget - budget id
 */
export function topUpKeys (operationId: string, budget: string): readonly PlanKey[] {
  return [
    { table: budgetTables.topUps, key: operationId },
    { table: budgetTables.budgets, key: budget }
  ]
}

/** What a top-up comes to. */
export type TopUpPlan = { readonly kind: 'write' | 'done' }

/**
 * Plans a top-up or, with negative tokens, the lowering of a budget.
 * @param rows - rows of {@link topUpKeys}
 * @param topUp - the operation
 */
export function planTopUp (rows: RowSet, topUp: TopUpRow): Either<Failure, TopUpPlan> {
  const earlier = rows.get(topUpRowSchema, budgetTables.topUps, topUp.operationId)
  if (earlier !== undefined) {
    const same = earlier.budget === topUp.budget && earlier.tokens === topUp.tokens
    if (same) return Right({ kind: 'done' })
    return Left(new Failure('topUpConflict', `operation ${topUp.operationId} added ${earlier.tokens} to ${earlier.budget}`))
  }
  return applyTopUp(budgetOf(rows, topUp.budget), topUp.budget, topUp.tokens).map(row => {
    putBudget(rows, row)
    rows.set(budgetTables.topUps, topUp.operationId, topUp)
    return { kind: 'write' }
  })
}
