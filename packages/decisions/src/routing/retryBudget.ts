/**
 * Decides whether and when a failed attempt is retried. Retries are limited to a share of the
 * requests, so that they do not multiply the load when every request fails. Only repeatable
 * requests are retried, and only if the delay and the attempt fit before the deadline.
 */
import type { Instant } from '../clock/clockTypes.js'

export interface RetryPolicy {
  /** Retries credited per first attempt. */
  readonly share: number
  /** Retries credited per second, so that a VM with little traffic can retry at all. */
  readonly perSecond: number
  /** Maximum retry credit. */
  readonly burst: number
  /** Maximum attempts per request, including the first. */
  readonly attempts: number
  /** Initial and maximum backoff in milliseconds; doubled per retry, then jittered. */
  readonly baseMs: number
  readonly maxMs: number
}

export const defaultRetryPolicy: RetryPolicy = { share: 0.1, perSecond: 1, burst: 10, attempts: 3, baseMs: 50, maxMs: 2_000 }

export interface FailedAttempt {
  /** Attempts made so far, at least 1. */
  readonly attempts: number
  /** Whether another attempt is safe: the request is idempotent, or it certainly did not run. */
  readonly repeatable: boolean
  readonly deadline: Instant
  /** Predicted duration of another attempt. */
  readonly predictedMs: number
  /** Delay requested by whoever refused the attempt. */
  readonly retryAfterMs?: number
}

export type RetryDecision =
  | { readonly retry: true, readonly delayMs: number }
  | { readonly retry: false, readonly reason: 'notRepeatable' | 'attemptsSpent' | 'deadline' | 'budgetSpent' }

/** Decides on retries from one budget for all requests of a VM. */
export interface RetryDecider {
  /** Credits the budget with the share of one request. */
  recordFirstAttempt (now: Instant): void
  /**
   * Decides on a failed attempt; an allowed retry is charged to the budget.
   * @param random - returns a number in [0, 1)
   */
  decide (attempt: FailedAttempt, now: Instant, random: () => number): RetryDecision
}

/** Token bucket that is refilled by first attempts and by time. */
export class RetryBudget implements RetryDecider {
  private tokens: number
  private lastRefillAt: number | undefined
  private readonly currentPolicy: () => RetryPolicy

  /**
   * @param policy - the limits, or a function that returns them where they change with the number of VMs
   */
  constructor (policy: RetryPolicy | (() => RetryPolicy) = defaultRetryPolicy) {
    this.currentPolicy = typeof policy === 'function' ? policy : () => policy
    this.tokens = this.policy.burst
  }

  private get policy (): RetryPolicy {
    return this.currentPolicy()
  }

  recordFirstAttempt (now: Instant): void {
    this.refill(now)
    this.addTokens(this.policy.share)
  }

  decide (attempt: FailedAttempt, now: Instant, random: () => number): RetryDecision {
    if (!attempt.repeatable) return { retry: false, reason: 'notRepeatable' }
    if (attempt.attempts >= this.policy.attempts) return { retry: false, reason: 'attemptsSpent' }
    const delayMs = this.delayMs(attempt, random)
    if (now.mono + delayMs + attempt.predictedMs > attempt.deadline.mono) return { retry: false, reason: 'deadline' }
    this.refill(now)
    if (this.tokens < 1) return { retry: false, reason: 'budgetSpent' }
    this.tokens -= 1
    return { retry: true, delayMs }
  }

  /** Exponential backoff with equal jitter, on top of the requested delay. */
  private delayMs (attempt: FailedAttempt, random: () => number): number {
    const ceiling = Math.min(this.policy.maxMs, this.policy.baseMs * 2 ** (attempt.attempts - 1))
    const backoff = ceiling * (0.5 + 0.5 * random())
    return (attempt.retryAfterMs ?? 0) + backoff
  }

  private refill (now: Instant): void {
    const sinceMs = Math.max(0, now.mono - (this.lastRefillAt ?? now.mono))
    this.lastRefillAt = now.mono
    this.addTokens(this.policy.perSecond * sinceMs / 1_000)
  }

  private addTokens (tokens: number): void {
    this.tokens = Math.min(this.policy.burst, this.tokens + tokens)
  }
}
