/**
 * Budget decider of one holder. Admits requests from durably allotted tokens, writes bills in group commits and draws tokens
 * ahead of need. Does no I/O: the shell carries out its actions and reports the outcomes as events.
 */
import type { Instant } from '../clock/clockTypes.js'
import { Failure } from '../codes/failure.js'
import { BudgetEntry } from './budgetEntry.js'
import { BudgetGifts } from './budgetGifts.js'
import { BudgetGiving } from './budgetGiving.js'
import { ownedByAll, type BudgetOwnership } from './budgetOwners.js'
import { BudgetUpkeep } from './budgetUpkeep.js'
import { defaultBudgetPolicy, type BudgetPolicy } from './budgetPolicy.js'
import { isAmount } from './budgetRows.js'
import { BudgetSettlement } from './budgetSettlement.js'
import { BudgetStep } from './budgetStep.js'
import { BudgetSupply } from './budgetSupply.js'
import type { BudgetAction, BudgetDecider, BudgetEvent, BudgetView, DrawOutcome, Transfer } from './budgetTypes.js'
import { EntrySet } from './entrySet.js'
import { FlushQueue } from './flushQueue.js'

type EventOf<K extends BudgetEvent['kind']> = Extract<BudgetEvent, { kind: K }>

/** Maximum wait of a request without its own limit. */
const DEFAULT_GIVE_UP_MS = 10_000

const UNAVAILABLE: DrawOutcome = { kind: 'unavailable' }

/** Budgets of one holder; an entry is created on first use. */
export class BudgetLedger implements BudgetDecider {
  private readonly entries = new EntrySet()
  private readonly queue: FlushQueue
  private readonly supply: BudgetSupply
  private readonly giving: BudgetGiving
  private readonly gifts: BudgetGifts
  private readonly upkeep: BudgetUpkeep
  private readonly settlement: BudgetSettlement
  private readonly steps: BudgetStep
  private draining = false

  constructor (private readonly holder: string, private readonly policy: BudgetPolicy = defaultBudgetPolicy, private readonly owners: BudgetOwnership = ownedByAll(() => 1)) {
    this.queue = new FlushQueue(policy)
    this.giving = new BudgetGiving(holder, policy, this.queue)
    this.upkeep = new BudgetUpkeep(policy, this.queue, this.entries.all)
    this.settlement = new BudgetSettlement(this.entries.all, this.queue, policy)
    this.supply = new BudgetSupply(holder, policy, this.settlement)
    this.gifts = new BudgetGifts(holder, policy, this.queue)
    this.steps = new BudgetStep({ entries: this.entries, supply: this.supply, upkeep: this.upkeep, gifts: this.gifts })
  }

  handle (event: BudgetEvent, now: Instant): readonly BudgetAction[] {
    const actions = this.take(event, now)
    const flush = this.queue.next(now.mono)
    if (flush === undefined) return actions
    const reports = this.settlement.sent(flush, now)
    return [...actions, { kind: 'flush', ...flush, ...(reports.length === 0 ? {} : { reports }) }]
  }

  views (): readonly BudgetView[] {
    return [...this.entries.all.values()].map(entry => entry.view())
  }

  /** State of one budget at this holder. */
  view (budget: string): BudgetView | undefined {
    return this.entries.all.get(budget)?.view()
  }

  /** Whether all bills are durable and no tokens are allotted. */
  get isSettled (): boolean {
    return this.queue.isEmpty && this.entries.holdNothing
  }

  /** Whether a reservation may still be spent; checked again right before the run is dispatched. */
  isValid (reservationId: string, now: Instant): boolean {
    const reservation = this.settlement.find(reservationId)
    if (reservation === undefined) return false
    return reservation.own === 0 || this.entries.all.get(reservation.budget)?.isUsable(now) === true
  }

  /** Whether a transfer from or to a holder may be unrecorded. */
  hasTransferWith (holder: string): boolean {
    return this.queue.hasTransferWith(holder)
  }

