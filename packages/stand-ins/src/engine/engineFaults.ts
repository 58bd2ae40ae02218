/**
 * One-shot faults of the engine's streams, armed by control messages.
 */

/** Armed faults; each applies once. */
export class StreamFaults {
  private isMixArmed = false
  private isDoubleEndArmed = false

  /** The next stream that sends its second piece also sends a piece of another run. */
  mixNext (): void {
    this.isMixArmed = true
  }

  /** The next stream that ends sends its end twice. */
  doubleEnd (): void {
    this.isDoubleEndArmed = true
  }

  /** Whether to send a piece of another run now; disarms the fault. */
  consumeMix (): boolean {
    const due = this.isMixArmed
    this.isMixArmed = false
    return due
  }

  /** Whether to send the end twice now; disarms the fault. */
  consumeDoubleEnd (): boolean {
    const due = this.isDoubleEndArmed
    this.isDoubleEndArmed = false
    return due
  }
}
