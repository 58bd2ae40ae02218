/**
 * Budget decider of one holder. Admits requests from durably allotted tokens, writes bills in group commits and draws tokens
 * ahead of need. Does no I/O: the shell carries out its actions and reports the outcomes as events.
 */
import type { Instant } from '../clock/clockTypes.js'
import { Failure } from '../codes/failure.js'
import { BudgetEntry } from './budgetEntry.js'
import { PeerGrants } from './peerGrants.js'
import { BudgetTransfers } from './budgetTransfers.js'
import { ownedByAll, type BudgetOwnership } from './budgetOwners.js'
import { BudgetMaintenance } from './budgetMaintenance.js'
import { defaultBudgetPolicy, type BudgetPolicy } from './budgetPolicy.js'
import { isAmount } from './budgetRows.js'
import { BudgetSettlement } from './budgetSettlement.js'
import { BudgetStep } from './budgetStep.js'
import { BudgetSupply } from './budgetSupply.js'
import type { BudgetAction, BudgetDecider, BudgetEvent, BudgetView, DrawOutcome, Transfer } from './budgetTypes.js'
import { EntrySet } from './entrySet.js'
import type { GrantPolicySource } from './grantPolicy.js'
import { GrantReturns } from './grantReturns.js'
import { DEFAULT_PRIORITY } from './admissionOrder.js'
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
  private readonly transfers: BudgetTransfers
  private readonly grants: PeerGrants
  private readonly grantReturns: GrantReturns
  private readonly maintenance: BudgetMaintenance
  private readonly settlement: BudgetSettlement
  private readonly steps: BudgetStep
  private draining = false

  constructor (private readonly holder: string, private readonly policy: BudgetPolicy = defaultBudgetPolicy, private readonly owners: BudgetOwnership = ownedByAll(() => 1), private readonly grantPolicy: GrantPolicySource = () => undefined) {
    this.queue = new FlushQueue(policy)
    this.transfers = new BudgetTransfers(holder, policy, this.queue)
    this.maintenance = new BudgetMaintenance(policy, this.queue, this.entries.all)
    this.settlement = new BudgetSettlement(this.entries.all, this.queue, policy)
    this.supply = new BudgetSupply(holder, policy, this.settlement, grantPolicy)
    this.grants = new PeerGrants(holder, policy, this.queue, grantPolicy)
    this.grantReturns = new GrantReturns({ grants: this.grants, maintenance: this.maintenance, budgetPolicy: policy, policy: grantPolicy })
    this.steps = new BudgetStep({ entries: this.entries, supply: this.supply, maintenance: this.maintenance, grants: this.grants })
  }

  handle (event: BudgetEvent, now: Instant): readonly BudgetAction[] {
    const actions = this.dispatch(event, now)
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
    return this.queue.isEmpty && this.entries.areEmpty
  }

  /** Whether a reservation may still be spent; checked again right before the run is dispatched. */
  isValid (reservationId: string, now: Instant): boolean {
    const reservation = this.settlement.find(reservationId)
    if (reservation === undefined) return false
    return reservation.fromAllotment === 0 || this.entries.all.get(reservation.budget)?.isUsable(now) === true
  }

  /** Whether grant requests for a budget, of which this holder is an owner, recently got too little. */
  isShort (budget: string, now: Instant): boolean {
    const entry = this.entries.all.get(budget)
    return entry?.isOwned === true && entry.isShortForPeers(now.mono)
  }

  /** Whether a transfer from or to a holder may be unrecorded. */
  hasTransferWith (holder: string): boolean {
    return this.queue.hasTransferWith(holder)
  }

  private dispatch (event: BudgetEvent, now: Instant): readonly BudgetAction[] {
    switch (event.kind) {
      case 'reserve': return this.reserve(event, now)
      case 'settle': return this.settle(event, now)
      case 'withdraw': return this.withdraw(event, now)
      case 'tick': return this.tick(now)
      case 'prepare': return this.prepare(event, now)
      case 'holderJoined': return this.holderJoined(event, now)
      case 'drawAnswered': return this.drawAnswered(event, now)
      case 'flushAnswered': return this.flushAnswered(event, now)
      case 'transferRequested': return this.transferRequested(event, now)
      case 'transferAnswered': return this.transferAnswered(event, now)
      case 'recallRequested': return this.recallRequested(event, now)
      case 'recallAnswered': return this.recallAnswered(event, now)
      case 'grantRequested': return this.grantRequested(event, now)
      case 'grantAnswered': return this.grantAnswered(event, now)
      case 'handoverReceived': return this.handoverReceived(event, now)
      case 'ownerShort': return this.ownerShort(event, now)
      case 'fence': this.transfers.fence(event.holder, now); return []
      case 'paidChanged': return this.paidChanged(event, now)
      case 'drain': return this.drain(now)
    }
  }

  private reserve (event: EventOf<'reserve'>, now: Instant): readonly BudgetAction[] {
    const { reservationId, budget, tokens } = event
    const refuse = (failure: Failure): readonly BudgetAction[] => [{ kind: 'refuse', reservationId, failure }]
    if (!isAmount(tokens) || tokens === 0) return refuse(new Failure('amountInvalid', `${tokens} tokens cannot be reserved`, { ran: 'no' }))
    if (this.draining) return refuse(new Failure('draining', 'this VM is draining', { ran: 'no', retryAfterMs: 0 }))
    const entry = this.entryOf(budget)
    entry.recordRequest(now.mono)
    entry.desired.recordRequest(tokens, now.mono)
    entry.waiting.push({ reservationId, tokens, priority: event.priority ?? DEFAULT_PRIORITY, since: now, giveUpAfterMs: event.giveUpAfterMs ?? DEFAULT_GIVE_UP_MS })
    return this.step(entry, now)
  }

  /** Counts as a request, so that the allotment is not returned as idle. */
  private prepare ({ budget }: EventOf<'prepare'>, now: Instant): readonly BudgetAction[] {
    if (this.draining || !this.owners.owns(this.holder, budget)) return []
    const entry = this.entryOf(budget)
    entry.recordRequest(now.mono)
    return this.step(entry, now)
  }

  private holderJoined ({ holder }: EventOf<'holderJoined'>, now: Instant): readonly BudgetAction[] {
    if (this.policy.fairShareRatio === 0 || this.draining) return []
    const { count } = this.owners
    for (const entry of this.entries.all.values()) {
      if (this.owners.owns(holder, entry.budget)) this.maintenance.returnFree(entry, Math.ceil(entry.free * (count - 1) / count), now)
    }
    return []
  }

  private settle (event: EventOf<'settle'>, now: Instant): readonly BudgetAction[] {
    const entry = this.settlement.settle(event, now)
    return entry === undefined ? [] : this.step(entry, now)
  }

  private withdraw (event: EventOf<'withdraw'>, now: Instant): readonly BudgetAction[] {
    for (const entry of this.entries.pending) {
      entry.waiting = entry.waiting.filter(item => item.reservationId !== event.reservationId)
    }
    return this.settle({ kind: 'settle', reservationId: event.reservationId }, now)
  }

  private tick (now: Instant): readonly BudgetAction[] {
    const actions = [...this.entries.pending].flatMap(entry => this.step(entry, now))
    for (const entry of this.maintenance.visit(now, this.draining)) this.entries.setPending(entry)
    return this.draining ? actions : [...actions, ...this.grantReturns.due(this.entries.all.values(), now)]
  }

  private drawAnswered (event: EventOf<'drawAnswered'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.byDraw(event.drawId)
    if (entry === undefined) return []
    const isClosed = event.outcome.kind === 'closed'
    // An open flush of this budget has to fail first: a reopened row would accept its bills a second time.
    const outcome = isClosed && this.settlement.isFlushing(entry.budget) ? UNAVAILABLE : event.outcome
    const closed = outcome.kind === 'closed' ? this.settlement.close(entry) : []
    this.supply.handleDrawOutcome(entry, outcome, now)
    return [...closed, ...this.step(entry, now)]
  }

  private flushAnswered (event: EventOf<'flushAnswered'>, now: Instant): readonly BudgetAction[] {
    const { changed, actions } = this.settlement.handleFlushOutcome(event, now)
    return [...actions, ...changed.flatMap(entry => this.step(entry, now))]
  }

  private transferRequested (event: EventOf<'transferRequested'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.all.get(event.budget)
    const transfer = this.transfers.answerRequest(event, this.draining ? undefined : entry, now)
    if (entry !== undefined) this.entries.setPending(entry)
    return [{ kind: 'answerTransfer', transferId: event.transferId, transfer }]
  }

  private transferAnswered (event: EventOf<'transferAnswered'>, now: Instant): readonly BudgetAction[] {
    if (event.transfer !== undefined) return this.receive(event.transfer, event.requestedAt ?? now, now)
    const entry = this.entries.byOperation(event.transferId)
    if (entry === undefined) return []
    this.supply.endStage(entry, event.transferId, now)
    return this.step(entry, now)
  }

  private receive (transfer: Transfer, requestedAt: Instant, now: Instant): readonly BudgetAction[] {
    const entry = this.entryOf(transfer.budget)
    if (!this.transfers.receive(transfer, entry, requestedAt, now)) return []
    return this.step(entry, now)
  }

  private recallRequested (event: EventOf<'recallRequested'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.all.get(event.budget)
    const tokens = entry === undefined ? 0 : this.transfers.returnOnRecall(event, entry, now)
    return [{ kind: 'answerRecall', budget: event.budget, tokens }]
  }

  private recallAnswered (event: EventOf<'recallAnswered'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.byOperation(event.recallId)
    if (entry === undefined) return []
    entry.unreachable = event.unreachable ?? 0
    // The returned tokens can be drawn now.
    entry.nextDrawAt = 0
    this.supply.endStage(entry, event.recallId, now)
    return this.step(entry, now)
  }

  private grantRequested (event: EventOf<'grantRequested'>, now: Instant): readonly BudgetAction[] {
    const { budget, giftId, to } = event
    const isOwned = !this.draining && this.owners.owns(this.holder, budget)
    const entry = isOwned ? this.entryOf(budget) : this.entries.all.get(budget)
    const tokens = this.grants.answerRequest(event, this.draining ? undefined : entry, now)
    const left = entry === undefined ? 0 : this.grants.left(entry, now)
    const supply = entry === undefined || this.owners.owns(to, budget) ? [] : this.supplyPeer(entry, event, tokens, now)
    return [{ kind: 'answerGrant', giftId, tokens, left }, ...supply]
  }

  /** Prepares for further grant requests of a holder that does not own the budget. */
  private supplyPeer (entry: BudgetEntry, event: EventOf<'grantRequested'>, granted: number, now: Instant): readonly BudgetAction[] {
    if (this.draining || !entry.isOwned) return []
    entry.recordPeerDemand(event, granted, now.mono)
    if (granted < event.tokens && entry.free > 0) this.maintenance.report(entry, now)
    return this.step(entry, now)
  }

  private grantAnswered (event: EventOf<'grantAnswered'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.all.get(event.budget)
    if (entry === undefined) return []
    this.grants.answered(entry, event, now)
    return this.step(entry, now)
  }

  private handoverReceived ({ budget, tokens }: EventOf<'handoverReceived'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entryOf(budget)
    entry.grantedBalance.add(tokens)
    return this.step(entry, now)
  }

  private ownerShort ({ budget }: EventOf<'ownerShort'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.all.get(budget)
    return entry === undefined || this.draining ? [] : this.grantReturns.giveUpUnneeded(entry, now)
  }

  private paidChanged ({ budget, isLowered }: EventOf<'paidChanged'>, now: Instant): readonly BudgetAction[] {
    const entry = this.entries.all.get(budget)
    if (entry === undefined) return []
    entry.clearShortage()
    if (this.grantPolicy() !== undefined) entry.clearGrantPause()
    if (isLowered) {
      // Granted tokens count as spent already; after the paid amount was lowered they may not be used.
      entry.grantedBalance.withdraw(Infinity)
      this.maintenance.returnFree(entry, 0, now)
    }
    this.entries.setPending(entry)
    return this.step(entry, now)
  }

  private drain (now: Instant): readonly BudgetAction[] {
    this.draining = true
    const actions: BudgetAction[] = []
    for (const entry of this.entries.all.values()) {
      for (const item of entry.waiting) {
        const failure = new Failure('draining', 'this VM is draining', { ran: 'no', retryAfterMs: 0 })
        actions.push({ kind: 'refuse', reservationId: item.reservationId, failure })
      }
      entry.waiting = []
      entry.isRefilled = false
      actions.push(...this.grants.handover(entry, now))
      this.entries.setPending(entry)
    }
    this.maintenance.returnAll(now)
    return actions
  }

  private step (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    return this.steps.process(entry, this.draining, now)
  }

  private entryOf (budget: string): BudgetEntry {
    let entry = this.entries.all.get(budget)
    if (entry === undefined) {
      entry = new BudgetEntry(budget, this.policy, () => this.owners.owns(this.holder, budget))
      entry.isRefilled = !this.draining
      entry.mustReopen = this.maintenance.hadRow(budget)
      this.entries.all.set(budget, entry)
    }
    return entry
  }
}
