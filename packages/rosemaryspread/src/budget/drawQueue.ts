/**
 * Draws ahead of need wait a short time for others, so that one transaction carries those of
 * many budgets. A draw for which requests wait goes out at once.
 */
import { elapsedMs, type Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import type { DrawAction } from './budgetDrawing.js'

/** Queue of draws of one holder. */
export class DrawQueue {
  private readonly waiting = new Map<string, DrawAction>()
  private readonly inFlight = new Set<string>()
  private oldest: Instant | undefined

  /**
   * @param policy - a draw ahead of need waits as long as bills; draws of one transaction: each reads two rows and writes up to four
   */
  constructor (private readonly policy: Pick<BudgetPolicy, 'flushMs' | 'drawsAtOnce'>) {}

  /**
   * Takes a draw; answers what has to go out at once.
   * @param action - the draw; one told again replaces the one that waits
   * @param now - both clocks
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

  /**
   * Draws that waited long enough, and those that may go with them.
   * @param now - both clocks
   */
  due (now: Instant): readonly DrawAction[] {
    if (this.oldest === undefined || elapsedMs(this.oldest, now) < this.policy.flushMs) return []
    const batch = [...this.waiting.values()].slice(0, this.policy.drawsAtOnce)
    for (const action of batch) this.waiting.delete(action.drawId)
    if (this.waiting.size === 0) this.oldest = undefined
    return this.send(batch)
  }

  /**
   * Notes that the outcome of draws is known.
   * @param actions - the draws
   */
  done (actions: readonly DrawAction[]): void {
    for (const action of actions) this.inFlight.delete(action.drawId)
  }

  private send (actions: readonly DrawAction[]): readonly DrawAction[] {
    for (const action of actions) this.inFlight.add(action.drawId)
    return actions
  }
}
