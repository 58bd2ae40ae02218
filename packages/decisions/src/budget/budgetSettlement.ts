/**
 * Reservations and bills of one holder: queues the cost of a run for the next flush, and applies the outcomes of flushes.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { ReservedTokens } from './budgetEntryTypes.js'
import type { BudgetPolicy } from './budgetPolicy.js'
import { isAmount } from './budgetRows.js'
import type { Bill, BudgetAction, BudgetEvent, BudgetReport, FlushOutcome } from './budgetTypes.js'
import type { FlushBatch } from './flushPlan.js'
import type { FlushQueue } from './flushQueue.js'

type EventOf<K extends BudgetEvent['kind']> = Extract<BudgetEvent, { kind: K }>

/** Reservation of a running request. */
export interface OpenReservation extends ReservedTokens {
  readonly budget: string
}

/** Effects of a flush outcome. */
export interface FlushResult {
  readonly changed: readonly BudgetEntry[]
  readonly actions: readonly BudgetAction[]
}

export class BudgetSettlement {
  private readonly reservations = new Map<string, OpenReservation>()
  /** Reports of the open flush. */
  private sentReports: { readonly seq: number, readonly reports: readonly BudgetReport[] } | undefined

  constructor (
    private readonly entries: ReadonlyMap<string, BudgetEntry>,
    private readonly queue: FlushQueue,
    private readonly policy: Pick<BudgetPolicy, 'boundsUnreportedUse' | 'demandSource'>
  ) {}

  /**
   * Opens the reservation of an admitted request.
   * @param reserved - worst-case cost by source
   */
  open (reservationId: string, budget: string, reserved: ReservedTokens): void {
    this.reservations.set(reservationId, { budget, ...reserved })
  }

  /** Finds an open reservation; undefined once it ended or its allotment was closed. */
  find (reservationId: string): OpenReservation | undefined {
    return this.reservations.get(reservationId)
  }

  /** Ends a reservation; granted tokens are used first. A repeated end is ignored. */
  settle (event: EventOf<'settle'>, now: Instant): BudgetEntry | undefined {
    const reservation = this.reservations.get(event.reservationId)
    if (reservation === undefined) return undefined
    this.reservations.delete(event.reservationId)
    const entry = this.entries.get(reservation.budget)
    if (entry === undefined) return undefined
    entry.reserved -= reservation.fromAllotment
    const used = event.bill === undefined ? 0 : usedTokens(event.bill, reservation)
    const fromGrants = Math.min(used, reservation.fromGrants)
    entry.grantedBalance.add(reservation.fromGrants - fromGrants)
    if (event.bill !== undefined && reservation.fromAllotment > 0) this.bill(entry, { ...event.bill, budget: reservation.budget, tokens: used - fromGrants }, now)
    return entry
  }

  /** Marks a flush as sent and returns its reports, which are the same for every retry. */
  sent (flush: FlushBatch, now: Instant): readonly BudgetReport[] {
    const sums = new Map<string, number>()
    for (const bill of flush.bills) sums.set(bill.budget, (sums.get(bill.budget) ?? 0) + bill.tokens)
    for (const [budget, tokens] of sums) {
      const entry = this.entries.get(budget)
      if (entry !== undefined) entry.flushing = tokens
    }
    if (this.sentReports?.seq !== flush.seq) this.sentReports = { seq: flush.seq, reports: this.reportsOf(flush, now) }
    return this.sentReports.reports
  }

  private reportsOf (flush: FlushBatch, now: Instant): readonly BudgetReport[] {
    if (!this.policy.boundsUnreportedUse) return []
    const budgets = new Set([...flush.bills, ...flush.returns].map(item => item.budget))
    return [...budgets].flatMap(budget => {
      const entry = this.entries.get(budget)
      if (entry === undefined || entry.bounds.isEmpty) return []
      const allowance = entry.allowance(now)
      entry.bounds.send({ ...allowance, at: now })
      return [{ budget, ...allowance }]
    })
  }

  /** Whether the open flush touches a budget. */
  isFlushing (budget: string): boolean {
    const flush = this.queue.open
    if (flush === undefined) return false
    return [...flush.bills, ...flush.returns, ...flush.transfers].some(item => item.budget === budget)
  }

