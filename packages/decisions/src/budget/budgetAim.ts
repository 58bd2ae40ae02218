/**
 * How much of one budget a holder aims at: enough for its own demand, and its part of what is dealt
 * out evenly.
 */
import { evenTokens, targetTokens, type BudgetPolicy } from './budgetPolicy.js'
import { MAX_TOKENS } from './budgetRows.js'
import type { FleetSpending } from './budgetTypes.js'
import { DemandRate } from './demandRate.js'
import { mostAtOnce } from './reportBound.js'

/**
 * Requests a second from which on a holder that does not own a budget holds it like an owner, and those below which it no longer
 * does. Callers of one team may keep to one VM: at 80 requests a second it asked the owners for more than they might use
 * without reporting, and refused 147 of 795 in eight seconds. Where callers spread, a VM of 60 gets one of the largest team.
 */
const BUSY_FROM_PER_S = 6
const BUSY_UNTIL_PER_S = 2
const MS_PER_SECOND = 1_000

/** Aim of one holder for one budget. Times are monotonic milliseconds. */
export class BudgetAim {
  /** Demand at this holder. */
  readonly rate: DemandRate
  /** Largest request seen. */
  largest = 0
  /** What the last draw told of all holders. */
  private fleet: FleetSpending | undefined
  private wasBusy = false
  private readonly requests: DemandRate

  /**
   * @param policy - sizes and times
   * @param isOwned - whether this holder owns the budget; one that does not, and is not busy, draws only what waiting requests need
   */
  constructor (private readonly policy: BudgetPolicy, private readonly isOwned: () => boolean) {
    this.rate = new DemandRate(policy.rateWindowMs, policy.demandFrom === 'reservations')
    this.requests = new DemandRate(policy.rateWindowMs, policy.demandFrom === 'reservations')
  }

  /**
   * Takes what a draw told of the spending of all holders.
   * @param fleet - tokens paid and billed in all, and the number of holders
   */
  noteFleet (fleet: FleetSpending): void {
    this.fleet = fleet
  }

  /** Tokens that a report allows at once at most. */
  get mostAtOnce (): number {
    return mostAtOnce(this.fleet)
  }

  /**
   * Tokens to aim at.
   * @param mono - present time
   */
  tokens (mono: number): number {
    if (this.isOwned()) return Math.max(this.forDemand(mono), this.evenPart)
    return this.isBusy(mono) ? this.forDemand(mono) : 0
  }

  /**
   * Counts a request of this holder.
   * @param tokens - its worst case
   * @param mono - present time
   */
  noteRequest (tokens: number, mono: number): void {
    this.largest = Math.max(this.largest, tokens)
    this.requests.add(1, mono)
  }

  /**
   * Whether own demand alone is worth an allotment.
   * @param mono - present time
   */
  isBusy (mono: number): boolean {
    this.wasBusy = this.requests.perMs(mono) * MS_PER_SECOND >= (this.wasBusy ? BUSY_UNTIL_PER_S : BUSY_FROM_PER_S)
    return this.wasBusy
  }

  /**
   * Whether demand asks for no more than what is dealt out evenly.
   * @param mono - present time
   */
  isEvenPart (mono: number): boolean {
    return this.policy.evenPart > 0 && this.forDemand(mono) <= this.evenPart
  }

  /** Part of this holder of what is dealt out evenly; before the first draw nobody knows how much there is. */
  get evenPart (): number {
    const { fleet, policy: { evenPart } } = this
    if (evenPart === 0) return 0
    return fleet === undefined ? MAX_TOKENS : evenTokens(fleet.paid - fleet.spent, fleet.holders, evenPart)
  }

  /** Where tokens are dealt out evenly, no floor is held besides: it would lie idle at all holders without demand. */
  private forDemand (mono: number): number {
    const rate = this.rate.perMs(mono)
    return this.policy.evenPart > 0 ? Math.ceil(rate * this.policy.horizonMs) : targetTokens(this.policy, rate, this.largest)
  }
}
