/**
 * Dependencies and counters of the budget driver.
 */
import type { DeclaredPaid, GrantedTokens } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { RendezvousOwners } from '@rosemaryspread/decisions/budget/budgetOwners.js'
import type { BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import type { GrantPolicySource } from '@rosemaryspread/decisions/budget/grantPolicy.js'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import type { HandBackOutcome } from './grantReturnCalls.js'
import type { BudgetPeers } from './budgetPeers.js'
import type { UnbilledRuns } from './budgetRecovery.js'
import type { RecoveryRunners } from './budgetRecoveryRuns.js'

/** Outcome of a grant request. */
export interface GrantOutcome {
  /** Tokens granted by all peers together. */
  readonly tokens: number
  /** Whether any peer answered. */
  readonly isReached: boolean
}

/** Requests grants from other holders: tokens that can be used at once. */
export interface GrantRequester {
  /** Requests tokens from other holders until enough is granted; `tokens` is the amount lacking. */
  ask (giftId: string, budget: string, tokens: number, priority?: number): Promise<GrantOutcome>
  /** Opens a link to an owner of a budget ahead of demand. */
  connectOwner (budget: string): Promise<void>
  /** Hands tokens over to another holder; resolves to whether one accepted them. */
  handOver (budget: string, tokens: number): Promise<boolean>
  /** Hands unused tokens back to owners. */
  handBack (grants: readonly GrantedTokens[]): Promise<HandBackOutcome>
}

export interface BudgetDriverParts {
  readonly holder: string
  readonly domain: string
  /** Name of the addresses on which this process listens. */
  readonly place?: string | undefined
  /** Monotonic milliseconds of the start of this process; absent where its clock does not provide it. */
  readonly processStartedAt?: number
  readonly store: TableStore
  readonly peers: BudgetPeers
  readonly clock: Clock
  readonly log: EventLog
  /** Counts what recovery bills without records of runs. */
  readonly metrics?: Pick<Metrics, 'count'> | undefined
  readonly policy?: BudgetPolicy
  /** Absent where granted tokens are kept and requests are served as they arrive. */
  readonly grantPolicy?: GrantPolicySource
  /** Owners of each budget; absent where every holder owns all budgets. */
  readonly owners?: RendezvousOwners
  /** Requests grants from other holders; absent where holders grant none. */
  readonly grantRequester?: GrantRequester
  /** Runners queried by recovery; without them, and without `unbilledRuns`, nothing is recovered. */
  readonly runners?: RecoveryRunners
  /** Finds what terminated holders still owe, where runners keep no record of it. */
  readonly unbilledRuns?: UnbilledRuns
  /** Amount paid for a budget according to the configuration, where top-ups don't define it. */
  readonly declared?: (budget: string) => DeclaredPaid | undefined
}

/** Totals since the start of the process. */
export interface BudgetCounters {
  reserved: number
  refused: number
  tableWrites: number
  tableConflicts: number
  inDoubtTokens: number
}
