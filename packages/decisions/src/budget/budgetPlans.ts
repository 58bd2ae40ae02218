/**
 * Transactions for draws and top-ups: compute the rows to write from the rows read. Both are identified by id, so that a
 * retry after a lost answer finds the earlier effect.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '../codes/failure.js'
import { allotmentKey, budgetTables, holderKey, holdingKey } from './budgetKeys.js'
import { fairShareTokens, drawableTokens, shareOfLeft } from './budgetPolicy.js'
import { applyDeclared, applyDraw, applyTopUp, emptyAllotment, unallotted } from './budgetRows.js'
import { allotmentRowSchema, budgetRowSchema, topUpRowSchema, type AllotmentRow, type BudgetRow, type DeclaredPaid, type ReportRow, type TopUpRow } from './budgetTypes.js'
import { withAllotment } from './reportBound.js'
import type { PlanKey, RowSet } from './rowSet.js'

/** The holder that draws. */
export interface Drawer {
  readonly holder: string
  readonly domain: string
  /** Number of VMs that may draw on the budget. */
  readonly holders: number
  readonly shareDivisor: number
  /** See {@link BudgetPolicy}. */
  readonly fairShareRatio: number
}

export interface DrawRequest {
  readonly drawId: string
  readonly budget: string
  readonly tokens: number
  /** Tokens needed by all waiting requests; 0 for a draw ahead of need. */
  readonly atLeast: number
  /** Smallest useful amount; defaults to `atLeast`. */
  readonly minUseful?: number
  /** Whether demand does not exceed the fair share. */
  readonly isFairShareOnly?: boolean
  /** Reopens a row that was closed, or removed after it was closed. */
  readonly reopen?: boolean
  /** Whether the holder expects a row that it wrote before. */
  readonly expectsRow?: boolean
  /** Paid amount from the configuration of the drawing VM, if declared. */
  readonly declared?: DeclaredPaid
  /** First report of the allotment; absent if the row has a report already. */
  readonly report?: ReportRow
}

/** Result of planning a draw. */
export type DrawPlan =
  /** The row set contains the changes to write. */
  | { readonly kind: 'write', readonly tokens: number, readonly left: number, readonly spent: number, readonly paid: number }
  /** The draw took effect earlier. */
  | { readonly kind: 'done', readonly tokens: number, readonly left: number }
  /** Too few tokens are left. The budget row is still changed if the declared amount was new. */
  | { readonly kind: 'short', readonly left: number, readonly isRowChanged?: true }
  | { readonly kind: 'unknownBudget' }
  | { readonly kind: 'closed' }

/** Minimum fraction of the wanted amount for which a draw ahead of need is worth a write. */
const MIN_AHEAD_RATIO = 1 / 16

/** Rows that a draw reads. */
export function drawKeys (holder: string, budget: string): readonly PlanKey[] {
  return [
    { table: budgetTables.budgets, key: budget },
    { table: budgetTables.allotments, key: allotmentKey(budget, holder) }
  ]
}

/** Reads the budget row from a row set. */
export function budgetOf (rows: RowSet, budget: string): BudgetRow | undefined {
  return rows.get(budgetRowSchema, budgetTables.budgets, budget)
}

/** Reads the allotment row of a holder from a row set. */
export function allotmentOf (rows: RowSet, budget: string, holder: string): AllotmentRow | undefined {
  return rows.get(allotmentRowSchema, budgetTables.allotments, allotmentKey(budget, holder))
}

/**
 * Writes an allotment row to a row set. A new one gets its index row and the registration row of its holder, so that
 * recovery always finds it.
 */
export function putAllotment (rows: RowSet, row: AllotmentRow): void {
  if (rows.version(budgetTables.allotments, allotmentKey(row.budget, row.holder)) === null) {
    const { holder, domain, budget } = row
    rows.set(budgetTables.holdings, holdingKey(holder, budget), { holder, budget })
    rows.set(budgetTables.holders, holderKey(domain, holder), { holder, domain })
  }
  rows.set(budgetTables.allotments, allotmentKey(row.budget, row.holder), row)
}

/** Writes a budget row to a row set. */
export function putBudget (rows: RowSet, row: BudgetRow): void {
  rows.set(budgetTables.budgets, row.budget, row)
}

