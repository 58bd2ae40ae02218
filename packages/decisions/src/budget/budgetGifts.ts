/**
 * Grants between holders, which need no access to the table: a holder without tokens for a waiting request queries its peers.
 * The granter bills the tokens as used by itself, within its last report, before it answers; the recipient stores them in a
 * GrantPool beside its allotment. A terminated holder or a lost or duplicate answer can lose tokens, but none is spent twice.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { BudgetPolicy } from './budgetPolicy.js'
import type { BudgetAction, BudgetEvent } from './budgetTypes.js'
import type { FlushQueue } from './flushQueue.js'

type EventOf<K extends BudgetEvent['kind']> = Extract<BudgetEvent, { kind: K }>

/** Pause before the next grant request after peers granted too little: their tokens do not change faster. */
const EMPTY_PAUSE_MS = 150
/** The same for requests to the owners: one that granted less reports immediately, which takes about 15 ms. */
const OWNERS_PAUSE_MS = 40

/** Requests and answers grants for one holder. */
export class BudgetGifts {
  private asks = 0

  /**
   * @param holder - holder id, prefix of request ids
   * @param queue - receives the bills of granted tokens
   */
  constructor (
    private readonly holder: string,
    private readonly policy: Pick<BudgetPolicy, 'giftAfterMs'>,
    private readonly queue: FlushQueue
  ) {}

  /**
   * Grants usable tokens, unless local requests wait: received grants first, then tokens of the allotment, which are billed.
   * @param entry - undefined if this holder has no entry for the budget
   */
  give ({ giftId, tokens, to }: EventOf<'giftAsked'>, entry: BudgetEntry | undefined, now: Instant): number {
    if (entry === undefined || entry.waiting.length > 0) return 0
    const passedOn = entry.purse.take(tokens)
    const own = Math.min(tokens - passedOn, ownTokens(entry, now))
    if (own > 0) this.billAsUsed(entry, own, `${giftId} ${to}`, now)
    return passedOn + own
  }

  /** Tokens that could be granted now. */
  left (entry: BudgetEntry, now: Instant): number {
    return entry.waiting.length > 0 ? 0 : entry.purse.free + ownTokens(entry, now)
  }

  /**
   * Hands usable tokens over to another holder if they cannot be returned to the table before this process stops. Received
   * grants are always handed over, as no row records them.
   */
  handOver (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    if (this.policy.giftAfterMs === undefined) return []
    const { budget } = entry
    const own = entry.isOutOfTouch(now) ? ownTokens(entry, now) : 0
    const tokens = entry.purse.take(Infinity) + own
    if (own > 0) this.billAsUsed(entry, own, 'handOver', now)
    return tokens === 0 ? [] : [{ kind: 'handOver', budget, tokens }]
  }

  /** Requests the tokens that waiting requests lack; one open request at a time. */
  ask (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    const oldest = entry.waiting[0]
    const { giftAfterMs } = this.policy
    if (oldest === undefined || giftAfterMs === undefined || entry.giftAsk !== undefined || now.mono < entry.nextGiftAt) return []
    if (entry.isSupplied(now.mono) && !entry.isOutOfTouch(now) && now.mono - oldest.since.mono < giftAfterMs) return []
    const tokens = lackingTokens(entry, now)
    if (tokens <= 0) return []
    this.asks += 1
    entry.giftAsk = `${this.holder}.gift${this.asks}`
    return [{ kind: 'askGift', giftId: entry.giftAsk, budget: entry.budget, tokens }]
  }

  /** Handles the outcome of a grant request. */
  answered (entry: BudgetEntry, { giftId, tokens, isReached }: EventOf<'giftAnswered'>, now: Instant): void {
    if (entry.giftAsk !== giftId) return
    if (!isReached) entry.othersSilentAt = now.mono
    entry.giftAsk = undefined
    entry.purse.add(tokens)
    if (lackingTokens(entry, now) <= 0) return
    entry.giftShortAt = now.mono
    entry.nextGiftAt = now.mono + (entry.isSupplied(now.mono) ? EMPTY_PAUSE_MS : OWNERS_PAUSE_MS)
  }

  private billAsUsed (entry: BudgetEntry, tokens: number, requestId: string, now: Instant): void {
    const { budget } = entry
    entry.unsettled += tokens
    this.queue.addBill({ requestId, budget, team: budget, tokens, runner: '' }, now.mono)
  }
}

/** Tokens that waiting requests need beyond those usable here. */
function lackingTokens (entry: BudgetEntry, now: Instant): number {
  return entry.waitingTokens - ownTokens(entry, now) - entry.purse.free
}

/** Tokens of the allotment that are usable now. */
function ownTokens (entry: BudgetEntry, now: Instant): number {
  return entry.isUsable(now) ? Math.max(0, Math.floor(entry.usable(now))) : 0
}
