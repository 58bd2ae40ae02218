/**
 * One step of work on one budget: waiting requests are admitted or refused, tokens are asked for,
 * and while the VM drains, free tokens go back.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { BudgetGifts } from './budgetGifts.js'
import type { BudgetSupply } from './budgetSupply.js'
import type { BudgetAction } from './budgetTypes.js'
import type { BudgetUpkeep } from './budgetUpkeep.js'
import type { EntrySet } from './entrySet.js'

/** What the step works with. */
export interface BudgetStepParts {
  readonly entries: EntrySet
  readonly supply: BudgetSupply
  readonly upkeep: BudgetUpkeep
  readonly gifts: BudgetGifts
}

/** Steps of one holder. */
export class BudgetStep {
  constructor (private readonly parts: BudgetStepParts) {}

  /**
   * Does one step.
   * @param entry - the budget
   * @param draining - whether free tokens go back
   * @param now - both clocks
   */
  take (entry: BudgetEntry, draining: boolean, now: Instant): readonly BudgetAction[] {
    const { entries, supply, upkeep, gifts } = this.parts
    if (entry.waiting.length > 0 && entry.held > 0 && !entry.isUsable(now)) upkeep.renew(entry, now)
    const actions = [...supply.serve(entry, now), ...gifts.ask(entry, now)]
    if (entry.waiting.some(item => item.tokens <= entry.free && item.tokens > entry.usable(now))) upkeep.report(entry, now)
    if (draining) upkeep.returnFree(entry, 0, now)
    entries.watch(entry, this.isOpen(entry, now))
    return actions
  }

  private isOpen (entry: BudgetEntry, now: Instant): boolean {
    return entry.waiting.length > 0 || entry.draw !== undefined || entry.round !== undefined || this.parts.supply.isLow(entry, now)
  }
}
