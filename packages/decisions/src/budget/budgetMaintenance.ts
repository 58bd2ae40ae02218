/**
 * Background maintenance of the budgets of one holder: renews leases of idle allotments, returns excess tokens and removes empty
 * entries. Each tick visits a bounded number of entries, so that its cost does not depend on the number of budgets.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import { renewAfterMs, type BudgetPolicy } from './budgetPolicy.js'
import type { FlushQueue } from './flushQueue.js'

/** Flush intervals after which an allotment is reported again without bills, before the allowance grows. */
const REPORT_INTERVAL_FLUSHES = 3
const VISITS_PER_TICK = 32

export class BudgetMaintenance {
  private cursor: Iterator<BudgetEntry> | undefined
  /** Budgets of removed entries, whose rows in the table may have been closed since. */
  private readonly removedBudgets = new Set<string>()

  constructor (
    private readonly policy: BudgetPolicy,
    private readonly queue: FlushQueue,
    private readonly entries: Map<string, BudgetEntry>
  ) {}

  /**
   * Maintains the next entries and returns them for processing.
   * @param draining - whether all free tokens are returned
   */
  visit (now: Instant, draining: boolean): readonly BudgetEntry[] {
    const visited: BudgetEntry[] = []
    const count = Math.min(VISITS_PER_TICK, this.entries.size)
    while (visited.length < count) {
      this.cursor ??= this.entries.values()
      const next = this.cursor.next()
      if (next.done === true) {
        this.cursor = undefined
        break
      }
      this.maintain(next.value, now, draining)
      visited.push(next.value)
    }
    return visited
  }

  /** Whether this holder had an allotment row of a budget whose entry was removed. */
  hadRow (budget: string): boolean {
    return this.removedBudgets.has(budget)
  }

  /** Renews the lease of an allotment by an empty return, at most once per `retryMaxMs`. */
  renew (entry: BudgetEntry, now: Instant): void {
    if (entry.renewalQueuedAt !== undefined && elapsedMs(entry.renewalQueuedAt, now) < this.policy.retryMaxMs) return
    entry.renewalQueuedAt = now
    this.queue.addReturn({ budget: entry.budget, tokens: 0 }, now.mono)
  }

  /** Queues a new report, unless a flush is open. */
  report (entry: BudgetEntry, now: Instant): void {
    if (this.queue.open === undefined) this.queue.addReturn({ budget: entry.budget, tokens: 0 }, now.mono)
  }

  /**
   * Returns free tokens above a level.
   * @param retained - tokens to retain
   */
  returnFree (entry: BudgetEntry, retained: number, now: Instant): void {
    const tokens = entry.free - retained
    if (tokens <= 0) return
    entry.returning += tokens
    entry.level = Math.max(0, entry.free)
    this.queue.addReturn({ budget: entry.budget, tokens }, now.mono)
  }

  /** Returns all free tokens of all budgets and makes the queue due. */
  returnAll (now: Instant): void {
    for (const entry of this.entries.values()) this.returnFree(entry, 0, now)
    this.queue.makeDue(now.mono)
  }

  private maintain (entry: BudgetEntry, now: Instant, draining: boolean): void {
    if (entry.isEmpty && !this.isRecent(entry, now)) {
      this.remove(entry)
      return
    }
    if (draining) this.returnFree(entry, 0, now)
    else if (!this.isRecent(entry, now)) this.returnIdle(entry, now)
    else this.returnExcess(entry, now)
    if (entry.held > 0 && this.isRenewalDue(entry, now)) this.renew(entry, now)
    else if (entry.held > 0 && this.isReportDue(entry, now)) this.report(entry, now)
  }

  private remove (entry: BudgetEntry): void {
    this.entries.delete(entry.budget)
    if (entry.leaseStartedAt !== undefined || entry.mustReopen) this.removedBudgets.add(entry.budget)
  }

  private isRecent (entry: BudgetEntry, now: Instant): boolean {
    return now.mono - entry.lastRequestedAt < this.policy.idleReturnMs
  }

  private returnIdle (entry: BudgetEntry, now: Instant): void {
    entry.isRefilled = false
    this.returnFree(entry, 0, now)
  }

  private returnExcess (entry: BudgetEntry, now: Instant): void {
    const desired = entry.desired.tokens(now.mono)
    if (entry.free > desired * this.policy.excessFactor) this.returnFree(entry, desired, now)
  }

  /** The allowance of an old report grows, and the team loses it if this process terminates. */
  private isReportDue (entry: BudgetEntry, now: Instant): boolean {
    return this.policy.boundsUnreportedUse && entry.bounds.ageMs(now) > this.policy.flushMs * REPORT_INTERVAL_FLUSHES
  }

  private isRenewalDue (entry: BudgetEntry, now: Instant): boolean {
    return entry.leaseStartedAt === undefined || elapsedMs(entry.leaseStartedAt, now) > renewAfterMs(this.policy)
  }
}
