/**
 * Transactions for draws and top-ups: from the rows as read to the rows to be written. A draw and
 * a top-up are known by id, so that one whose answer was lost is found to have taken effect.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '../codes/failure.js'
import { allotmentKey, budgetTables, holderKey, holdingKey } from './budgetKeys.js'
import { evenTokens, grantTokens, shareOfLeft } from './budgetPolicy.js'
import { applyDeclared, applyDraw, applyTopUp, emptyAllotment, unallotted } from './budgetRows.js'
import { allotmentRowSchema, budgetRowSchema, topUpRowSchema, type AllotmentRow, type BudgetRow, type DeclaredPaid, type ReportRow, type TopUpRow } from './budgetTypes.js'
import { withHeld } from './reportBound.js'
import type { PlanKey, RowSet } from './rowSet.js'

/** Who draws. */
export interface Drawer {
  readonly holder: string
  readonly domain: string
  /** Number of VMs that may draw on the budget. */
  readonly holders: number
  readonly shareDivisor: number
  /** See {@link BudgetPolicy}. */
  readonly evenPart: number
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
  /** Whether there is no demand that asks for more than what is dealt out evenly. */
  readonly isForEvenPart?: boolean
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
  | { readonly kind: 'write', readonly tokens: number, readonly left: number, readonly spent: number, readonly paid: number }
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

function worthDrawing (granted: number, order: DrawOrder, budget: BudgetRow, drawer: Drawer): boolean {
  if (granted === 0 || granted < (order.least ?? order.atLeast)) return false
  return order.atLeast > 0 || granted >= usefulTokens(order, budget, drawer) * LEAST_AHEAD_PART
}

/** A draw for no demand asks for any amount; what is dealt out evenly is all that it can have. */
function usefulTokens ({ tokens, isForEvenPart }: DrawOrder, budget: BudgetRow, drawer: Drawer): number {
  return isForEvenPart === true ? evenOf(budget, drawer) : tokens
}

function evenOf ({ paid, spent }: BudgetRow, { holders, evenPart }: Drawer): number {
  return evenTokens(paid - spent, holders, evenPart)
}

/** Tokens that a holder may take ahead of need. */
function shareOf (order: DrawOrder, budget: BudgetRow, allotment: AllotmentRow, drawer: Drawer): number {
  const even = evenOf(budget, drawer) - allotment.held
  if (order.isForEvenPart === true) return Math.max(0, even)
  return Math.max(shareOfLeft(unallotted(budget), drawer.holders, drawer.shareDivisor), even)
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
  const granted = grantTokens(order.tokens, order.atLeast, left, shareOf(order, budget, allotment, drawer))
  if (!worthDrawing(granted, order, budget, drawer)) {
    if (budget === stored) return Right({ kind: 'short', left })
    putBudget(rows, budget)
    return Right({ kind: 'short', left, isRowChanged: true })
  }
  return applyDraw({ budget, allotment }, granted, order.drawId).map(pair => {
    putBudget(rows, pair.budget)
    const { spent, paid } = pair.budget
    putAllotment(rows, order.report === undefined ? pair.allotment : { ...pair.allotment, report: withHeld(order.report, granted) })
    return { kind: 'write', tokens: granted, left: unallotted(pair.budget), spent, paid }
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
