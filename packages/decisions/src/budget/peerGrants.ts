/**
 * Grants between holders, which need no access to the table: a holder without tokens for a waiting request queries its peers.
 * The granter bills the tokens as used by itself, within its last report, before it answers; the recipient stores them in a
 * GrantPool beside its allotment. A terminated holder or a lost or duplicate answer can lose tokens, but none is spent twice.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { BudgetPolicy } from './budgetPolicy.js'
import type { BudgetAction, BudgetEvent } from './budgetTypes.js'
import { DEFAULT_PRIORITY, mostUrgent } from './admissionOrder.js'
import type { FlushQueue } from './flushQueue.js'
import type { GrantPolicySource } from './grantPolicy.js'

type EventOf<K extends BudgetEvent['kind']> = Extract<BudgetEvent, { kind: K }>

/** Pause before the next grant request after peers granted too little: their tokens do not change faster. */
const PEERS_PAUSE_MS = 150
/** The same for requests to the owners: one that granted less reports immediately, which takes about 15 ms. */
const OWNERS_PAUSE_MS = 40

/** Requests and answers grants for one holder. */
export class PeerGrants {
  private requestCount = 0

  /**
   * @param holder - holder id, prefix of request ids
   * @param queue - receives the bills of granted tokens
   * @param grantPolicy - order and pauses of grant requests
   */
  constructor (
    private readonly holder: string,
    private readonly policy: Pick<BudgetPolicy, 'grantAfterMs'>,
    private readonly queue: FlushQueue,
    private readonly grantPolicy: GrantPolicySource
  ) {}

  /**
   * Grants usable tokens, unless local requests wait that are as urgent: received grants first, then tokens of the allotment,
   * which are billed. Tokens that a more urgent grant request lacked are kept for it for a short time.
   * @param entry - undefined if this holder has no entry for the budget
   */
  answerRequest ({ giftId, tokens, to, priority = DEFAULT_PRIORITY }: EventOf<'grantRequested'>, entry: BudgetEntry | undefined, now: Instant): number {
    if (entry === undefined || this.needsItself(entry, priority)) return 0
    const policy = this.grantPolicy()
    const held = policy === undefined ? 0 : entry.heldForPeers(priority, policy.urgentHoldMs, now.mono)
    const wanted = Math.min(tokens, Math.max(0, entry.grantedBalance.free + usableTokens(entry, now) - held))
    const passedOn = entry.grantedBalance.withdraw(wanted)
    const fromAllotment = Math.min(wanted - passedOn, usableTokens(entry, now))
    if (fromAllotment > 0) this.billAsUsed(entry, fromAllotment, `${giftId} ${to}`, now)
    return passedOn + fromAllotment
  }

  /** Tokens that could be granted now. */
  left (entry: BudgetEntry, now: Instant): number {
    return entry.waiting.length > 0 ? 0 : entry.grantedBalance.free + usableTokens(entry, now)
  }

  /**
   * Hands usable tokens over to another holder if they cannot be returned to the table before this process stops. Received
   * grants are always handed over, as no row records them.
   */
  handover (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    if (this.policy.grantAfterMs === undefined) return []
    const { budget } = entry
    const fromAllotment = entry.isDrawFutile(now) ? usableTokens(entry, now) : 0
    const tokens = entry.grantedBalance.withdraw(Infinity) + fromAllotment
    if (fromAllotment > 0) this.billAsUsed(entry, fromAllotment, 'handOver', now)
    return tokens === 0 ? [] : [{ kind: 'handOver', budget, tokens }]
  }

  /**
   * Bills allotted tokens that may be used now, so that they can be handed to an owner; returns their number.
   * @param kept - free tokens to retain
   */
  withdrawUnneeded (entry: BudgetEntry, kept: number, now: Instant): number {
    const tokens = Math.max(0, Math.min(usableTokens(entry, now), Math.floor(entry.free) - kept))
    if (tokens > 0) this.billAsUsed(entry, tokens, 'givenUp', now)
    return tokens
  }

  /** Requests the tokens that waiting requests lack; one open request at a time. */
  ask (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    const oldest = entry.waiting[0]
    const { grantAfterMs } = this.policy
    if (oldest === undefined || grantAfterMs === undefined || entry.grantRequestId !== undefined || now.mono < entry.nextGrantRequestAt) return []
    if (entry.drawsAhead(now.mono) && !entry.isDrawFutile(now) && now.mono - oldest.since.mono < grantAfterMs) return []
    const tokens = missingTokens(entry, now)
    if (tokens <= 0) return []
    this.requestCount += 1
    entry.grantRequestId = `${this.holder}.gift${this.requestCount}`
    const priority = this.grantPolicy() === undefined ? undefined : mostUrgent(entry.waiting)
    return [{ kind: 'requestGrant', giftId: entry.grantRequestId, budget: entry.budget, tokens, ...(priority === undefined ? {} : { priority }) }]
  }

  /** Handles the outcome of a grant request. */
  answered (entry: BudgetEntry, { giftId, tokens, isReached }: EventOf<'grantAnswered'>, now: Instant): void {
    if (entry.grantRequestId !== giftId) return
    if (!isReached) entry.peersUnresponsiveAt = now.mono
    entry.grantRequestId = undefined
    entry.grantedBalance.add(tokens)
    const pauseMs = entry.drawsAhead(now.mono) ? PEERS_PAUSE_MS : OWNERS_PAUSE_MS
    const longestMs = isReached && tokens === 0 ? this.grantPolicy()?.maxAskPauseMs ?? 0 : 0
    entry.grantPauseMs = Math.max(pauseMs, Math.min(entry.grantPauseMs * 2, longestMs))
    if (missingTokens(entry, now) <= 0) return
    entry.grantsShortAt = now.mono
    entry.nextGrantRequestAt = now.mono + entry.grantPauseMs
  }

  /** Whether a request waits here that is as urgent as the grant request. */
  private needsItself ({ waiting }: BudgetEntry, priority: number): boolean {
    const urgent = mostUrgent(waiting)
    return urgent !== undefined && (this.grantPolicy() === undefined || urgent <= priority)
  }

  private billAsUsed (entry: BudgetEntry, tokens: number, requestId: string, now: Instant): void {
    const { budget } = entry
    entry.unsettled += tokens
    this.queue.addBill({ requestId, budget, team: budget, tokens, runner: '' }, now.mono)
  }
}

/** Tokens that waiting requests need beyond those usable here. */
function missingTokens (entry: BudgetEntry, now: Instant): number {
  return entry.waitingTokens - usableTokens(entry, now) - entry.grantedBalance.free
}

/** Tokens of the allotment that are usable now. */
function usableTokens (entry: BudgetEntry, now: Instant): number {
  return entry.isUsable(now) ? Math.max(0, Math.floor(entry.usable(now))) : 0
}
