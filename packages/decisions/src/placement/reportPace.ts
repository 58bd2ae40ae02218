/**
 * How often each runner is polled for a load report. The lease holder makes a bounded number of calls a second, so
 * with more runners each is polled less often and a missing report says less about its health.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'

/** Runners polled by rotation in one round. */
export const REPORTS_A_ROUND = 12
export const REPORT_ROUND_MS = 1_000

/** Time between two polls of the same runner. */
export class ReportPace {
  private everyMs = REPORT_ROUND_MS
  /** Longer interval that was in effect until recently; the latest reports were requested at that interval. */
  private before: { readonly everyMs: number, readonly leftAt: Instant } | undefined

  /** Adapts the interval to the number of polled runners. */
  configure (runners: number, now: Instant): void {
    const everyMs = Math.max(1, Math.ceil(runners / REPORTS_A_ROUND)) * REPORT_ROUND_MS
    if (everyMs < this.everyMs) this.before = { everyMs: this.stretchMs(now) + REPORT_ROUND_MS, leftAt: now }
    this.everyMs = everyMs
  }

  /** Milliseconds that a report may be late compared with polling every runner in each round. */
  stretchMs (now: Instant): number {
    const { before } = this
    const isLeft = before === undefined || elapsedMs(before.leftAt, now) >= before.everyMs
    return Math.max(this.everyMs, isLeft ? 0 : before.everyMs) - REPORT_ROUND_MS
  }
}
