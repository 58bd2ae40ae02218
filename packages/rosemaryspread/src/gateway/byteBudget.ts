/** Counts the bytes that all calls of one VM hold for one purpose, and bounds them together. */

export class ByteBudget {
  private held = 0

  /** @param maxBytes - limit of all holders together */
  constructor (readonly maxBytes = Infinity) {}

  /** Bytes that are held. */
  get heldBytes (): number {
    return this.held
  }

  /**
   * Counts bytes; returns false, and counts nothing, if they exceed the limit.
   * @param share - of the limit, up to which these bytes may be held
   */
  tryHold (bytes: number, share = 1): boolean {
    if (this.held + bytes > this.maxBytes * share) return false
    this.held += bytes
    return true
  }

  release (bytes: number): void {
    this.held -= bytes
  }
}
