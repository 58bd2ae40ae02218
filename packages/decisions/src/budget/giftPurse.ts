/**
 * Tokens that another holder gave away. The giver billed them as used before they left it, so they
 * belong to no allotment: whoever has them may use them at any time, with no table at hand, and
 * what is lost with a process was paid for.
 */

/** Given tokens of one budget that bind nothing. */
export class GiftPurse {
  private tokens = 0

  /** Tokens that may be reserved. */
  get free (): number {
    return this.tokens
  }

  /**
   * Takes in what was given, or what a reservation did not use.
   * @param tokens - amount
   */
  add (tokens: number): void {
    this.tokens += tokens
  }

  /**
   * Takes out as much as there is.
   * @param wanted - amount wanted
   */
  take (wanted: number): number {
    const taken = Math.min(this.tokens, wanted)
    this.tokens -= taken
    return taken
  }
}
