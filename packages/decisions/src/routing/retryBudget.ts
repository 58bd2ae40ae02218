/**
 * Whether and when a failed attempt is tried again. Retries are allowed as a share of requests,
 * so that a fault which fails everything is not answered by multiplying the load. Only work that
 * may be repeated is retried, and only if the wait and the attempt end before the deadline.
 */
import type { Instant } from '../clock/clockTypes.js'

/** Limits of retries. */
export interface RetryPolicy {
  /** Retries earned by each first attempt. */
  readonly share: number
  /** Retries earned each second regardless, so that a quiet VM can retry at all. */
  readonly perSecond: number
  /** Retries that can be saved up. */
  readonly burst: number
  /** Attempts of one request, the first one included. */
  readonly attempts: number
  /** First and longest wait before a retry, in milliseconds; doubled each time, then jittered. */
  readonly baseMs: number
  readonly maxMs: number
}

/** Used unless given otherwise. */
export const defaultRetryPolicy: RetryPolicy = { share: 0.1, perSecond: 1, burst: 10, attempts: 3, baseMs: 50, maxMs: 2_000 }

/** A failed attempt. */
export interface FailedAttempt {
  /** Attempts made so far, at least 1. */
  readonly attempts: number
  /** Whether running it again does no harm: it may be repeated, or it surely was not run. */
  readonly repeatable: boolean
  readonly deadline: Instant
  /** Predicted milliseconds that another attempt takes. */
  readonly needMs: number
  /** Wait asked for by whoever refused, in milliseconds. */
  readonly retryAfterMs?: number
}

/** What to do with a failed attempt. */
export type RetryDecision =
  | { readonly retry: true, readonly delayMs: number }
  | { readonly retry: false, readonly reason: 'notRepeatable' | 'attemptsSpent' | 'deadline' | 'budgetSpent' }

/** Decides retries; draws on one budget for all requests of a VM. */
export interface RetryDecider {
  /** Counts a first attempt. */
  attempted (now: Instant): void
  /**
   * Decides on a failed attempt; a granted retry is taken from the budget.
   * @param attempt - what failed
   * @param now - both clocks
   * @param random - a number in [0, 1) for each call
   */
  decide (attempt: FailedAttempt, now: Instant, random: () => number): RetryDecision
}

/** Token bucket filled by requests and by time. */
export class RetryBudget implements RetryDecider {
  private tokens: number
  private filledAt: number | undefined
  private readonly policyNow: () => RetryPolicy

  /**
   * @param policy - the limits, or what tells them where they change with the number of VMs
   */
  constructor (policy: RetryPolicy | (() => RetryPolicy) = defaultRetryPolicy) {
    this.policyNow = typeof policy === 'function' ? policy : () => policy
    this.tokens = this.policy.burst
  }

  private get policy (): RetryPolicy {
    return this.policyNow()
  }

  attempted (now: Instant): void {
    this.refill(now)
    this.earn(this.policy.share)
  }

  decide (attempt: FailedAttempt, now: Instant, random: () => number): RetryDecision {
    if (!attempt.repeatable) return { retry: false, reason: 'notRepeatable' }
    if (attempt.attempts >= this.policy.attempts) return { retry: false, reason: 'attemptsSpent' }
    const delayMs = this.delayMs(attempt, random)
    if (now.mono + delayMs + attempt.needMs > attempt.deadline.mono) return { retry: false, reason: 'deadline' }
    this.refill(now)
    if (this.tokens < 1) return { retry: false, reason: 'budgetSpent' }
    this.tokens -= 1
    return { retry: true, delayMs }
  }

  /** Exponential backoff of which the upper half is random, never less than was asked for. */
  private delayMs (attempt: FailedAttempt, random: () => number): number {
    const ceiling = Math.min(this.policy.maxMs, this.policy.baseMs * 2 ** (attempt.attempts - 1))
    const backoff = ceiling * (0.5 + 0.5 * random())
    return (attempt.retryAfterMs ?? 0) + backoff
  }

  private refill (now: Instant): void {
    const sinceMs = Math.max(0, now.mono - (this.filledAt ?? now.mono))
    this.filledAt = now.mono
    this.earn(this.policy.perSecond * sinceMs / 1_000)
  }

  private earn (tokens: number): void {
    this.tokens = Math.min(this.policy.burst, this.tokens + tokens)
  }
}
