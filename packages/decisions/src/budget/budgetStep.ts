/**
 * Processes one budget: admits or refuses waiting requests, requests tokens, and returns free tokens while the VM drains.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { PeerGrants } from './peerGrants.js'
import type { BudgetSupply } from './budgetSupply.js'
import type { BudgetAction } from './budgetTypes.js'
import type { BudgetMaintenance } from './budgetMaintenance.js'
import type { EntrySet } from './entrySet.js'

export interface BudgetStepDeps {
  readonly entries: EntrySet
  readonly supply: BudgetSupply
  readonly maintenance: BudgetMaintenance
  readonly grants: PeerGrants
}

export class BudgetStep {
  constructor (private readonly parts: BudgetStepDeps) {}

  /**
   * Processes one budget.
   * @param draining - whether free tokens are returned
   */
  process (entry: BudgetEntry, draining: boolean, now: Instant): readonly BudgetAction[] {
    const { entries, supply, maintenance, grants } = this.parts
    if (entry.waiting.length > 0 && entry.held > 0 && !entry.isUsable(now)) maintenance.renew(entry, now)
    const actions = [...supply.serve(entry, now), ...grants.ask(entry, now)]
    if (entry.waiting.some(item => item.tokens <= entry.free && item.tokens > entry.usable(now))) maintenance.report(entry, now)
    if (draining) maintenance.returnFree(entry, 0, now)
    entries.setPending(entry, this.isOpen(entry, now))
    return actions
  }

  private isOpen (entry: BudgetEntry, now: Instant): boolean {
    return entry.waiting.length > 0 || entry.draw !== undefined || entry.round !== undefined || this.parts.supply.isLow(entry, now)
  }
}
