/**
 * Transfers that one holder received for one budget and that are not in the table yet: its tokens may
 * be used for as long as the giver's lease lasted when they were asked for.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { Transfer } from './budgetTypes.js'

interface ReceivedTokens {
  readonly tokens: number
  readonly validForMs: number
  readonly askedAt: Instant
}

/** Received transfers of one budget. */
export class ReceivedTransfers {
  private readonly open = new Map<string, ReceivedTokens>()

  /** Whether every received transfer is in the table. */
  get isEmpty (): boolean {
    return this.open.size === 0
  }

  /** Tokens of all of them. */
  get tokens (): number {
    let sum = 0
    for (const item of this.open.values()) sum += item.tokens
    return sum
  }

  /**
   * Adds a transfer.
   * @param transfer - what was received
   * @param askedAt - when it was asked for
   */
  add ({ transferId, tokens, validForMs = 0 }: Transfer, askedAt: Instant): void {
    this.open.set(transferId, { tokens, validForMs, askedAt })
  }

  /**
   * Forgets a transfer; answers its tokens, 0 where it was not open.
   * @param transferId - id of the transfer
   */
  remove (transferId: string): number {
    const tokens = this.open.get(transferId)?.tokens ?? 0
    this.open.delete(transferId)
    return tokens
  }

  /**
   * Whether the time of one of them is over.
   * @param now - both clocks
   */
  hasLapsed (now: Instant): boolean {
    return [...this.open.values()].some(item => elapsedMs(item.askedAt, now) >= item.validForMs)
  }

  /** Forgets all. */
  clear (): void {
    this.open.clear()
  }
}
