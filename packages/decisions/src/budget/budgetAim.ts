/**
 * How much of one budget a holder aims at: enough for its own demand, and its part of what is dealt
 * out evenly.
 */
import { evenTokens, targetTokens, type BudgetPolicy } from './budgetPolicy.js'
import { MAX_TOKENS } from './budgetRows.js'
import type { FleetSpending } from './budgetTypes.js'
import { DemandRate } from './demandRate.js'

/** Aim of one holder for one budget. Times are monotonic milliseconds. */
export class BudgetAim {
  /** Demand at this holder. */
  readonly rate: DemandRate
  /** Largest request seen. */
  largest = 0
  /** What the last draw told of all holders. */
  private fleet: FleetSpending | undefined

  /**
   * @param policy - sizes and times
   * @param isOwned - whether this holder owns the budget; one that does not draws only what waiting requests need
   */
  constructor (private readonly policy: BudgetPolicy, private readonly isOwned: () => boolean) {
    this.rate = new DemandRate(policy.rateWindowMs, policy.demandFrom === 'reservations')
  }

  /**
   * Takes what a draw told of the spending of all holders.
   * @param fleet - tokens paid and billed in all, and the number of holders
   */
  noteFleet (fleet: FleetSpending): void {
    this.fleet = fleet
  }

  /**
   * Tokens to aim at.
   * @param mono - present time
   */
  tokens (mono: number): number {
    return this.isOwned() ? Math.max(this.forDemand(mono), this.evenPart) : 0
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
