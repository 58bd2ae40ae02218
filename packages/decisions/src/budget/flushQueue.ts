/**
 * Group commit of one holder: queues bills, returns and transfers and sends them in numbered flushes, one at a time. The content
 * of a sent number never changes, so that a flush can be retried until its outcome is known.
 */
import type { Bill, BudgetReturn, Transfer } from './budgetTypes.js'
import type { FlushBatch } from './flushPlan.js'

/** Limits that keep a flush within the transaction limits of the table. */
const MAX_FLUSH_BILLS = 150
const MAX_FLUSH_TRANSFERS = 60

/** Times in milliseconds and batch limits of a flush queue. */
export interface FlushLimits {
  readonly flushMs: number
  readonly retryMs: number
  readonly retryMaxMs: number
  /** Maximum budgets in a flush. */
  readonly maxBudgetsPerFlush: number
  /** Maximum budgets to which a flush returns tokens: all holders write their rows, and each may conflict. */
  readonly maxReturnsPerFlush: number
}

export class FlushQueue {
  private bills: Bill[] = []
  private transfers: Transfer[] = []
  private readonly returns = new Map<string, number>()
  private sent: FlushBatch | undefined
  private inFlight = false
  private seq = 0
  private dueAt: number | undefined
  private pauseMs = 0
  private retryAt = 0

  constructor (private readonly limits: FlushLimits) {}

  /** The sent flush whose outcome is unknown. */
  get open (): FlushBatch | undefined {
    return this.sent
  }

  /** Whether nothing is queued or in flight. */
  get isEmpty (): boolean {
    return this.sent === undefined && !this.hasQueued
  }

  private get hasQueued (): boolean {
    return this.bills.length > 0 || this.transfers.length > 0 || this.returns.size > 0
  }

  /**
   * Queues a bill.
   * @param mono - monotonic milliseconds
   */
  addBill (bill: Bill, mono: number): void {
    this.bills.push(bill)
    this.schedule(mono + this.limits.flushMs)
  }

  /**
   * Queues a return, due immediately; 0 tokens only renew the row.
   * @param mono - monotonic milliseconds
   */
  addReturn (item: BudgetReturn, mono: number): void {
    this.returns.set(item.budget, (this.returns.get(item.budget) ?? 0) + item.tokens)
    this.schedule(mono)
  }

  /**
   * Queues a transfer to record.
   * @param transfer - sent or received
   * @param mono - monotonic milliseconds
   */
  addTransfer (transfer: Transfer, mono: number): void {
    this.transfers.push(transfer)
    this.schedule(mono + this.limits.flushMs)
  }

  /**
   * Makes the queue due now.
   * @param mono - monotonic milliseconds
   */
  makeDue (mono: number): void {
    if (!this.isEmpty) this.schedule(mono)
  }

  /** Whether a transfer from or to a holder may be unrecorded. */
  hasTransferWith (holder: string): boolean {
    const all = [...this.transfers, ...this.sent?.transfers ?? []]
    return all.some(item => item.from === holder || item.to === holder)
  }

  /**
   * The flush to send now, if one is due and none is in flight.
   * @param mono - monotonic milliseconds
   */
  next (mono: number): FlushBatch | undefined {
    if (this.inFlight || this.dueAt === undefined || mono < this.dueAt) return undefined
    if (this.sent === undefined && !this.hasQueued) return undefined
    if (this.sent !== undefined && mono < this.retryAt) return undefined
    this.sent ??= this.dequeueBatch()
    this.inFlight = true
    this.dueAt = this.hasQueued ? mono + this.limits.flushMs : undefined
    return this.sent
  }

  /**
   * Ends the open flush: it is durable, or certainly never will be.
   * @param mono - monotonic milliseconds
   */
  finish (mono: number): FlushBatch | undefined {
    const done = this.sent
    this.sent = undefined
    this.inFlight = false
    this.pauseMs = 0
    if (this.hasQueued) this.schedule(mono + this.limits.flushMs)
    return done
  }

  /**
   * Schedules a retry of the open flush, with the same content, after a backoff.
   * @param mono - monotonic milliseconds
   */
  retry (mono: number): void {
    this.inFlight = false
    this.pauseMs = Math.min(this.limits.retryMaxMs, Math.max(this.limits.retryMs, this.pauseMs * 2))
    this.retryAt = mono + this.pauseMs
    this.schedule(this.retryAt)
  }

  /** Drops everything queued for a budget and returns its bills. */
  dropBudget (budget: string): readonly Bill[] {
    const dropped = this.bills.filter(bill => bill.budget === budget)
    this.bills = this.bills.filter(bill => bill.budget !== budget)
    this.transfers = this.transfers.filter(item => item.budget !== budget)
    this.returns.delete(budget)
    return dropped
  }

  /** Drops the newest queued bill of a budget. */
  dropLatestBill (budget: string): Bill | undefined {
    const index = this.bills.findLastIndex(bill => bill.budget === budget)
    return index < 0 ? undefined : this.bills.splice(index, 1)[0]
  }

  private schedule (mono: number): void {
    this.dueAt = this.dueAt === undefined ? mono : Math.min(this.dueAt, mono)
  }

  private dequeueBatch (): FlushBatch {
    this.seq += 1
    const transfers = this.transfers.splice(0, MAX_FLUSH_TRANSFERS)
    const budgets = new Set<string>()
    const bills = this.transfers.length > 0 ? [] : this.dequeueBills(budgets)
    const returns = this.dequeueReturns(budgets, transfers)
    return { seq: this.seq, bills, returns, transfers }
  }

  private dequeueBills (budgets: Set<string>): readonly Bill[] {
    let count = 0
    while (count < this.bills.length && count < MAX_FLUSH_BILLS) {
      const bill = this.bills[count]
      if (bill === undefined || (budgets.size === this.limits.maxBudgetsPerFlush && !budgets.has(bill.budget))) break
      budgets.add(bill.budget)
      count += 1
    }
    return this.bills.splice(0, count)
  }

  private dequeueReturns (budgets: Set<string>, transfers: readonly Transfer[]): readonly BudgetReturn[] {
    const batch: BudgetReturn[] = []
    let returnCount = 0
    for (const [budget, tokens] of this.returns) {
      if (tokens > 0 && returnCount === this.limits.maxReturnsPerFlush) continue
      if (budgets.size >= this.limits.maxBudgetsPerFlush && !budgets.has(budget)) continue
      if (this.transfers.some(item => item.budget === budget)) continue
      budgets.add(budget)
      batch.push({ budget, tokens })
      if (tokens > 0) returnCount += 1
      this.returns.delete(budget)
    }
    const touched = new Set(batch.map(item => item.budget))
    for (const item of transfers) {
      if (!touched.has(item.budget)) batch.push({ budget: item.budget, tokens: 0 })
      touched.add(item.budget)
    }
    return batch
  }
}
