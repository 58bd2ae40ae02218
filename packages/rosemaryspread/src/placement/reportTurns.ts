/**
 * Selects the runners to poll for a load report, least recently polled first. A few more are polled early: runners
 * that got an order, to see its effect soon, and runners that missed a poll, so that one lost response is not
 * taken for a failure.
 */
import { REPORTS_A_ROUND } from '@rosemaryspread/decisions/placement/reportPace.js'

/** Runners polled early in one round. */
const EXTRA_A_ROUND = 4
/** How long a runner is polled early after its response to an order; as long as the effect is awaited (`confirmMs`). */
const ORDERED_MS = 15_000
/** Consecutive missed responses after which a runner is polled by rotation only. */
const MOST_MISSED = 8

/** Schedules polls of runners; times in monotonic milliseconds. */
export class ReportTurns {
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
    this.forgetOthers(new Set(runners))
    const free = runners.filter(runner => !this.waiting.has(runner)).sort((a, b) => this.lastAsked(a) - this.lastAsked(b))
    const inTurn = free.slice(0, REPORTS_A_ROUND)
    const rest = free.slice(REPORTS_A_ROUND)
    const ordered = rest.filter(runner => this.isOrdered(runner, mono))
    const silent = rest.filter(runner => this.isSilent(runner)).sort((a, b) => this.missedBy(a) - this.missedBy(b))
    const chosen = [...inTurn, ...[...new Set([...ordered, ...silent])].slice(0, EXTRA_A_ROUND)]
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
    else this.missed.set(runner, this.missedBy(runner) + 1)
  }

  /** Records the response to an order. */
  ordered (runner: string, mono: number): void {
    this.orderedAt.set(runner, mono)
  }

  private lastAsked (runner: string): number {
    return this.asked.get(runner) ?? 0
  }

  private missedBy (runner: string): number {
    return this.missed.get(runner) ?? 0
  }

  private isSilent (runner: string): boolean {
    const missed = this.missedBy(runner)
    return missed > 0 && missed < MOST_MISSED
  }

  private isOrdered (runner: string, mono: number): boolean {
    const at = this.orderedAt.get(runner)
    return at !== undefined && mono - at < ORDERED_MS
  }

  private forgetOthers (runners: ReadonlySet<string>): void {
    for (const map of [this.asked, this.missed, this.orderedAt]) {
      for (const runner of map.keys()) if (!runners.has(runner)) map.delete(runner)
    }
  }
}
