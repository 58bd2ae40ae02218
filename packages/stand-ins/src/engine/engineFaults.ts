/**
 * Faults of the engine's streams that happen once after they are ordered.
 */

/** Faults still to happen. */
export class StreamFaults {
  private mix = false
  private double = false

  /** Lets the next stream that sends a second piece carry a piece of another run. */
  mixNext (): void {
    this.mix = true
  }

  /** Lets the next stream that ends send its end twice. */
  doubleEnd (): void {
    this.double = true
  }

  /** Whether to mix now; true once for each order. */
  takeMix (): boolean {
    const due = this.mix
    this.mix = false
    return due
  }

  /** Whether to send the end twice now; true once for each order. */
  takeDoubleEnd (): boolean {
    const due = this.double
    this.double = false
    return due
  }
}
