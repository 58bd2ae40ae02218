/**
 * Acquires tokens for a holder: a draw ahead of need or, if requests wait, a round of a draw from the table, a transfer within
 * the failure domain, a recall from all domains and a second draw. budgetRefusal decides when a waiting request is refused.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { OpenDraw, RoundStage, Shortage } from './budgetEntryTypes.js'
import { admitInOrder } from './admissionOrder.js'
import { lowWaterMark, type BudgetPolicy } from './budgetPolicy.js'
import { mayRetryTable, refusalOf } from './budgetRefusal.js'
import type { BudgetSettlement } from './budgetSettlement.js'
import type { BudgetAction, DrawOutcome } from './budgetTypes.js'
import type { GrantPolicySource } from './grantPolicy.js'
import { withAllotment } from './reportBound.js'

const nextStages: Readonly<Partial<Record<RoundStage, RoundStage>>> = { draw: 'give', give: 'recall', recall: 'redraw' }

export class BudgetSupply {
  private operationCount = 0

  /**
   * @param holder - holder id, prefix of operation ids
   * @param settlement - opens a reservation for each admitted request
   * @param grantPolicy - order of admission
   */
  constructor (
    private readonly holder: string,
    private readonly policy: BudgetPolicy,
    private readonly settlement: Pick<BudgetSettlement, 'open'>,
    private readonly grantPolicy: GrantPolicySource
  ) {}

  /** Admits requests that fit, refuses those that cannot be served, and advances the acquisition of tokens. */
  serve (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    const admitted = this.admit(entry, now)
    const refused = this.refuse(entry, now)
    return [...admitted, ...refused, ...this.advance(entry, now)]
  }

  /** Handles the outcome of a draw. */
  handleDrawOutcome (entry: BudgetEntry, outcome: DrawOutcome, now: Instant): void {
    const { draw } = entry
    const drawId = draw?.drawId ?? ''
    entry.draw = outcome.kind === 'unavailable' && entry.draw !== undefined ? { ...entry.draw, inFlight: false } : undefined
    if (outcome.kind === 'granted' && outcome.fleet !== undefined) entry.desired.updateFleet(outcome.fleet)
    if (outcome.kind === 'granted' && draw?.report !== undefined) entry.bounds.begin(withAllotment(draw.report, outcome.tokens))
    if (outcome.kind === 'granted') this.applyGranted(entry, outcome.tokens, outcome.sentAt)
    else this.applyNotGranted(entry, outcome, now)
    this.endStage(entry, drawId, now)
  }

  /** Ends the current stage of a round and selects the next one. */
  endStage (entry: BudgetEntry, operationId: string, now: Instant): void {
    const round = entry.round
    if (round === undefined || round.operationId !== operationId) return
    if (now.mono < entry.nextRoundAt) {
      entry.round = undefined
      return
    }
    const stage = this.stageAfter(entry, round.stage, now)
    if (stage !== undefined && entry.deficit > 0) {
      entry.round = { stage }
      return
    }
    this.endRound(entry, now)
  }

  /** Whether the allotment should be refilled. */
  isLow (entry: BudgetEntry, now: Instant): boolean {
    if (!entry.isRefilled) return false
    return entry.free < lowWaterMark(this.policy, entry.refillBase(now), entry.desired.largest)
  }

  private endRound (entry: BudgetEntry, now: Instant): void {
    entry.round = undefined
    entry.roundPauseMs = Math.min(this.policy.roundMaxMs, Math.max(this.policy.roundMs, entry.roundPauseMs * 2))
    entry.nextRoundAt = now.mono + entry.roundPauseMs
  }

  private stageAfter (entry: BudgetEntry, stage: RoundStage, now: Instant): RoundStage | undefined {
    if (this.policy.grantAfterMs !== undefined) return undefined
    const next = stage === 'draw' && !entry.mayRequestTransfer(now) ? 'recall' : nextStages[stage]
    const isTableReachable = entry.shortage === undefined || entry.shortage.kind === 'short'
    return next === 'recall' && !isTableReachable ? undefined : next
  }

  private applyGranted (entry: BudgetEntry, tokens: number, sentAt: Instant): void {
    entry.held += tokens
    entry.leaseStartedAt = sentAt
    entry.mustReopen = false
    entry.shortage = undefined
    entry.drawPauseMs = 0
    entry.roundPauseMs = 0
    entry.level = Math.max(0, entry.free)
  }

  private applyNotGranted (entry: BudgetEntry, outcome: DrawOutcome, now: Instant): void {
    if (outcome.kind === 'closed') {
      entry.reset()
      return
    }
    entry.shortage = this.shortageOf(outcome)
    entry.shortageAt = now.mono
    const { retryMs, retryMaxMs } = this.policy
    entry.drawPauseMs = outcome.kind === 'unavailable'
      ? Math.min(retryMaxMs, Math.max(retryMs, entry.drawPauseMs * 2))
      : this.policy.emptyDrawPauseMs
    entry.nextDrawAt = now.mono + entry.drawPauseMs
  }

  private shortageOf (outcome: DrawOutcome): Shortage | undefined {
    if (outcome.kind === 'short') {
      return { kind: 'short', unspent: outcome.unspent ?? outcome.left + outcome.elsewhere }
    }
    if (outcome.kind === 'unavailable' || outcome.kind === 'unknownBudget') return { kind: outcome.kind }
    return undefined
  }

  private admit (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    if (entry.waiting.length === 0) return []
    const actions: BudgetAction[] = []
    const policy = this.grantPolicy()
    const order = policy === undefined ? undefined : { urgentHoldMs: policy.urgentHoldMs, hold: entry.admissionHold }
    entry.waiting = admitInOrder(entry.waiting, order, item => {
      const reserved = entry.reserve(item.tokens, now)
      if (reserved === undefined) return false
      this.settlement.open(item.reservationId, entry.budget, reserved)
      if (this.policy.demandSource === 'reservations') entry.desired.recordDemand(item.tokens, now.mono)
      actions.push({ kind: 'admit', reservationId: item.reservationId })
      return true
    }, now)
    return actions
  }

  private refuse (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    const actions: BudgetAction[] = []
    entry.waiting = entry.waiting.filter(item => {
      const failure = refusalOf(entry, item, this.policy, now)
      if (failure === undefined) return true
      actions.push({ kind: 'refuse', reservationId: item.reservationId, failure })
      return false
    })
    return actions
  }

  private advance (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    if (entry.round !== undefined) return this.runStage(entry, now)
    if (entry.waiting.length === 0) return this.drawAhead(entry, now)
    if (this.leavesDrawToOwners(entry, now)) return []
    if (now.mono < entry.nextRoundAt && !mayRetryTable(entry, now)) return []
    entry.round = { stage: 'draw' }
    return this.runStage(entry, now)
  }

  /**
   * Whether to leave the draw to the owners; others query the table only if no owner answers. If all holders drew after a mass
   * failure, their transactions on the budget row would queue and mostly conflict, and requests would go on being refused.
   */
  private leavesDrawToOwners (entry: BudgetEntry, now: Instant): boolean {
    const oldest = entry.waiting[0]
    return this.policy.grantAfterMs !== undefined && !entry.drawsAhead(now.mono) && oldest !== undefined && entry.peersUnresponsiveAt < oldest.since.mono
  }

  private runStage (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    if (entry.round === undefined || entry.round.operationId !== undefined) return []
    const { stage } = entry.round
    const { budget, deficit } = entry
    if (stage === 'draw' || stage === 'redraw') {
      const actions = this.startDraw(entry, now)
      entry.round = { stage, operationId: entry.draw?.drawId ?? '' }
      return actions
    }
    const operationId = this.nextId(stage)
    entry.round = { stage, operationId }
    const wanted = Math.max(deficit, this.refillTokens(entry, now))
    if (stage === 'give') return [{ kind: 'requestTransfer', transferId: operationId, budget, tokens: wanted, atLeast: deficit }]
    return [{ kind: 'recall', recallId: operationId, budget, tokens: wanted, atLeast: deficit }]
  }

  private startDraw (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    const { budget, deficit: atLeast, mustReopen: reopen } = entry
    const isUrgent = atLeast > 0
    // A draw ahead of need is sent again as urgent, under the same id, once requests wait for it.
    if (entry.draw?.inFlight === true && (entry.draw.isUrgent || !isUrgent)) return []
    const { drawId, since, report } = entry.draw ?? this.newDraw(entry, now)
    entry.draw = { drawId, inFlight: true, isUrgent, since, ...(report === undefined ? {} : { report }) }
    const tokens = Math.max(atLeast, this.refillTokens(entry, now))
    return [{ kind: 'draw', drawId, budget, tokens, atLeast, minUseful: this.minUsefulTokens(entry), isFairShareOnly: entry.isFairShareOnly(now), reopen, expectsRow: entry.leaseStartedAt !== undefined, ...(report === undefined ? {} : { report }) }]
  }

  private newDraw (entry: BudgetEntry, now: Instant): Pick<OpenDraw, 'drawId' | 'since' | 'report'> {
    const draw = { drawId: this.nextId('draw'), since: now }
    return this.policy.boundsUnreportedUse && entry.bounds.isEmpty ? { ...draw, report: { ...entry.allowance(now), at: now } } : draw
  }

  private drawAhead (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    if (now.mono < entry.nextDrawAt) return []
    const isOpen = entry.draw?.inFlight === false
    return isOpen || this.isLow(entry, now) ? this.startDraw(entry, now) : []
  }

  /** Tokens needed to reach the desired allotment in addition to waiting requests. */
  private refillTokens (entry: BudgetEntry, now: Instant): number {
    const desired = entry.isRefilled ? entry.desired.tokens(now.mono) : 0
    return Math.max(0, desired + entry.waitingTokens - Math.max(0, entry.free))
  }

  private minUsefulTokens (entry: BudgetEntry): number {
    const smallest = entry.waiting.reduce((least, item) => Math.min(least, item.tokens), Infinity)
    return Number.isFinite(smallest) ? Math.max(1, smallest - Math.max(0, entry.free)) : 0
  }

  private nextId (stage: RoundStage): string {
    this.operationCount += 1
    return `${this.holder}.${stage}${this.operationCount}`
  }
}
