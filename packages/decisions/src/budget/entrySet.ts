/**
 * Budgets of one holder, and those that the next tick processes. Entries without open work are skipped, so that idle budgets
 * cost nothing.
 */
import type { BudgetEntry } from './budgetEntry.js'

export class EntrySet {
  /** All entries by budget id. */
  readonly all = new Map<string, BudgetEntry>()
  private readonly open = new Set<BudgetEntry>()

  /** Entries to process on the next tick. */
  get pending (): Iterable<BudgetEntry> {
    return this.open
  }

  /**
   * Adds an entry to the next tick, or removes it.
   * @param isPending - whether it has open work
   */
  setPending (entry: BudgetEntry, isPending = true): void {
    if (isPending) this.open.add(entry)
    else this.open.delete(entry)
  }

  /** The entry with this open draw. */
  byDraw (drawId: string): BudgetEntry | undefined {
    return [...this.open].find(entry => entry.draw?.drawId === drawId)
  }

  /**
   * The entry whose round waits for an operation.
   * @param operationId - id of a transfer or a recall
   */
  byOperation (operationId: string): BudgetEntry | undefined {
    return [...this.open].find(entry => entry.round?.operationId === operationId)
  }

  /** Whether all entries are empty. */
  get areEmpty (): boolean {
    return [...this.all.values()].every(entry => entry.isEmpty)
  }
}
