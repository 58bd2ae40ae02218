/**
 * The budgets that one holder draws on, and which of them the next tick has to look at. Entries
 * without open work are not looked at, so that a tick costs nothing for idle budgets.
 */
import type { BudgetEntry } from './budgetEntry.js'

/** Entries of one holder by budget. */
export class EntrySet {
  /** All entries by budget id. */
  readonly all = new Map<string, BudgetEntry>()
  private readonly open = new Set<BudgetEntry>()

  /** Entries to be looked at on the next tick. */
  get watched (): Iterable<BudgetEntry> {
    return this.open
  }

  /**
   * Has an entry looked at on the next tick, or no longer.
   * @param entry - the budget
   * @param isOpen - whether it has open work
   */
  watch (entry: BudgetEntry, isOpen = true): void {
    if (isOpen) this.open.add(entry)
    else this.open.delete(entry)
  }

  /**
   * The entry that waits for a draw.
   * @param drawId - id of the draw
   */
  withDraw (drawId: string): BudgetEntry | undefined {
    return [...this.open].find(entry => entry.draw?.drawId === drawId)
  }

  /**
   * The entry whose search for tokens waits for an operation.
   * @param operationId - id of a transfer or a recall
   */
  withOperation (operationId: string): BudgetEntry | undefined {
    return [...this.open].find(entry => entry.round?.operationId === operationId)
  }

  /** Whether no entry holds anything. */
  get holdNothing (): boolean {
    return [...this.all.values()].every(entry => entry.isEmpty)
  }
}
