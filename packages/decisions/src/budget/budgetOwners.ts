/**
 * Selects the owners of each budget: they draw it from the table ahead of need, report its use and grant tokens to all other
 * holders. In a small fleet all holders own every budget.
 * The unreported use that a holder is allowed must be much larger than one request. With allotments at 60 VMs it would be
 * smaller than one large request, and paid requests would be refused.
 */
import { vmOf } from '../names/nameTypes.js'
import { hashName, pairWeight } from '../routing/rendezvous.js'

/** Up to this many VMs, each owns every budget: any one of a few VMs may be the only one that is not cut off. */
export const MAX_VMS_ALL_OWN = 8
/**
 * Owners of one budget in a larger fleet. Some usually survive the failure of a few VMs or the partition of a failure domain; if
 * none answers, a VM draws for itself. More owners lose more unreported tokens when all terminate, fragment the last tokens of a
 * budget and cause more table calls.
 */
const OWNERS_PER_BUDGET = 4

export interface BudgetOwnership {
  owns (holder: string, budget: string): boolean
  /** Number of owners of each budget. */
  readonly count: number
}

/** Owners by rendezvous hashing over VM names, so that a restarted process keeps its budgets. */
export class RendezvousOwners implements BudgetOwnership {
  private holders: readonly string[]
  private readonly byBudget = new Map<string, ReadonlySet<string>>()

  /** @param self - holder id of this process */
  constructor (private readonly self: string) {
    this.holders = [self]
  }

  /**
   * Replaces the list of present holders.
   * @param peers - the other reachable holders
   */
  refresh (peers: readonly string[]): void {
    const holders = [this.self, ...peers]
    if (holders.length === this.holders.length && holders.every((holder, index) => holder === this.holders[index])) return
    this.holders = holders
    this.byBudget.clear()
  }

  get count (): number {
    return this.isOwnedByAll ? this.holders.length : OWNERS_PER_BUDGET
  }

  owns (holder: string, budget: string): boolean {
    return this.isOwnedByAll || this.ownersOf(budget).has(holder)
  }

  private get isOwnedByAll (): boolean {
    return this.holders.length <= MAX_VMS_ALL_OWN
  }

  private ownersOf (budget: string): ReadonlySet<string> {
    const cached = this.byBudget.get(budget)
    if (cached !== undefined) return cached
    const hash = hashName(budget)
    const ranked = this.holders
      .map(holder => ({ holder, weight: pairWeight(hash, hashName(vmOf(holder))) }))
      .sort((a, b) => b.weight - a.weight)
    const owners = new Set(ranked.slice(0, OWNERS_PER_BUDGET).map(({ holder }) => holder))
    this.byBudget.set(budget, owners)
    return owners
  }
}

/** Ownership of every budget by every holder, for fleets without links between holders. */
export function ownedByAll (holders: () => number): BudgetOwnership {
  return {
    owns: () => true,
    get count () { return holders() }
  }
}
