/**
 * How often runners are asked for reports. The holder of the lease makes a bounded number of calls
 * a second, so with more runners each is asked less often, and its silence says less.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'

/** Runners that are asked in their turn in one round. */
export const REPORTS_A_ROUND = 12
/** Milliseconds between two rounds. */
export const REPORT_ROUND_MS = 1_000

/** Time that reports of a number of runners take. */
export class ReportPace {
  private everyMs = REPORT_ROUND_MS
  /** A slower pace that was left a short while ago: what was heard then was heard at that pace. */
  private before: { readonly everyMs: number, readonly leftAt: Instant } | undefined

  /**
   * Takes the number of runners.
   * @param runners - runners that are asked
   * @param now - both clocks
   */
  configure (runners: number, now: Instant): void {
    const everyMs = Math.max(1, Math.ceil(runners / REPORTS_A_ROUND)) * REPORT_ROUND_MS
    if (everyMs < this.everyMs) this.before = { everyMs: this.stretchMs(now) + REPORT_ROUND_MS, leftAt: now }
    this.everyMs = everyMs
  }

  /**
   * Milliseconds by which a report comes later than one of a round in which all runners are asked.
   * @param now - both clocks
   */
  stretchMs (now: Instant): number {
    const { before } = this
    const isLeft = before === undefined || elapsedMs(before.leftAt, now) >= before.everyMs
    return Math.max(this.everyMs, isLeft ? 0 : before.everyMs) - REPORT_ROUND_MS
  }
}
