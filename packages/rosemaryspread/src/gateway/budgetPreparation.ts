/**
 * Draws tokens of prepaid teams before their first request: callers move between VMs at any time, and a VM
 * that has lost the store by then cannot draw.
 */
import type { GatewayConfig } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import { hashName, pairWeight } from '@rosemaryspread/decisions/routing/rendezvous.js'

/** Limits the rows and draws of this VM in a fleet with many teams. */
const MAX_PREPARED_BUDGETS = 64
/** A prepared budget counts as idle only after three of these intervals. */
const PASS_INTERVAL_MS = 5_000

/** The operation on budgets that preparation uses. */
export interface BudgetPreparer {
  prepare (budget: string): void
}

/** Times are monotonic milliseconds. */
export class BudgetPreparation {
  private readonly vmHash: number
  private nextPassAt = 0
  private version: number | undefined

  /** @param vm - name of this VM */
  constructor (vm: string, private readonly budgets: BudgetPreparer) {
    this.vmHash = hashName(vm)
  }

  /**
   * Prepares budgets at once after a configuration change, and otherwise once per interval.
   * @param mono - current monotonic milliseconds
   */
  tick (config: GatewayConfig, mono: number): void {
    if (config.version === this.version && mono < this.nextPassAt) return
    this.version = config.version
    this.nextPassAt = mono + PASS_INTERVAL_MS
    for (const team of this.selectTeams(config)) this.budgets.prepare(team)
  }

  /** Where there are too many teams for one VM, rendezvous hashing selects a different subset on each VM. */
  private selectTeams ({ teams }: GatewayConfig): readonly string[] {
    const prepaid = Object.keys(teams).filter(team => teams[team]?.prepaidTokens !== undefined)
    if (prepaid.length <= MAX_PREPARED_BUDGETS) return prepaid
    return prepaid
      .map(team => ({ team, weight: pairWeight(hashName(team), this.vmHash) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, MAX_PREPARED_BUDGETS)
      .map(({ team }) => team)
  }
}
