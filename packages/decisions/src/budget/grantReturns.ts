/**
 * Hands granted tokens back to the owners of their budgets once no request here uses them, all budgets in one action. A holder
 * that owns a budget keeps them: other holders ask it.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { BudgetAction, GrantedTokens } from './budgetTypes.js'
import type { GrantPolicy } from './grantPolicy.js'

export class GrantReturns {
  private dueAt = 0

  /** @param policy - absent where granted tokens are kept */
  constructor (private readonly policy: Pick<GrantPolicy, 'handBackAfterMs'> | undefined) {}

  /** Withdraws the tokens that were unused for the whole period that ends now, if one does. */
  due (entries: Iterable<BudgetEntry>, now: Instant): readonly BudgetAction[] {
    if (this.policy === undefined || now.mono < this.dueAt) return []
    this.dueAt = now.mono + this.policy.handBackAfterMs
    const grants: GrantedTokens[] = []
    for (const { budget, isOwned, grantedBalance } of entries) {
      const tokens = isOwned ? 0 : grantedBalance.withdrawUnused()
      if (tokens > 0) grants.push({ budget, tokens })
    }
    return grants.length === 0 ? [] : [{ kind: 'handBack', grants }]
  }
}
