/**
 * The current configuration of the gateway. Its version only increases during the life of a process;
 * listeners are notified when the amount paid by a team changes.
 */
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { DeclaredPaid } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { GatewayConfig } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import { RouteTable } from '@rosemaryspread/decisions/gateway/routeTable.js'
import { KeyDirectory } from '../directory/keyDirectory.js'
import type { PreparedConfig } from './gatewayAdmission.js'

/** Time after the end of a request in which its caller may resume the stream; callers whose attempts are refused come back for a while. */
const RESUME_DELAY_MS = 60_000

/** Called when the amount that a team paid has changed. */
export type OnPaidChanged = (team: string, isLowered: boolean) => void

export class GatewayConfigHolder {
  private prepared: PreparedConfig | undefined
  private longestStreamMs = 0
  private readonly listeners: OnPaidChanged[] = []

  constructor (private readonly log: EventLog) {}

  /** The current configuration; undefined until the first one is applied. */
  current (): PreparedConfig | undefined {
    return this.prepared
  }

  /** Registers a listener for changed amounts; called once for each changed team. */
  onPaidChanged (listener: OnPaidChanged): void {
    this.listeners.push(listener)
  }

  /** Milliseconds for which a stream may be resumed after its first event. */
  get streamLifetimeMs (): number {
    return this.longestStreamMs + RESUME_DELAY_MS
  }

  /** Services with streams that callers may resume. */
  get resumableServices (): readonly string[] {
    const routes = this.prepared?.config.routes ?? []
    return [...new Set(routes.filter(({ repeat }) => repeat === 'resume').flatMap(({ services }) => services.map(({ service }) => service)))]
  }

  /** Applies a configuration unless its version is not newer than the current one. */
  apply (config: GatewayConfig): void {
    const previous = this.prepared?.config
    if (previous !== undefined && config.version <= previous.version) return
    const keys = new KeyDirectory()
    keys.replace(Object.entries(config.teams).map(([team, { keyHashes }]) => [team, keyHashes]))
    this.prepared = { config, keys, routes: new RouteTable(config) }
    // A stream may have begun under an earlier configuration.
    this.longestStreamMs = Math.max(this.longestStreamMs, ...config.routes.map(({ repeat, timeoutMs }) => repeat === 'resume' ? timeoutMs : 0))
    this.log.write('configApplied', { version: config.version, source: 'feed', routes: config.routes.length })
    this.notifyPaidChanges(previous, config)
  }

  /** Total amount that a team paid according to the current configuration. */
  declaredPaid (team: string): DeclaredPaid | undefined {
    const { config } = this.prepared ?? {}
    const tokens = config?.teams[team]?.prepaidTokens
    return config === undefined || tokens === undefined ? undefined : { tokens, version: config.version }
  }

  private notifyPaidChanges (previous: GatewayConfig | undefined, next: GatewayConfig): void {
    for (const [team, { prepaidTokens: paid }] of Object.entries(next.teams)) {
      const previousPaid = previous?.teams[team]?.prepaidTokens
      if (paid === undefined || previousPaid === undefined || paid === previousPaid) continue
      for (const listener of this.listeners) listener(team, paid < previousPaid)
    }
  }
}
