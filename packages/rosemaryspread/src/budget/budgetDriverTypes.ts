/** What the budget driver is built from, and what it counts. */
import type { DeclaredPaid } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { RendezvousOwners } from '@rosemaryspread/decisions/budget/budgetOwners.js'
import type { BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { BudgetPeers } from './budgetPeers.js'
import type { UnbilledRuns } from './budgetRecovery.js'
import type { RecoveryRunners } from './budgetRecoveryRuns.js'

/** What came of an ask. */
export interface GiftOutcome {
  /** Tokens given in all. */
  readonly tokens: number
  /** Whether any of the others answered. */
  readonly isReached: boolean
}

/** Asks other holders for tokens to use at once. */
export interface GiftAsker {
  ask (giftId: string, budget: string, tokens: number): Promise<GiftOutcome>
  /** Opens a link to an owner of a budget ahead of need. */
  meet (budget: string): Promise<void>
  /** Leaves tokens to another holder; answers whether one took them. */
  handOver (budget: string, tokens: number): Promise<boolean>
}

/** What the driver is built from. */
export interface BudgetDriverParts {
  readonly holder: string
  readonly domain: string
  /** Name of the addresses on which this process listens. */
  readonly place?: string | undefined
  /** Monotonic milliseconds at which this process had begun; absent where its clock does not tell. */
  readonly begunAt?: number
  readonly store: TableStore
  readonly peers: BudgetPeers
  readonly clock: Clock
  readonly log: EventLog
  readonly policy?: BudgetPolicy
  /** Who owns which budget; absent where every holder owns all. */
  readonly owners?: RendezvousOwners
  /** Asks other holders for gifts; absent where holders give none. */
  readonly gifts?: GiftAsker
  /** Runners to ask on recovery; without them, and without `unbilled`, nothing is recovered. */
  readonly runners?: RecoveryRunners
  /** How recovery finds what ended holders still owe, where runners keep no record of it. */
  readonly unbilled?: UnbilledRuns
  /** What the configuration says was paid for a budget, where top-ups do not say it. */
  readonly declared?: (budget: string) => DeclaredPaid | undefined
}

/** Counters for metrics. */
export interface BudgetCounters {
  reserved: number
  refused: number
  tableWrites: number
  tableConflicts: number
  inDoubtTokens: number
}
