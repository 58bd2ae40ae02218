/**
 * Transfers of tokens within the failure domain, idempotent by id, and returns to the table on recall.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import { transferableTokens, recallableTokens, type BudgetPolicy } from './budgetPolicy.js'
import type { BudgetEvent, Transfer } from './budgetTypes.js'
import type { FlushQueue } from './flushQueue.js'

type EventOf<K extends BudgetEvent['kind']> = Extract<BudgetEvent, { kind: K }>

/** An answered transfer request. */
interface AnsweredTransfer {
  /** Undefined if the request is permanently answered with nothing. */
  readonly transfer: Transfer | undefined
  readonly at: Instant
}

export class BudgetTransfers {
  /** Sent transfers by id, oldest first. */
  private readonly answeredById = new Map<string, AnsweredTransfer>()
  private readonly receivedAt = new Map<string, Instant>()
  private readonly fencedAt = new Map<string, Instant>()

  /** @param queue - writes transfers and returns to the table */
  constructor (
    private readonly holder: string,
    private readonly policy: BudgetPolicy,
    private readonly queue: FlushQueue
  ) {}

  /**
   * Answers a transfer request; the tokens are subtracted before the answer.
   * @param entry - undefined if this holder has no entry for the budget
   */
  answerRequest (event: EventOf<'transferRequested'>, entry: BudgetEntry | undefined, now: Instant): Transfer | undefined {
    if (this.isFenced(event.to, now) || !event.sameDomain || event.to === this.holder) return undefined
    const earlier = this.answeredById.get(event.transferId)
    if (earlier !== undefined) return earlier.transfer === undefined ? undefined : this.withLease(earlier.transfer, entry, now)
    if (event.isRepeat === true) {
      // The first request may still arrive after its sender can no longer use the tokens.
      this.answeredById.set(event.transferId, { transfer: undefined, at: now })
      return undefined
    }
    if (entry === undefined || entry.leaseLeftMs(now) < this.policy.requestTimeoutMs) return undefined
    const tokens = transferableTokens(entry.transferable, event.wanted, event.atLeast ?? 0)
    if (tokens <= 0) return undefined
    const transfer = { transferId: event.transferId, budget: event.budget, from: this.holder, to: event.to, tokens }
    entry.held -= tokens
    entry.level = Math.min(entry.level, Math.max(0, entry.free))
    this.answeredById.set(event.transferId, { transfer, at: now })
    this.queue.addTransfer(transfer, now.mono)
    this.removeExpired(now)
    return this.withLease(transfer, entry, now)
  }

  /**
   * Accepts a transfer once; false if it is a duplicate or its sender is fenced.
   * @param requestedAt - when the transfer was requested
   */
  receive (transfer: Transfer, entry: BudgetEntry, requestedAt: Instant, now: Instant): boolean {
    if (this.receivedAt.has(transfer.transferId) || this.isFenced(transfer.from, now)) return false
    this.receivedAt.set(transfer.transferId, now)
    entry.receive(transfer, requestedAt)
    this.queue.addTransfer(transfer, now.mono)
    return true
  }

  /** Returns tokens on a recall, except those that local demand needs. */
  returnOnRecall (event: EventOf<'recallRequested'>, entry: BudgetEntry, now: Instant): number {
    const retained = entry.desired.rate.perMs(now.mono) * this.policy.recallRetainMs
    const tokens = recallableTokens(entry.free, retained, event.atLeast ?? event.wanted)
    if (tokens === 0) return 0
    // Delays the next draw, which would otherwise draw the tokens again although another holder needs them more.
    entry.nextDrawAt = Math.max(entry.nextDrawAt, now.mono + this.policy.emptyDrawPauseMs)
    entry.returning += tokens
    entry.level = Math.min(entry.level, Math.max(0, entry.free))
    this.queue.addReturn({ budget: event.budget, tokens }, now.mono)
    return tokens
  }

  /** Stops transfers from and to a terminated holder; its answers in flight are void. */
  fence (holder: string, now: Instant): void {
    this.fencedAt.set(holder, now)
  }

  private isFenced (holder: string, now: Instant): boolean {
    const since = this.fencedAt.get(holder)
    return since !== undefined && elapsedMs(since, now) < this.policy.allotmentExpiryMs
  }

  private withLease (transfer: Transfer, entry: BudgetEntry | undefined, now: Instant): Transfer {
    const validForMs = Math.max(0, entry?.leaseLeftMs(now) ?? 0)
    return { ...transfer, validForMs }
  }

  private removeExpired (now: Instant): void {
    for (const [id, item] of this.answeredById) {
      if (elapsedMs(item.at, now) < this.policy.allotmentExpiryMs) break
      this.answeredById.delete(id)
    }
    for (const [id, at] of this.receivedAt) {
      if (elapsedMs(at, now) < this.policy.allotmentExpiryMs) break
      this.receivedAt.delete(id)
    }
  }
}