  private take (event: BudgetEvent, now: Instant): readonly BudgetAction[] {
    switch (event.kind) {
      case 'reserve': return this.reserve(event, now)
      case 'settle': return this.settle(event, now)
      case 'withdraw': return this.withdraw(event, now)
      case 'tick': return this.tick(now)
      case 'prepare': return this.prepare(event, now)
      case 'holderJoined': return this.holderJoined(event, now)
      case 'drawAnswered': return this.drawAnswered(event, now)
      case 'flushAnswered': return this.flushAnswered(event, now)
      case 'giveAsked': return this.giveAsked(event, now)
      case 'giveAnswered': return this.giveAnswered(event, now)
      case 'recallAsked': return this.recallAsked(event, now)
      case 'recallAnswered': return this.recallAnswered(event, now)
      case 'giftAsked': return this.giftAsked(event, now)
      case 'giftAnswered': return this.giftAnswered(event, now)
      case 'handedOver': return this.handedOver(event, now)
      case 'fence': this.giving.fence(event.holder, now); return []
      case 'paidChanged': return this.paidChanged(event, now)
      case 'drain': return this.drain(now)
    }
  }

  private reserve (event: EventOf<'reserve'>, now: Instant): readonly BudgetAction[] {
    const { reservationId, budget, tokens } = event
    const refuse = (failure: Failure): readonly BudgetAction[] => [{ kind: 'refuse', reservationId, failure }]
    if (!isAmount(tokens) || tokens === 0) return refuse(new Failure('amountInvalid', `${tokens} tokens cannot be reserved`))
    if (this.draining) return refuse(new Failure('draining', 'this VM is draining', { retryAfterMs: 0 }))
    const entry = this.entryOf(budget)
    entry.noteAsked(now.mono)
    entry.aim.noteRequest(tokens, now.mono)
    entry.waiting.push({ reservationId, tokens, since: now, giveUpAfterMs: event.giveUpAfterMs ?? DEFAULT_GIVE_UP_MS })
    return this.step(entry, now)
  }

  /** Counts as a request, so that the allotment is not returned as idle. */
  private prepare ({ budget }: EventOf<'prepare'>, now: Instant): readonly BudgetAction[] {
    if (this.draining || !this.owners.owns(this.holder, budget)) return []
    const entry = this.entryOf(budget)
    entry.noteAsked(now.mono)
    return this.step(entry, now)
  }

  private holderJoined ({ holder }: EventOf<'holderJoined'>, now: Instant): readonly BudgetAction[] {
    if (this.policy.evenPart === 0 || this.draining) return []
    const { count } = this.owners
    for (const entry of this.entries.all.values()) {
      if (this.owners.owns(holder, entry.budget)) this.upkeep.returnFree(entry, Math.ceil(entry.free * (count - 1) / count), now)
    }
    return []
  }

  private settle (event: EventOf<'settle'>, now: Instant): readonly BudgetAction[] {
    const entry = this.settlement.settle(event, now)
    return entry === undefined ? [] : this.step(entry, now)
  }

  private withdraw (event: EventOf<'withdraw'>, now: Instant): readonly BudgetAction[] {
    for (const entry of this.entries.watched) {
      entry.waiting = entry.waiting.filter(item => item.reservationId !== event.reservationId)
    }
    return this.settle({ kind: 'settle', reservationId: event.reservationId }, now)
  }

  private tick (now: Instant): readonly BudgetAction[] {
    const actions = [...this.entries.watched].flatMap(entry => this.step(entry, now))
    for (const entry of this.upkeep.visit(now, this.draining)) this.entries.watch(entry)
    return actions
  }

  private drawAnswered (event: EventOf<'drawAnswered'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.withDraw(event.drawId)
    if (entry === undefined) return []
    const isClosed = event.outcome.kind === 'closed'
    // An open flush of this budget has to fail first: a reopened row would accept its bills a second time.
    const outcome = isClosed && this.settlement.isFlushing(entry.budget) ? UNAVAILABLE : event.outcome
    const closed = outcome.kind === 'closed' ? this.settlement.close(entry) : []
    this.supply.drawn(entry, outcome, now)
    return [...closed, ...this.step(entry, now)]
  }

  private flushAnswered (event: EventOf<'flushAnswered'>, now: Instant): readonly BudgetAction[] {
    const { changed, actions } = this.settlement.flushed(event, now)
    return [...actions, ...changed.flatMap(entry => this.step(entry, now))]
  }

  private giveAsked (event: EventOf<'giveAsked'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.all.get(event.budget)
    const transfer = this.giving.give(event, this.draining ? undefined : entry, now)
    if (entry !== undefined) this.entries.watch(entry)
    return [{ kind: 'give', transferId: event.transferId, transfer }]
  }

