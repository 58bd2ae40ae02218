/**
 * Retry budgets of the gateway, one for each service. They limit the retries that all VMs together add to
 * the requests of a service; each VM gets an equal share of the fixed allowance.
 */
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { CallRetries } from './callTypes.js'
import { RetryBudget, type RetryPolicy } from '@rosemaryspread/decisions/routing/retryBudget.js'

/** Retries allowed to all VMs together. */
export interface RetryAllowance {
  /** Retries allowed per request. */
  readonly ratio: number
  /** Further retries allowed in each window. */
  readonly slack: number
  readonly windowMs: number
}

/** Share of the allowance that is used: a VM may join before all others have learned of it. */
const USED_RATIO = 0.8
/** Share of the fixed allowance that may be used at once; the rest accrues evenly over the window. */
const BURST_RATIO = 0.5
/** Another target serves the retry, so there is no need to back off. */
const DELAY_MS = 1
/** The route limits the attempts. */
const UNLIMITED_ATTEMPTS = Number.MAX_SAFE_INTEGER
const MS_PER_SECOND = 1_000

export class GatewayRetries implements CallRetries {
  private readonly budgets = new Map<string, RetryBudget>()

  /**
   * @param allowance - of all VMs together
   * @param vms - current number of VMs that share it
   */
  constructor (private readonly allowance: RetryAllowance, private readonly vms: () => number) {}

  /** Counts a first attempt towards the budget of a service. */
  recordFirstAttempt (service: string, now: Instant): void {
    this.of(service).recordFirstAttempt(now)
  }

  /** Consumes one retry from the budget of a service; false if it is exhausted. */
  tryAcquire (service: string, now: Instant): boolean {
    const deadline = { mono: Infinity, wall: Infinity }
    return this.of(service).decide({ attempts: 1, repeatable: true, deadline, predictedMs: 0 }, now, () => 0).retry
  }

  private of (service: string): RetryBudget {
    const existing = this.budgets.get(service)
    if (existing !== undefined) return existing
    const created = new RetryBudget(() => this.policy())
    this.budgets.set(service, created)
    return created
  }

  private policy (): RetryPolicy {
    const { ratio, slack, windowMs } = this.allowance
    const slackPerVm = slack * USED_RATIO / Math.max(1, this.vms())
    return {
      share: ratio * USED_RATIO,
      perSecond: slackPerVm * (1 - BURST_RATIO) * MS_PER_SECOND / windowMs,
      burst: Math.max(1, slackPerVm * BURST_RATIO),
      attempts: UNLIMITED_ATTEMPTS,
      baseMs: DELAY_MS,
      maxMs: DELAY_MS
    }
  }
}
