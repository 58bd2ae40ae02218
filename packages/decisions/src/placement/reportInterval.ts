/**
 * How often each runner is polled for a load report. The lease holder makes a bounded number of calls a second, so
 * with more runners each is polled less often and a missing report says less about its health.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'

/** Runners polled by rotation in one round. */
export const REPORTS_PER_ROUND = 12
export const REPORT_ROUND_MS = 1_000

/** Time between two polls of the same runner. */
export class ReportInterval {
  private intervalMs = REPORT_ROUND_MS
  /** Longer interval that was in effect until recently; the latest reports were requested at that interval. */
  private previous: { readonly intervalMs: number, readonly replacedAt: Instant } | undefined

  /** Adapts the interval to the number of polled runners. */
  configure (runners: number, now: Instant): void {
    const intervalMs = Math.max(1, Math.ceil(runners / REPORTS_PER_ROUND)) * REPORT_ROUND_MS
    if (intervalMs < this.intervalMs) this.previous = { intervalMs: this.extraDelayMs(now) + REPORT_ROUND_MS, replacedAt: now }
    this.intervalMs = intervalMs
  }

  /** Milliseconds that a report may be late compared with polling every runner in each round. */
  extraDelayMs (now: Instant): number {
    const { previous } = this
    const isExpired = previous === undefined || elapsedMs(previous.replacedAt, now) >= previous.intervalMs
    return Math.max(this.intervalMs, isExpired ? 0 : previous.intervalMs) - REPORT_ROUND_MS
  }
}
