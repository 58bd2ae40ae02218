/**
 * Creates the budget driver of a gateway, with the policy of a fleet of equal VMs and with grants between
 * VMs over their links.
 */
import type { Either } from 'purify-ts'
import { MAX_VMS_ALL_OWN, RendezvousOwners } from '@rosemaryspread/decisions/budget/budgetOwners.js'
import type { GrantPolicy } from '@rosemaryspread/decisions/budget/grantPolicy.js'
import type { DeclaredPaid } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { HASH_RANGE, hashName, pairWeight } from '@rosemaryspread/decisions/routing/rendezvous.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { LateResponseHandler } from '@rosemaryspread/peers/link/linkTypes.js'
import { BudgetDriver } from '../budget/budgetDriver.js'
import { BudgetGrantCalls } from '../budget/budgetGrantCalls.js'
import { AssumedSpentRuns } from '../budget/assumedSpentRuns.js'
import type { BudgetMember } from '../budget/budgetPeers.js'
import { NoTransferPeers } from '../budget/noTransferPeers.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import type { PeerVm } from '../presence/vmPresence.js'
import { fleetBudgetPolicy } from './gatewayBudgetPolicy.js'

/** Start of the process in monotonic milliseconds: the performance clock of Node counts from there. */
const PROCESS_START_MONO_MS = 0

/** The fleet as the budgets see it. */
export interface BudgetFleet {
  /** Other VMs that hold budgets. */
  members (): readonly BudgetMember[]
  /** Other VMs that can be called over a link. */
  peers (): readonly PeerVm[]
  /** Number of VMs, this one included. */
  readonly size: number
}

export interface BudgetDriverOptions {
  readonly holder: string
  readonly domain: string
  /** Address on which this process listens for callers. */
  readonly place: string
  readonly store: TableStore
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics?: Pick<Metrics, 'count'>
  readonly fleet: BudgetFleet
  /** Absent where granted tokens are kept and requests are served as they arrive. */
  readonly grants?: GrantPolicy | undefined
  /** Calls another VM over a link. */
  call (address: string, method: string, params: unknown, timeoutMs: number, onLate?: LateResponseHandler): Promise<Either<Failure, unknown>>
  /** Amount paid for a budget according to the current configuration. */
  declared (budget: string): DeclaredPaid | undefined
}

export function createBudgetDriver (parts: BudgetDriverOptions): BudgetDriver {
  const { holder, domain, place, store, clock, log, metrics, fleet, call, declared, grants } = parts
  const owners = new RendezvousOwners(holder)
  const budgets: BudgetDriver = new BudgetDriver({
    holder,
    domain,
    place,
    processStartedAt: PROCESS_START_MONO_MS,
    store,
    peers: new NoTransferPeers(() => fleet.members()),
    clock,
    log,
    metrics,
    grantRequester: new BudgetGrantCalls({
      holder,
      clock,
      log,
      peersFor: budget => fleet.peers().filter(peer => owners.owns(peer.holder, budget)),
      call,
      acceptLateGrant: (budget, tokens) => { budgets.onHandover(budget, tokens) },
      preference: (peer, budget) => pairWeight(hashName(`${holder} ${budget}`), hashName(peer)) / HASH_RANGE
    }),
    owners,
    grantPolicy: () => fleet.size > MAX_VMS_ALL_OWN ? grants : undefined,
    policy: fleetBudgetPolicy(() => fleet.size),
    unbilledRuns: new AssumedSpentRuns(),
    declared
  })
  return budgets
}
