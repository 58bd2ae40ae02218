/**
 * Hands tokens to the owners of their budgets, all budgets in one action: granted ones that no request here uses, and allotted ones
 * beyond the next requests once an owner is short. Other holders ask owners only, so that these tokens would serve nobody.
 * A holder that owns a budget keeps its tokens.
 */
import type { Instant } from '../clock/clockTypes.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { BudgetMaintenance } from './budgetMaintenance.js'
import type { BudgetPolicy } from './budgetPolicy.js'
import type { BudgetAction, GrantedTokens } from './budgetTypes.js'
import type { GrantPolicySource } from './grantPolicy.js'
import type { PeerGrants } from './peerGrants.js'

/** Period of its own demand for which a holder keeps allotted tokens while owners are short. */
const KEPT_DEMAND_MS = 2_000

export interface GrantReturnsParts {
  readonly grants: Pick<PeerGrants, 'withdrawUnneeded'>
  readonly maintenance: Pick<BudgetMaintenance, 'returnFree'>
  readonly budgetPolicy: Pick<BudgetPolicy, 'emptyDrawPauseMs'>
  /** Without a policy holders keep their tokens. */
  readonly policy: GrantPolicySource
}

export class GrantReturns {
  private dueAt = 0

  constructor (private readonly parts: GrantReturnsParts) {}

  /** Withdraws the granted tokens that were unused for the whole period that ends now, if one does. */
  due (entries: Iterable<BudgetEntry>, now: Instant): readonly BudgetAction[] {
    const policy = this.parts.policy()
    if (policy === undefined || now.mono < this.dueAt) return []
    this.dueAt = now.mono + policy.handBackAfterMs
    const grants = [...entries].flatMap(entry => returnOf(entry, now))
    return grants.length === 0 ? [] : [{ kind: 'handBack', grants }]
  }

  /**
   * Gives up allotted tokens that local demand does not need soon, because an owner is short: those that may be used now as a grant,
   * the others over the table.
   */
  giveUpUnneeded (entry: BudgetEntry, now: Instant): readonly BudgetAction[] {
    const { grants, maintenance, budgetPolicy, policy } = this.parts
    if (policy() === undefined || entry.isOwned || entry.waiting.length > 0) return []
    const kept = keptTokens(entry, now)
    const tokens = grants.withdrawUnneeded(entry, kept, now)
    maintenance.returnFree(entry, kept, now)
    // Otherwise the next draw ahead of need takes the same tokens.
    entry.nextDrawAt = Math.max(entry.nextDrawAt, now.mono + budgetPolicy.emptyDrawPauseMs)
    return tokens === 0 ? [] : [{ kind: 'handBack', grants: [{ budget: entry.budget, tokens }] }]
  }
}

function returnOf (entry: BudgetEntry, now: Instant): readonly GrantedTokens[] {
  const { budget, grantedBalance, isOwned, waiting, grantRequestId } = entry
  if (isOwned) return []
  const isNeeded = waiting.length > 0 || grantRequestId !== undefined
  const tokens = isNeeded ? 0 : grantedBalance.withdrawUnused()
  const isAllotted = entry.free > keptTokens(entry, now)
  return tokens > 0 || isAllotted ? [{ budget, tokens, ...(isAllotted ? { isAllotted } : {}) }] : []
}

function keptTokens (entry: BudgetEntry, now: Instant): number {
  return Math.max(entry.desired.largest, Math.ceil(entry.desired.rate.perMs(now.mono) * KEPT_DEMAND_MS))
}
