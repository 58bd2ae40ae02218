/**
 * What holders that do not own a budget ask one of its owners for: the largest request, and the last one that it could not meet.
 */

/** Milliseconds in which a holder that was given too little asks again: it does after 40, and waits for half of an objective at most. */
const UNMET_MS = 200

/** Needs of other holders for one budget. Times are monotonic milliseconds. */
export class NeedsOfOthers {
  private most = 0
  private unmet = { tokens: 0, at: -Infinity }

  /**
   * Largest need so far. Reports allow as much only for others: where all own a budget, that billed 1.03 M tokens in place of 0.76 M
   * at ends of VMs on a day of trouble with seven.
   */
  get largest (): number {
    return this.most
  }

  /**
   * Notes what another holder asked for.
   * @param asked - tokens asked for
   * @param given - tokens that it got
   * @param mono - present time
   */
  note (asked: number, given: number, mono: number): void {
    this.most = Math.max(this.most, asked)
    this.unmet = { tokens: given < asked ? asked : 0, at: mono }
  }

  /**
   * Tokens that another holder asked for in vain and is about to ask for again.
   * @param mono - present time
   */
  unmetTokens (mono: number): number {
    return mono - this.unmet.at < UNMET_MS ? this.unmet.tokens : 0
  }
}
