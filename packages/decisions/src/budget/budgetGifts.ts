/**
 * Gifts between holders that cannot reach the table: who lacks tokens for a waiting request asks
 * other holders directly. The giver bills the tokens as used by itself, within what its own last
 * report allows, before it answers; the taker keeps them in a purse beside its allotment. So the
 * table needs to know nothing of a gift: an end of either holder, or an answer that is lost or comes
 * twice, loses tokens at worst and never has one used twice.
 */
import type { Instant } from '../clock/clockTypes.js'
import { elapsedMs } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { BudgetPolicy } from './budgetPolicy.js'
import type { BudgetAction, BudgetEvent } from './budgetTypes.js'
import type { FlushQueue } from './flushQueue.js'

type EventOf<K extends BudgetEvent['kind']> = Extract<BudgetEvent, { kind: K }>

/** Milliseconds between two asks for one budget, once the others had too little: their tokens do not change faster. */
const EMPTY_PAUSE_MS = 150

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
   * Gives what may be used here and no own request waits for; it counts as used from then on.
   * @param event - the ask
   * @param entry - the budget, if this holder draws on it
   * @param now - both clocks
   */
  give ({ giftId, budget, tokens, to }: EventOf<'giftAsked'>, entry: BudgetEntry | undefined, now: Instant): number {
    if (entry === undefined || entry.waiting.length > 0 || !entry.isUsable(now)) return 0
    const given = Math.max(0, Math.min(tokens, Math.floor(entry.usable(now))))
    if (given === 0) return 0
    entry.unsettled += given
    this.queue.addBill({ requestId: giftId, budget, team: budget, tokens: given, runner: to }, now.mono)
    return given
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
    if (!entry.isOutOfTouch(now) && elapsedMs(oldest.since, now) < giftAfterMs) return []
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
  answered (entry: BudgetEntry, { giftId, tokens }: EventOf<'giftAnswered'>, now: Instant): void {
    if (entry.giftAsk !== giftId) return
    entry.giftAsk = undefined
    entry.purse.add(tokens)
    if (lackingTokens(entry, now) <= 0) return
    entry.giftShortAt = now.mono
    entry.nextGiftAt = now.mono + EMPTY_PAUSE_MS
  }
}

/** Tokens that waiting requests lack beyond what may be used here. */
function lackingTokens (entry: BudgetEntry, now: Instant): number {
  const wanted = entry.waiting.reduce((sum, item) => sum + item.tokens, 0)
  const own = entry.isUsable(now) ? Math.max(0, Math.floor(entry.usable(now))) : 0
  return wanted - own - entry.purse.free
}
