/**
 * Tokens granted by other holders. The granter billed them before it sent them, so they belong to no allotment and may be
 * used at any time without the table; what is lost with a process counts as spent.
 */

/** Granted tokens of one budget that are not reserved. */
export class GrantPool {
  private tokens = 0
  /** Lowest balance since the last call of {@link withdrawUnused}. */
  private lowest = 0

  get free (): number {
    return this.tokens
  }

  /** Adds granted tokens, or those that a reservation did not use. */
  add (tokens: number): void {
    this.tokens += tokens
  }

  /** Removes up to `wanted` tokens and returns their number. */
  withdraw (wanted: number): number {
    const withdrawn = Math.min(this.tokens, wanted)
    this.tokens -= withdrawn
    this.lowest = Math.min(this.lowest, this.tokens)
    return withdrawn
  }

  /** Removes the tokens that no request used since the last call; a balance under steady demand reaches 0 in between. */
  withdrawUnused (): number {
    const unused = this.withdraw(this.lowest)
    this.lowest = this.tokens
    return unused
  }
}
