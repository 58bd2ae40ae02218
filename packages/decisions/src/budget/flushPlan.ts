/**
 * Transaction of a flush: settles bills, returns tokens and records transfers. The segment row, inserted in the same
 * transaction, shows whether the flush took effect.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '../codes/failure.js'
import { allotmentOf, budgetOf, putAllotment, putBudget } from './budgetPlans.js'
import { allotmentKey, budgetTables, segmentKey } from './budgetKeys.js'
import { applyReturn, applySettle, applyTransfer, emptyAllotment } from './budgetRows.js'
import { segmentRowSchema, transferSchema, type Bill, type BudgetReport, type BudgetReturn, type Transfer } from './budgetTypes.js'
import type { PlanKey, RowSet } from './rowSet.js'

/** Content of a flush; the same for every retry of a sequence number. */
export interface FlushOrder {
  readonly seq: number
  readonly bills: readonly Bill[]
  readonly returns: readonly BudgetReturn[]
  readonly transfers: readonly Transfer[]
  /** Tokens that the holder may use of each budget until the next flush. */
  readonly reports?: readonly BudgetReport[]
}

export interface TimedFlush extends FlushOrder {
  /** Time of the reports: table clock in milliseconds, not later than the first send of the flush. */
  readonly since?: number
}

/** The holder that flushes. */
export interface Flusher {
  readonly holder: string
  readonly domain: string
}

/** Result of planning a flush. */
export type FlushPlan =
  | { readonly kind: 'write' | 'done' }
  /** Nothing may be written: allotments were closed, or transfers can no longer be recorded. */
  | { readonly kind: 'closed', readonly budgets: readonly string[], readonly lostTransfers: readonly string[] }

function ownBudgets (order: FlushOrder): ReadonlySet<string> {
  return new Set([...order.bills.map(bill => bill.budget), ...order.returns.map(item => item.budget)])
}

/** Rows that a flush reads. */
export function flushKeys (order: FlushOrder, flusher: Flusher): readonly PlanKey[] {
  const allotments = new Set([...ownBudgets(order)].map(budget => allotmentKey(budget, flusher.holder)))
  for (const item of order.transfers) {
    allotments.add(allotmentKey(item.budget, item.from))
    allotments.add(allotmentKey(item.budget, item.to))
  }
  return [
    { table: budgetTables.segments, key: segmentKey(flusher.holder, order.seq) },
    ...[...allotments].map(key => ({ table: budgetTables.allotments, key })),
    ...order.transfers.map(item => ({ table: budgetTables.transfers, key: item.transferId })),
    ...[...new Set(order.returns.filter(item => item.tokens > 0).map(item => item.budget))].map(key => ({ table: budgetTables.budgets, key }))
  ]
}

function isRecorded (rows: RowSet, transfer: Transfer): boolean {
  return rows.get(transferSchema, budgetTables.transfers, transfer.transferId) !== undefined
}

function isClosed (rows: RowSet, budget: string, holder: string): boolean {
  return allotmentOf(rows, budget, holder)?.state === 'closed'
}

/** Whether the allotment of the holder was closed, or closed and removed, so that nothing can be settled against it. */
function isLost (rows: RowSet, order: FlushOrder, budget: string, holder: string): boolean {
  if (allotmentOf(rows, budget, holder) !== undefined) return isClosed(rows, budget, holder)
  return !order.transfers.some(item => item.budget === budget && item.to === holder && !isRecorded(rows, item))
}

function lostTransfers (rows: RowSet, order: FlushOrder): readonly string[] {
  return order.transfers
    .filter(item => !isRecorded(rows, item))
    .filter(item => allotmentOf(rows, item.budget, item.from)?.state !== 'open' || isClosed(rows, item.budget, item.to))
    .map(item => item.transferId)
}

function recordTransfer (rows: RowSet, transfer: Transfer, domain: string): Either<Failure, void> {
  if (isRecorded(rows, transfer)) return Right(undefined)
  const giver = allotmentOf(rows, transfer.budget, transfer.from)
  if (giver === undefined) return Left(new Failure('internal', `${transfer.from} has no allotment to transfer from`))
  const receiver = allotmentOf(rows, transfer.budget, transfer.to) ?? emptyAllotment(transfer.budget, transfer.to, domain)
  return applyTransfer({ giver, receiver }, transfer).ifRight(pair => {
    putAllotment(rows, pair.giver)
    putAllotment(rows, pair.receiver)
    rows.set(budgetTables.transfers, transfer.transferId, transfer)
  }).map(() => undefined)
}

function settleBill (rows: RowSet, bill: Bill, flusher: Flusher): Either<Failure, void> {
  const row = allotmentOf(rows, bill.budget, flusher.holder) ?? emptyAllotment(bill.budget, flusher.holder, flusher.domain)
  return applySettle(row, bill.tokens).ifRight(after => putAllotment(rows, after)).map(() => undefined)
}

function giveBack (rows: RowSet, item: BudgetReturn, flusher: Flusher): Either<Failure, void> {
  // An empty return only renews the allotment row.
  if (item.tokens === 0) return Right(undefined)
  const budget = budgetOf(rows, item.budget)
  const allotment = allotmentOf(rows, item.budget, flusher.holder)
  if (budget === undefined || allotment === undefined) {
    return Left(new Failure('internal', `budget or allotment row of ${item.budget} is missing; tokens cannot be returned`))
  }
  return applyReturn({ budget, allotment }, item.tokens).ifRight(pair => {
    putBudget(rows, pair.budget)
    putAllotment(rows, pair.allotment)
  }).map(() => undefined)
}

function stampSeq (rows: RowSet, order: TimedFlush, flusher: Flusher): void {
  const reports = new Map((order.reports ?? []).map(({ budget, tokens, perMs }) => [budget, { tokens, perMs, since: order.since ?? 0 }]))
  for (const budget of ownBudgets(order)) {
    const row = allotmentOf(rows, budget, flusher.holder)
    const report = reports.get(budget) ?? row?.report
    if (row !== undefined) putAllotment(rows, { ...row, lastSeq: order.seq, ...(report === undefined ? {} : { report }) })
  }
}

/**
 * Plans a flush.
 * @param rows - rows of {@link flushKeys}
 */
export function planFlush (rows: RowSet, order: TimedFlush, flusher: Flusher): Either<Failure, FlushPlan> {
  const { holder, domain } = flusher
  const key = segmentKey(holder, order.seq)
  if (rows.get(segmentRowSchema, budgetTables.segments, key) !== undefined) return Right({ kind: 'done' })
  const budgets = [...ownBudgets(order)].filter(budget => isLost(rows, order, budget, holder))
  const lost = lostTransfers(rows, order)
  if (budgets.length > 0 || lost.length > 0) return Right({ kind: 'closed', budgets, lostTransfers: lost })
  const steps = [
    ...order.transfers.map(item => () => recordTransfer(rows, item, domain)),
    ...order.bills.map(bill => () => settleBill(rows, bill, flusher)),
    ...order.returns.map(item => () => giveBack(rows, item, flusher))
  ]
  for (const step of steps) {
    const result = step()
    if (result.isLeft()) return result.map(() => ({ kind: 'done' }))
  }
  stampSeq(rows, order, flusher)
  rows.set(budgetTables.segments, key, { holder, seq: order.seq, bills: order.bills })
  return Right({ kind: 'write' })
}
