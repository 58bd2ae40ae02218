/**
 * The gateway's configuration in force. Versions only grow in the life of a process; what changed
 * for prepaid teams is told on to the budgets.
 */
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { DeclaredPaid } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { GatewayConfig } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import { RouteTable } from '@rosemaryspread/decisions/gateway/routeTable.js'
import { KeyDirectory } from '../directory/keyDirectory.js'
import type { PreparedConfig } from './gatewayAdmission.js'

/** Told when the amount that a team paid changed. */
export type OnPaidChanged = (team: string, isLowered: boolean) => void

/** Holds the configuration. */
export class GatewayConfigHolder {
  private prepared: PreparedConfig | undefined
  private readonly listeners: OnPaidChanged[] = []

  constructor (private readonly log: EventLog) {}

  /** The configuration in force; undefined until the first came. */
  current (): PreparedConfig | undefined {
    return this.prepared
  }

  /**
   * Registers a listener for changed amounts.
   * @param listener - told of each team
   */
  onPaidChanged (listener: OnPaidChanged): void {
    this.listeners.push(listener)
  }

  /**
   * Puts a configuration in force unless the one in force is as new.
   * @param config - the configuration
   */
  apply (config: GatewayConfig): void {
    const before = this.prepared?.config
    if (before !== undefined && config.version <= before.version) return
    const keys = new KeyDirectory()
    keys.replace(Object.entries(config.teams).map(([team, { keyHashes }]) => [team, keyHashes]))
    this.prepared = { config, keys, routes: new RouteTable(config) }
    this.log.write('configApplied', { version: config.version, source: 'feed', routes: config.routes.length })
    this.tellPaid(before, config)
  }

  /**
   * What a team paid in all, by the configuration in force.
   * @param team - name of the team
   */
  declaredPaid (team: string): DeclaredPaid | undefined {
    const { config } = this.prepared ?? {}
    const tokens = config?.teams[team]?.prepaidTokens
    return config === undefined || tokens === undefined ? undefined : { tokens, version: config.version }
  }

  private tellPaid (before: GatewayConfig | undefined, after: GatewayConfig): void {
    for (const [team, { prepaidTokens: paid }] of Object.entries(after.teams)) {
      const earlier = before?.teams[team]?.prepaidTokens
      if (paid === undefined || earlier === undefined || paid === earlier) continue
      for (const listener of this.listeners) listener(team, paid < earlier)
    }
  }
}
