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
export interface FlushBatch {
  readonly seq: number
  readonly bills: readonly Bill[]
  readonly returns: readonly BudgetReturn[]
  readonly transfers: readonly Transfer[]
  /** Tokens that the holder may use of each budget until the next flush. */
  readonly reports?: readonly BudgetReport[]
}

export interface TimedFlush extends FlushBatch {
  /** Time of the reports: table clock in milliseconds, not later than the first send of the flush. */
  readonly since?: number
}

/** The holder that flushes. */
export interface FlushingHolder {
  readonly holder: string
  readonly domain: string
}

/** Result of planning a flush. */
export type FlushPlan =
  | { readonly kind: 'write' | 'done' }
  /** Nothing may be written: allotments were closed, or transfers can no longer be recorded. */
  | { readonly kind: 'closed', readonly budgets: readonly string[], readonly lostTransfers: readonly string[] }

function settledBudgets (batch: FlushBatch): ReadonlySet<string> {
  return new Set([...batch.bills.map(bill => bill.budget), ...batch.returns.map(item => item.budget)])
}

/** Rows that a flush reads. */
export function flushKeys (batch: FlushBatch, flusher: FlushingHolder): readonly PlanKey[] {
  const allotments = new Set([...settledBudgets(batch)].map(budget => allotmentKey(budget, flusher.holder)))
  for (const item of batch.transfers) {
    allotments.add(allotmentKey(item.budget, item.from))
    allotments.add(allotmentKey(item.budget, item.to))
  }
  return [
    { table: budgetTables.segments, key: segmentKey(flusher.holder, batch.seq) },
    ...[...allotments].map(key => ({ table: budgetTables.allotments, key })),
    ...batch.transfers.map(item => ({ table: budgetTables.transfers, key: item.transferId })),
    ...[...new Set(batch.returns.filter(item => item.tokens > 0).map(item => item.budget))].map(key => ({ table: budgetTables.budgets, key }))
  ]
}

function isRecorded (rows: RowSet, transfer: Transfer): boolean {
  return rows.get(transferSchema, budgetTables.transfers, transfer.transferId) !== undefined
}

function isClosed (rows: RowSet, budget: string, holder: string): boolean {
  return allotmentOf(rows, budget, holder)?.state === 'closed'
}

/** Whether the allotment of the holder was closed, or closed and removed, so that nothing can be settled against it. */
function isAllotmentLost (rows: RowSet, batch: FlushBatch, budget: string, holder: string): boolean {
  if (allotmentOf(rows, budget, holder) !== undefined) return isClosed(rows, budget, holder)
  return !batch.transfers.some(item => item.budget === budget && item.to === holder && !isRecorded(rows, item))
}

function lostTransfers (rows: RowSet, batch: FlushBatch): readonly string[] {
  return batch.transfers
    .filter(item => !isRecorded(rows, item))
    .filter(item => allotmentOf(rows, item.budget, item.from)?.state !== 'open' || isClosed(rows, item.budget, item.to))
    .map(item => item.transferId)
}

function recordTransfer (rows: RowSet, transfer: Transfer, domain: string): Either<Failure, void> {
  if (isRecorded(rows, transfer)) return Right(undefined)
  const senderRow = allotmentOf(rows, transfer.budget, transfer.from)
  if (senderRow === undefined) return Left(new Failure('internal', `${transfer.from} has no allotment to transfer from`, { ran: 'no' }))
  const receiver = allotmentOf(rows, transfer.budget, transfer.to) ?? emptyAllotment(transfer.budget, transfer.to, domain)
  return applyTransfer({ sender: senderRow, receiver }, transfer).ifRight(pair => {
    putAllotment(rows, pair.sender)
    putAllotment(rows, pair.receiver)
    rows.set(budgetTables.transfers, transfer.transferId, transfer)
  }).map(() => undefined)
}

function settleBill (rows: RowSet, bill: Bill, flusher: FlushingHolder): Either<Failure, void> {
  const row = allotmentOf(rows, bill.budget, flusher.holder) ?? emptyAllotment(bill.budget, flusher.holder, flusher.domain)
  return applySettle(row, bill.tokens).ifRight(after => putAllotment(rows, after)).map(() => undefined)
}

function applyBudgetReturn (rows: RowSet, item: BudgetReturn, flusher: FlushingHolder): Either<Failure, void> {
  // An empty return only renews the allotment row.
  if (item.tokens === 0) return Right(undefined)
  const budget = budgetOf(rows, item.budget)
  const allotment = allotmentOf(rows, item.budget, flusher.holder)
  if (budget === undefined || allotment === undefined) {
    return Left(new Failure('internal', `budget or allotment row of ${item.budget} is missing; tokens cannot be returned`, { ran: 'no' }))
  }
  return applyReturn({ budget, allotment }, item.tokens).ifRight(pair => {
    putBudget(rows, pair.budget)
    putAllotment(rows, pair.allotment)
  }).map(() => undefined)
}

function writeSeqAndReports (rows: RowSet, batch: TimedFlush, flusher: FlushingHolder): void {
  const reports = new Map((batch.reports ?? []).map(({ budget, tokens, perMs }) => [budget, { tokens, perMs, since: batch.since ?? 0 }]))
  for (const budget of settledBudgets(batch)) {
    const row = allotmentOf(rows, budget, flusher.holder)
    const report = reports.get(budget) ?? row?.report
    if (row !== undefined) putAllotment(rows, { ...row, lastSeq: batch.seq, ...(report === undefined ? {} : { report }) })
  }
}

/**
 * Plans a flush.
 * @param rows - rows of {@link flushKeys}
 */
export function planFlush (rows: RowSet, batch: TimedFlush, flusher: FlushingHolder): Either<Failure, FlushPlan> {
  const { holder, domain } = flusher
  const key = segmentKey(holder, batch.seq)
  if (rows.get(segmentRowSchema, budgetTables.segments, key) !== undefined) return Right({ kind: 'done' })
  const budgets = [...settledBudgets(batch)].filter(budget => isAllotmentLost(rows, batch, budget, holder))
  const lost = lostTransfers(rows, batch)
  if (budgets.length > 0 || lost.length > 0) return Right({ kind: 'closed', budgets, lostTransfers: lost })
  const steps = [
    ...batch.transfers.map(item => () => recordTransfer(rows, item, domain)),
    ...batch.bills.map(bill => () => settleBill(rows, bill, flusher)),
    ...batch.returns.map(item => () => applyBudgetReturn(rows, item, flusher))
  ]
  for (const step of steps) {
    const result = step()
    if (result.isLeft()) return result.map(() => ({ kind: 'done' }))
  }
  writeSeqAndReports(rows, batch, flusher)
  rows.set(budgetTables.segments, key, { holder, seq: batch.seq, bills: batch.bills })
  return Right({ kind: 'write' })
}