  /** Handles the outcome of a flush. */
  handleFlushOutcome (event: EventOf<'flushAnswered'>, now: Instant): FlushResult {
    const { outcome, seq } = event
    if (this.queue.open?.seq !== seq) return { changed: [], actions: [] }
    if (outcome.kind === 'unavailable') {
      this.queue.retry(now.mono)
      return { changed: [], actions: [] }
    }
    const flush = this.queue.finish(now.mono)
    if (flush === undefined) return { changed: [], actions: [] }
    if (outcome.kind === 'durable') return { changed: this.applyDurable(flush, outcome.sentAt), actions: [] }
    return this.refused(flush, outcome, now)
  }

  /** Drops an allotment that a recovery closed; its open reservations end without a bill. */
  close (entry: BudgetEntry): readonly BudgetAction[] {
    let inDoubt = this.queue.dropBudget(entry.budget).reduce((sum, bill) => sum + bill.tokens, 0)
    for (const [id, item] of this.reservations) {
      if (item.budget !== entry.budget) continue
      this.reservations.delete(id)
      inDoubt += item.fromAllotment
    }
    entry.reset()
    entry.inDoubt += inDoubt
    return [{ kind: 'closed', budget: entry.budget, inDoubt }]
  }

  private bill (entry: BudgetEntry, bill: Bill, now: Instant): void {
    entry.unsettled += bill.tokens
    if (this.policy.demandSource === 'bills') entry.desired.recordDemand(bill.tokens, now.mono)
    this.queue.addBill(bill, now.mono)
  }

  private applyDurable (flush: FlushBatch, sentAt: Instant): readonly BudgetEntry[] {
    const changed = new Set<BudgetEntry>()
    for (const bill of flush.bills) {
      const entry = this.entries.get(bill.budget)
      if (entry === undefined) continue
      entry.held -= bill.tokens
      entry.unsettled -= bill.tokens
      entry.flushing = 0
      changed.add(entry)
    }
    for (const item of flush.returns) {
      const entry = this.entries.get(item.budget)
      if (entry === undefined) continue
      entry.held -= item.tokens
      entry.returning -= item.tokens
      changed.add(entry)
    }
    for (const item of flush.transfers) this.entries.get(item.budget)?.markRecorded(item.transferId)
    for (const entry of changed) {
      entry.leaseStartedAt = sentAt
      entry.bounds.written()
    }
    return [...changed]
  }

  /** Nothing was written: queues what can still be written for a flush with a later number. */
  private refused (flush: FlushBatch, outcome: Extract<FlushOutcome, { kind: 'closed' }>, now: Instant): FlushResult {
    for (const item of [...flush.bills, ...flush.returns]) this.entries.get(item.budget)?.bounds.dropped()
    const lost = new Set(outcome.lostTransfers ?? [])
    const closed = new Set(outcome.budgets)
    for (const bill of flush.bills) this.queue.addBill(bill, now.mono)
    for (const item of flush.returns) if (!closed.has(item.budget)) this.queue.addReturn(item, now.mono)
    for (const item of flush.transfers) if (!lost.has(item.transferId)) this.queue.addTransfer(item, now.mono)
    const changed: BudgetEntry[] = []
    const actions: BudgetAction[] = []
    for (const budget of closed) {
      const entry = this.entries.get(budget)
      if (entry === undefined) continue
      changed.push(entry)
      actions.push(...this.close(entry))
    }
    for (const item of flush.transfers) {
      const entry = this.entries.get(item.budget)
      if (entry === undefined || !lost.has(item.transferId) || closed.has(item.budget)) continue
      entry.revokeTransfer(item.transferId)
      actions.push(...this.dropUncovered(entry))
      changed.push(entry)
    }
    return { changed, actions }
  }

  /** Bills for tokens of a lost transfer are in doubt: the recovery of the sender accounts for them. */
  private dropUncovered (entry: BudgetEntry): readonly BudgetAction[] {
    let inDoubt = 0
    while (entry.unsettled + entry.returning > entry.held) {
      const bill = this.queue.dropLatestBill(entry.budget)
      if (bill === undefined) break
      entry.unsettled -= bill.tokens
      inDoubt += bill.tokens
    }
    entry.inDoubt += inDoubt
    return inDoubt > 0 ? [{ kind: 'closed', budget: entry.budget, inDoubt }] : []
  }
}

/** A bill is limited to the reservation; an amount that is not a whole number costs the whole reservation. */
function usedTokens ({ tokens }: Bill, { fromAllotment, fromGrants }: ReservedTokens): number {
  return isAmount(tokens) ? Math.min(tokens, fromAllotment + fromGrants) : fromAllotment + fromGrants
}