function isWorthDrawing (granted: number, request: DrawRequest, budget: BudgetRow, drawer: Drawer): boolean {
  if (granted === 0 || granted < (request.minUseful ?? request.atLeast)) return false
  return request.atLeast > 0 || granted >= usefulTokens(request, budget, drawer) * MIN_AHEAD_RATIO
}

/** A draw without demand requests any amount, but gets at most its fair share. */
function usefulTokens ({ tokens, isFairShareOnly }: DrawRequest, budget: BudgetRow, drawer: Drawer): number {
  return isFairShareOnly === true ? fairShareOf(budget, drawer) : tokens
}

function fairShareOf ({ paid, spent }: BudgetRow, { holders, fairShareRatio }: Drawer): number {
  return fairShareTokens(paid - spent, holders, fairShareRatio)
}

/** Tokens that a holder may draw ahead of need. */
function aheadTokens (request: DrawRequest, budget: BudgetRow, allotment: AllotmentRow, drawer: Drawer): number {
  const fairShare = fairShareOf(budget, drawer) - allotment.held
  if (request.isFairShareOnly === true) return Math.max(0, fairShare)
  return Math.max(shareOfLeft(unallotted(budget), drawer.holders, drawer.shareDivisor), fairShare)
}

/**
 * Plans a draw.
 * @param rows - rows of {@link drawKeys}
 */
export function planDraw (rows: RowSet, request: DrawRequest, drawer: Drawer): Either<Failure, DrawPlan> {
  const stored = budgetOf(rows, request.budget)
  const budget = request.declared === undefined ? stored : applyDeclared(stored, request.budget, request.declared)
  if (budget === undefined) return Right({ kind: 'unknownBudget' })
  const found = allotmentOf(rows, request.budget, drawer.holder)
  const empty = emptyAllotment(request.budget, drawer.holder, drawer.domain)
  const isRemoved = found === undefined ? request.expectsRow === true : found.state === 'closed'
  if (isRemoved && request.reopen !== true) return Right({ kind: 'closed' })
  const allotment = found?.state === 'closed' ? { ...empty, lastSeq: found.lastSeq } : found ?? empty
  const left = unallotted(budget)
  if (allotment.lastDraw?.drawId === request.drawId) return Right({ kind: 'done', tokens: allotment.lastDraw.tokens, left })
  const granted = drawableTokens(request.tokens, request.atLeast, left, aheadTokens(request, budget, allotment, drawer))
  if (!isWorthDrawing(granted, request, budget, drawer)) {
    if (budget === stored) return Right({ kind: 'short', left })
    putBudget(rows, budget)
    return Right({ kind: 'short', left, isRowChanged: true })
  }
  return applyDraw({ budget, allotment }, granted, request.drawId).map(pair => {
    putBudget(rows, pair.budget)
    const { spent, paid } = pair.budget
    putAllotment(rows, request.report === undefined ? pair.allotment : { ...pair.allotment, report: withAllotment(request.report, granted) })
    return { kind: 'write', tokens: granted, left: unallotted(pair.budget), spent, paid }
  })
}

/** Rows that a top-up reads. */
export function topUpKeys (operationId: string, budget: string): readonly PlanKey[] {
  return [
    { table: budgetTables.topUps, key: operationId },
    { table: budgetTables.budgets, key: budget }
  ]
}

/** Result of planning a top-up. */
export type TopUpPlan = { readonly kind: 'write' | 'done' }

/**
 * Plans a top-up or, with negative tokens, a reduction of the budget.
 * @param rows - rows of {@link topUpKeys}
 */
export function planTopUp (rows: RowSet, topUp: TopUpRow): Either<Failure, TopUpPlan> {
  const earlier = rows.get(topUpRowSchema, budgetTables.topUps, topUp.operationId)
  if (earlier !== undefined) {
    const same = earlier.budget === topUp.budget && earlier.tokens === topUp.tokens
    if (same) return Right({ kind: 'done' })
    return Left(new Failure('topUpConflict', `operation ${topUp.operationId} already added ${earlier.tokens} tokens to ${earlier.budget}`, { ran: 'no' }))
  }
  return applyTopUp(budgetOf(rows, topUp.budget), topUp.budget, topUp.tokens).map(row => {
    putBudget(rows, row)
    rows.set(budgetTables.topUps, topUp.operationId, topUp)
    return { kind: 'write' }
  })
}
