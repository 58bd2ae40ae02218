/**
 * Has this VM hold tokens of prepaid teams before they ask it: callers move between VMs at any time,
 * and a VM that is cut off from the store by then can draw nothing.
 */
import type { GatewayConfig } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import { hashName, pairWeight } from '@rosemaryspread/decisions/routing/rendezvous.js'

/** Budgets that one VM prepares at most: bounds its rows and draws where there are many teams. */
const MOST_PREPARED = 64
/** Milliseconds between two passes; a budget counts as idle three times as late. */
const PASS_MS = 5_000

/** What is told of budgets to prepare. */
export interface PreparedBudgets {
  prepare (budget: string): void
}

/** Prepares budgets of one VM. Times are monotonic milliseconds. */
export class BudgetPreparation {
  private readonly vmHash: number
  private nextPassAt = 0
  private version: number | undefined

  /**
   * @param vm - name of this VM
   * @param budgets - is told what to prepare
   */
  constructor (vm: string, private readonly budgets: PreparedBudgets) {
    this.vmHash = hashName(vm)
  }

  /**
   * Prepares what is due: at once for a new configuration, else from time to time.
   * @param config - the configuration in force
   * @param mono - present time
   */
  tick (config: GatewayConfig, mono: number): void {
    if (config.version === this.version && mono < this.nextPassAt) return
    this.version = config.version
    this.nextPassAt = mono + PASS_MS
    for (const team of this.chosen(config)) this.budgets.prepare(team)
  }

  /** Each VM chooses others where there are too many for all. */
  private chosen ({ teams }: GatewayConfig): readonly string[] {
    const prepaid = Object.keys(teams).filter(team => teams[team]?.prepaidTokens !== undefined)
    if (prepaid.length <= MOST_PREPARED) return prepaid
    return prepaid
      .map(team => ({ team, weight: pairWeight(hashName(team), this.vmHash) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, MOST_PREPARED)
      .map(({ team }) => team)
  }
}
