/**
 * Queues draws made ahead of demand for a short time, so that one transaction covers many budgets. A draw for which
 * requests wait is sent at once.
 */
import { elapsedMs, type Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import type { DrawAction } from './drawExecutor.js'

export class DrawQueue {
  private readonly waiting = new Map<string, DrawAction>()
  private readonly inFlight = new Set<string>()
  private oldest: Instant | undefined

  /**
   * @param policy - `flushMs`: how long a draw ahead of demand waits; `maxDrawsPerTransaction`: draws of one
   * transaction, each of which reads two rows and writes up to four
   */
  constructor (private readonly policy: Pick<BudgetPolicy, 'flushMs' | 'maxDrawsPerTransaction'>) {}

  /**
   * Queues a draw; returns what has to be sent at once.
   * @param action - the draw; it replaces a queued one with the same id
   */
  add (action: DrawAction, now: Instant): readonly DrawAction[] {
    if (this.inFlight.has(action.drawId)) return []
    if (action.atLeast > 0) {
      this.waiting.delete(action.drawId)
      return this.send([action])
    }
    this.waiting.set(action.drawId, action)
    this.oldest ??= now
    return []
  }

  /** Returns the draws that have waited long enough, and those that can join them. */
  dequeueDue (now: Instant): readonly DrawAction[] {
    if (this.oldest === undefined || elapsedMs(this.oldest, now) < this.policy.flushMs) return []
    const batch = [...this.waiting.values()].slice(0, this.policy.maxDrawsPerTransaction)
    for (const action of batch) this.waiting.delete(action.drawId)
    if (this.waiting.size === 0) this.oldest = undefined
    return this.send(batch)
  }

  /** Records that the outcome of draws is known. */
  done (actions: readonly DrawAction[]): void {
    for (const action of actions) this.inFlight.delete(action.drawId)
  }

  private send (actions: readonly DrawAction[]): readonly DrawAction[] {
    for (const action of actions) this.inFlight.add(action.drawId)
    return actions
  }
}
