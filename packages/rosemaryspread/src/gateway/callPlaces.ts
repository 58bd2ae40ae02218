/** Bounds the calls that a VM has open at the same time: each may need a connection to a target. */

export class CallPlaces {
  private taken = 0

  /** @param max - calls that may be open */
  constructor (private readonly max = Infinity) {}

  /** Calls that are open. */
  get open (): number {
    return this.taken
  }

  /** Takes a place; returns false if there is none. */
  tryTake (): boolean {
    if (this.taken >= this.max) return false
    this.taken += 1
    return true
  }

  release (): void {
    this.taken -= 1
  }
}
