/**
 * Retry budgets of the gateway, one for each service. All VMs together may add only so many sends
 * to the requests of a service; each VM takes an equal part of the fixed allowance.
 */
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { CallRetries } from './callTypes.js'
import { RetryBudget, type RetryPolicy } from '@rosemaryspread/decisions/routing/retryBudget.js'

/** The allowance of all VMs together. */
export interface RetryAllowance {
  /** Repeats allowed for each request. */
  readonly ratio: number
  /** Repeats allowed besides, in each window. */
  readonly slack: number
  readonly windowMs: number
}

/** Part of the allowance that is used: VMs join before all others know of it. */
const USED_PART = 0.8
/** Part of the fixed allowance that may be used at once; the rest comes evenly over the window. */
const BURST_PART = 0.5
/** Milliseconds before a repeat; another target takes it, so there is nothing to wait for. */
const DELAY_MS = 1
/** Attempts are bounded by the route. */
const NO_BOUND = Number.MAX_SAFE_INTEGER
const MS_PER_SECOND = 1_000

/** Retry budgets by service. */
export class GatewayRetries implements CallRetries {
  private readonly budgets = new Map<string, RetryBudget>()

  /**
   * @param allowance - of all VMs
   * @param vms - number of VMs that share it
   */
  constructor (private readonly allowance: RetryAllowance, private readonly vms: () => number) {}

  /**
   * Counts a request to a service.
   * @param service - name of the service
   * @param now - both clocks
   */
  requested (service: string, now: Instant): void {
    this.of(service).recordFirstAttempt(now)
  }

  /**
   * Takes one repeat from the budget; false when it is spent.
   * @param service - name of the service
   * @param now - both clocks
   */
  take (service: string, now: Instant): boolean {
    const deadline = { mono: Infinity, wall: Infinity }
    return this.of(service).decide({ attempts: 1, repeatable: true, deadline, predictedMs: 0 }, now, () => 0).retry
  }

  private of (service: string): RetryBudget {
    const known = this.budgets.get(service)
    if (known !== undefined) return known
    const fresh = new RetryBudget(() => this.policy())
    this.budgets.set(service, fresh)
    return fresh
  }

  private policy (): RetryPolicy {
    const { ratio, slack, windowMs } = this.allowance
    const part = slack * USED_PART / Math.max(1, this.vms())
    return {
      share: ratio * USED_PART,
      perSecond: part * (1 - BURST_PART) * MS_PER_SECOND / windowMs,
      burst: Math.max(1, part * BURST_PART),
      attempts: NO_BOUND,
      baseMs: DELAY_MS,
      maxMs: DELAY_MS
    }
  }
}
