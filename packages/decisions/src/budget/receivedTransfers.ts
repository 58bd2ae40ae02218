/**
 * Received transfers of one budget that are not recorded in the table yet. Their tokens may be used, from the time of the
 * request, for as long as the sender's lease lasted.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { Transfer } from './budgetTypes.js'

interface ReceivedTransfer {
  readonly tokens: number
  readonly validForMs: number
  readonly requestedAt: Instant
}

export class ReceivedTransfers {
  private readonly open = new Map<string, ReceivedTransfer>()

  /** Whether every received transfer is recorded. */
  get isEmpty (): boolean {
    return this.open.size === 0
  }

  /** Total of unrecorded tokens. */
  get tokens (): number {
    let sum = 0
    for (const item of this.open.values()) sum += item.tokens
    return sum
  }

  /** @param requestedAt - when the transfer was requested */
  add ({ transferId, tokens, validForMs = 0 }: Transfer, requestedAt: Instant): void {
    this.open.set(transferId, { tokens, validForMs, requestedAt })
  }

  /** Removes a transfer and returns its tokens; 0 if it is not open. */
  remove (transferId: string): number {
    const tokens = this.open.get(transferId)?.tokens ?? 0
    this.open.delete(transferId)
    return tokens
  }

  /** Whether any open transfer has expired. */
  hasExpired (now: Instant): boolean {
    return [...this.open.values()].some(item => elapsedMs(item.requestedAt, now) >= item.validForMs)
  }

  clear (): void {
    this.open.clear()
  }
}
