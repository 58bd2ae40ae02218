/**
 * Gifts between holders that cannot reach the table: who lacks tokens for a waiting request asks
 * other holders directly. The giver bills the tokens as used by itself, within what its own last
 * report allows, before it answers; the taker keeps them in a purse beside its allotment. So the
 * table needs to know nothing of a gift: an end of either holder, or an answer that is lost or comes
 * twice, loses tokens at worst and never has one used twice.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { BudgetPolicy } from './budgetPolicy.js'
import type { BudgetAction, BudgetEvent } from './budgetTypes.js'
import type { FlushQueue } from './flushQueue.js'

type EventOf<K extends BudgetEvent['kind']> = Extract<BudgetEvent, { kind: K }>

/** Milliseconds between two asks for one budget, once the others had too little: their tokens do not change faster. */
const EMPTY_PAUSE_MS = 150
/** The same where the owners of the budget are asked: one that gave less reports at once, which takes some 15 ms. */
const OWNERS_PAUSE_MS = 40

/** Asks of one holder for gifts, and what it gives. */
export class BudgetGifts {
  private asks = 0

  /**
   * @param holder - holder id, part of the ids of its asks
   * @param policy - whether and when gifts are asked for
   * @param queue - where what is given away is billed
   */
  constructor (
    private readonly holder: string,
    private readonly policy: Pick<BudgetPolicy, 'giftAfterMs'>,
    private readonly queue: FlushQueue
  ) {}

  /**
   * Gives what may be used here and no own request waits for: what was given to this holder is passed on
   * first, the rest counts as used by it from then on.
   * @param event - the ask
   * @param entry - the budget, if this holder draws on it
   * @param now - both clocks
   */
  give ({ giftId, tokens, to }: EventOf<'giftAsked'>, entry: BudgetEntry | undefined, now: Instant): number {
    if (entry === undefined || entry.waiting.length > 0) return 0
    const passedOn = entry.purse.take(tokens)
    const own = Math.min(tokens - passedOn, ownTokens(entry, now))
    if (own > 0) this.billAsUsed(entry, own, `${giftId} ${to}`, now)
    return passedOn + own
  }

  /**
   * Tokens that could be given now.
   * @param entry - the budget
   * @param now - both clocks
   */
  left (entry: BudgetEntry, now: Instant): number {
    return entry.waiting.length > 0 ? 0 : entry.purse.free + ownTokens(entry, now)
  }

  /**
   * Leaves what may be used to another holder, where the table cannot take it back before this process
   * ends; tokens that were given to this holder are left in any case, as no row has them.
   * @param entry - the budget
   * @param now - both clocks
   */
  handOver (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    if (this.policy.giftAfterMs === undefined) return []
    const { budget } = entry
    const own = entry.isOutOfTouch(now) ? ownTokens(entry, now) : 0
    const tokens = entry.purse.take(Infinity) + own
    if (own > 0) this.billAsUsed(entry, own, 'handOver', now)
    return tokens === 0 ? [] : [{ kind: 'handOver', budget, tokens }]
  }

  /**
   * Asks for what waiting requests lack, one ask at a time.
   * @param entry - the budget
   * @param now - both clocks
   */
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

  /**
   * Takes the outcome of an ask.
   * @param entry - the budget
   * @param event - how much was given in all
   * @param now - both clocks
   */
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

/** Tokens that waiting requests lack beyond what may be used here. */
function lackingTokens (entry: BudgetEntry, now: Instant): number {
  return entry.waitingTokens - ownTokens(entry, now) - entry.purse.free
}

/** Tokens of the allotment that may be used now. */
function ownTokens (entry: BudgetEntry, now: Instant): number {
  return entry.isUsable(now) ? Math.max(0, Math.floor(entry.usable(now))) : 0
}
