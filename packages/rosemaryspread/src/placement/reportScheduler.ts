/**
 * Selects the runners to poll for a load report, least recently polled first. A few more are polled early: runners
 * that got an order, to see its effect soon, and runners that missed a poll, so that one lost response does
 * not count as a failure.
 */
import { REPORTS_PER_ROUND } from '@rosemaryspread/decisions/placement/reportInterval.js'

/** Runners polled early in one round. */
const EXTRA_PER_ROUND = 4
/** How long a runner is polled early after its response to an order; as long as the effect is awaited (`confirmMs`). */
const AFTER_ORDER_MS = 15_000
/** Consecutive missed responses after which a runner is polled by rotation only. */
const MAX_MISSED = 8

/** Schedules polls of runners; times in monotonic milliseconds. */
export class ReportScheduler {
  private round = 0
  /** Round of the last poll by runner. */
  private readonly asked = new Map<string, number>()
  private readonly missed = new Map<string, number>()
  private readonly orderedAt = new Map<string, number>()
  private readonly waiting = new Set<string>()

  /**
   * Starts a round.
   * @param runners - all runners that may be polled
   * @returns the runners to poll; they count as waiting until {@link ended}
   */
  next (runners: readonly string[], mono: number): readonly string[] {
    this.round += 1
    this.retainOnly(new Set(runners))
    const idle = runners.filter(runner => !this.waiting.has(runner)).sort((a, b) => this.lastPolledRound(a) - this.lastPolledRound(b))
    const rotation = idle.slice(0, REPORTS_PER_ROUND)
    const rest = idle.slice(REPORTS_PER_ROUND)
    const ordered = rest.filter(runner => this.hasRecentOrder(runner, mono))
    const unresponsive = rest.filter(runner => this.isUnresponsive(runner)).sort((a, b) => this.missedCount(a) - this.missedCount(b))
    const chosen = [...rotation, ...[...new Set([...ordered, ...unresponsive])].slice(0, EXTRA_PER_ROUND)]
    for (const runner of chosen) {
      this.waiting.add(runner)
      this.asked.set(runner, this.round)
    }
    return chosen
  }

  /** Records the end of a poll. */
  ended (runner: string, isAnswered: boolean): void {
    this.waiting.delete(runner)
    if (isAnswered) this.missed.delete(runner)
    else this.missed.set(runner, this.missedCount(runner) + 1)
  }

  /** Records the response to an order. */
  orderAnswered (runner: string, mono: number): void {
    this.orderedAt.set(runner, mono)
  }

  private lastPolledRound (runner: string): number {
    return this.asked.get(runner) ?? 0
  }

  private missedCount (runner: string): number {
    return this.missed.get(runner) ?? 0
  }

  private isUnresponsive (runner: string): boolean {
    const missed = this.missedCount(runner)
    return missed > 0 && missed < MAX_MISSED
  }

  private hasRecentOrder (runner: string, mono: number): boolean {
    const at = this.orderedAt.get(runner)
    return at !== undefined && mono - at < AFTER_ORDER_MS
  }

  private retainOnly (runners: ReadonlySet<string>): void {
    for (const map of [this.asked, this.missed, this.orderedAt]) {
      for (const runner of map.keys()) if (!runners.has(runner)) map.delete(runner)
    }
  }
}
