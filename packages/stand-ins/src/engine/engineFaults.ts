/**
 * One-shot faults of the engine's streams, armed by control messages.
 */

/** Armed faults; each applies once. */
export class StreamFaults {
  private mix = false
  private double = false

  /** The next stream that sends its second piece also sends a piece of another run. */
  mixNext (): void {
    this.mix = true
  }

  /** The next stream that ends sends its end twice. */
  doubleEnd (): void {
    this.double = true
  }

  /** Whether to send a piece of another run now; disarms the fault. */
  takeMix (): boolean {
    const due = this.mix
    this.mix = false
    return due
  }

  /** Whether to send the end twice now; disarms the fault. */
  takeDoubleEnd (): boolean {
    const due = this.double
    this.double = false
    return due
  }
}