  private giveAnswered (event: EventOf<'giveAnswered'>, now: Instant): readonly BudgetAction[] {
    if (event.transfer !== undefined) return this.receive(event.transfer, event.askedAt ?? now, now)
    const entry = this.entries.withOperation(event.transferId)
    if (entry === undefined) return []
    this.supply.endStage(entry, event.transferId, now)
    return this.step(entry, now)
  }

  private receive (transfer: Transfer, askedAt: Instant, now: Instant): readonly BudgetAction[] {
    const entry = this.entryOf(transfer.budget)
    if (!this.giving.receive(transfer, entry, askedAt, now)) return []
    return this.step(entry, now)
  }

  private recallAsked (event: EventOf<'recallAsked'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.all.get(event.budget)
    const tokens = entry === undefined ? 0 : this.giving.returnOnRecall(event, entry, now)
    return [{ kind: 'returning', budget: event.budget, tokens }]
  }

  private recallAnswered (event: EventOf<'recallAnswered'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.withOperation(event.recallId)
    if (entry === undefined) return []
    entry.unreachable = event.unreachable ?? 0
    // The returned tokens can be drawn now.
    entry.nextDrawAt = 0
    this.supply.endStage(entry, event.recallId, now)
    return this.step(entry, now)
  }

  private giftAsked (event: EventOf<'giftAsked'>, now: Instant): readonly BudgetAction[] {
    const { budget, giftId, to } = event
    const isOwned = !this.draining && this.owners.owns(this.holder, budget)
    const entry = isOwned ? this.entryOf(budget) : this.entries.all.get(budget)
    const tokens = this.gifts.give(event, this.draining ? undefined : entry, now)
    const left = entry === undefined ? 0 : this.gifts.left(entry, now)
    const supply = entry === undefined || this.owners.owns(to, budget) ? [] : this.supplyOther(entry, event, tokens, now)
    return [{ kind: 'gift', giftId, tokens, left }, ...supply]
  }

  /** Prepares for further grant requests of a holder that does not own the budget. */
  private supplyOther (entry: BudgetEntry, asked: EventOf<'giftAsked'>, given: number, now: Instant): readonly BudgetAction[] {
    if (this.draining || !entry.isOwned) return []
    entry.noteNeedOfOther(asked.tokens, given, now.mono)
    if (given < asked.tokens && entry.free > 0) this.upkeep.report(entry, now)
    return this.step(entry, now)
  }

  private giftAnswered (event: EventOf<'giftAnswered'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.all.get(event.budget)
    if (entry === undefined) return []
    this.gifts.answered(entry, event, now)
    return this.step(entry, now)
  }

  private handedOver ({ budget, tokens }: EventOf<'handedOver'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entryOf(budget)
    entry.purse.add(tokens)
    return this.step(entry, now)
  }

  private paidChanged ({ budget, isLowered }: EventOf<'paidChanged'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.all.get(budget)
    if (entry === undefined) return []
    entry.forgetShortage()
    if (isLowered) {
      // Granted tokens count as spent already; after the paid amount was lowered they may not be used.
      entry.purse.take(Infinity)
      this.upkeep.returnFree(entry, 0, now)
    }
    this.entries.watch(entry)
    return this.step(entry, now)
  }

  private drain (now: Instant): readonly BudgetAction[] {
    this.draining = true
    const actions: BudgetAction[] = []
    for (const entry of this.entries.all.values()) {
      for (const item of entry.waiting) {
        const failure = new Failure('draining', 'this VM is draining', { retryAfterMs: 0 })
        actions.push({ kind: 'refuse', reservationId: item.reservationId, failure })
      }
      entry.waiting = []
      entry.isWanted = false
      actions.push(...this.gifts.handOver(entry, now))
      this.entries.watch(entry)
    }
    this.upkeep.returnAll(now)
    return actions
  }

  private step (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    return this.steps.take(entry, this.draining, now)
  }

  private entryOf (budget: string): BudgetEntry {
    let entry = this.entries.all.get(budget)
    if (entry === undefined) {
      entry = new BudgetEntry(budget, this.policy, () => this.owners.owns(this.holder, budget))
      entry.isWanted = !this.draining
      entry.reopen = this.upkeep.hadRow(budget)
      this.entries.all.set(budget, entry)
    }
    return entry
  }
}
