/**
 * Whom placement asks for a report next. Each runner has its turn, the one first that was not
 * asked for longest. A few more are asked out of turn: those that got an order, so that its effect is
 * seen soon, and those that did not answer, so that one lost answer is not taken for a failure.
 */
import { REPORTS_A_ROUND } from '@rosemaryspread/decisions/placement/reportPace.js'

/** Runners asked out of turn in one round. */
const EXTRA_A_ROUND = 4
/** Milliseconds after the answer to an order for which a runner is asked out of turn; as long as its effect is awaited. */
const ORDERED_MS = 15_000
/** Answers in a row that a runner may miss before it is asked in its turn only. */
const MOST_MISSED = 8

/** Turns of the runners; times in monotonic milliseconds. */
export class ReportTurns {
  private round = 0
  /** Round in which a runner was asked last. */
  private readonly asked = new Map<string, number>()
  private readonly missed = new Map<string, number>()
  private readonly orderedAt = new Map<string, number>()
  private readonly waiting = new Set<string>()

  /**
   * Starts a round.
   * @param runners - all runners that may be asked
   * @param mono - present time
   * @returns the runners to ask, which wait for their answer from now on
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

  /**
   * Notes the end of an ask.
   * @param runner - the runner
   * @param isAnswered - whether it answered
   */
  ended (runner: string, isAnswered: boolean): void {
    this.waiting.delete(runner)
    if (isAnswered) this.missed.delete(runner)
    else this.missed.set(runner, this.missedBy(runner) + 1)
  }

  /**
   * Notes the answer to an order.
   * @param runner - the runner
   * @param mono - present time
   */
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
