/**
 * Desired allotment of one holder in one budget: enough for its local demand, and at least its fair share if it owns the budget.
 */
import { fairShareTokens, desiredTokens, type BudgetPolicy } from './budgetPolicy.js'
import { MAX_TOKENS } from './budgetRows.js'
import type { FleetSpending } from './budgetTypes.js'
import { DemandRate, MIN_FILLED_RATIO } from './demandRate.js'
import { maxUnreportedTokens } from './reportBound.js'

/**
 * Requests per second from which a holder that does not own a budget draws it ahead of need, and below which it stops. If all
 * callers of a team use one VM, its grant requests exceed the unreported use that the owners are allowed, and requests are refused.
 */
const BUSY_FROM_REQUESTS_PER_S = 6
const BUSY_UNTIL_REQUESTS_PER_S = 2
const MS_PER_SECOND = 1_000
/**
 * Window of the sustained demand rate, in milliseconds. Requests differ much in size, so a short window shows which of them came last
 * rather than what a partition of seconds will need.
 */
const SUSTAINED_WINDOW_MS = 20_000

/** Desired allotment of one holder in one budget. Times in monotonic milliseconds. */
export class DesiredAllotment {
  /** Demand at this holder in tokens. */
  readonly rate: DemandRate
  /** The same over a long window; reports allow unreported use to grow with it. */
  readonly sustainedRate: DemandRate
  /** Largest request seen. */
  largest = 0
  /** Spending of all holders as of the last draw. */
  private fleet: FleetSpending | undefined
  private wasBusy = false
  private readonly requests: DemandRate

  /** @param isOwned - whether this holder owns the budget; otherwise, unless busy, it draws only what waiting requests need */
  constructor (private readonly policy: BudgetPolicy, private readonly isOwned: () => boolean) {
    this.rate = new DemandRate(policy.rateWindowMs, policy.demandSource === 'reservations')
    const sustainedWindowMs = Math.max(policy.rateWindowMs, SUSTAINED_WINDOW_MS)
    this.sustainedRate = new DemandRate(sustainedWindowMs, policy.demandSource === 'reservations', policy.rateWindowMs * MIN_FILLED_RATIO)
    this.requests = new DemandRate(policy.rateWindowMs, policy.demandSource === 'reservations')
  }

  /** Counts demand at this holder. */
  recordDemand (tokens: number, mono: number): void {
    this.rate.add(tokens, mono)
    this.sustainedRate.add(tokens, mono)
  }

  /** Updates the spending of all holders from a draw. */
  updateFleet (fleet: FleetSpending): void {
    this.fleet = fleet
  }

  /** Maximum unreported tokens that a report allows beyond those in use. */
  get maxUnreported (): number {
    return maxUnreportedTokens(this.fleet)
  }

  /** Desired allotment in tokens. */
  tokens (mono: number): number {
    if (this.isOwned()) return Math.max(this.demandTokens(mono), this.fairShare)
    return this.isBusy(mono) ? this.demandTokens(mono) : 0
  }

  /**
   * Counts a request at this holder.
   * @param tokens - worst-case cost
   */
  recordRequest (tokens: number, mono: number): void {
    this.largest = Math.max(this.largest, tokens)
    this.requests.add(1, mono)
  }

  /** Whether local demand alone justifies an allotment, with hysteresis. */
  isBusy (mono: number): boolean {
    this.wasBusy = this.requests.perMs(mono) * MS_PER_SECOND >= (this.wasBusy ? BUSY_UNTIL_REQUESTS_PER_S : BUSY_FROM_REQUESTS_PER_S)
    return this.wasBusy
  }

  /** Whether local demand does not exceed the fair share. */
  isWithinFairShare (mono: number): boolean {
    return this.policy.fairShareRatio > 0 && this.demandTokens(mono) <= this.fairShare
  }

  /** Fair share of this holder; the maximum before the first draw, when the unspent amount is unknown. */
  get fairShare (): number {
    const { fleet, policy: { fairShareRatio } } = this
    if (fairShareRatio === 0) return 0
    return fleet === undefined ? MAX_TOKENS : fairShareTokens(fleet.paid - fleet.spent, fleet.holders, fairShareRatio)
  }

  /** With fair shares there is no minimum allotment in addition: it would lie idle at all holders without demand. */
  private demandTokens (mono: number): number {
    const rate = this.rate.perMs(mono)
    return this.policy.fairShareRatio > 0 ? Math.ceil(rate * this.policy.horizonMs) : desiredTokens(this.policy, rate, this.largest)
  }
}
