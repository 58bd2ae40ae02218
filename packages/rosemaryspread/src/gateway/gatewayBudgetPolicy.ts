/**
 * Sizes and times of budgets where targets keep no record of runs and nothing outlives a process. An
 * allotment covers demand for longer than typical outages of the store; the loss when a VM terminates is
 * bounded by its last report, see reportBound.
 */
import { MAX_VMS_ALL_OWN } from '@rosemaryspread/decisions/budget/budgetOwners.js'
import { defaultBudgetPolicy, type BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'

/** Interval between two flushes of a VM in a small fleet; each flush with its reports is one call of the store. */
const FLUSH_MS = 100
/** Upper bound on flushes per second of all VMs together: two thirds of what one partition of the store handles. */
const FLEET_FLUSHES_PER_S = 200
/**
 * Share of the unspent tokens that is dealt out to the owners of a budget where they are fewer than the VMs.
 * Requests of all other VMs reach the owners equally, so these tokens do not lie idle and the first seconds of
 * traffic find no empty owner.
 */
const OWNERS_FAIR_SHARE_RATIO = 0.5
const MS_PER_SECOND = 1_000

/** Budget policy of the gateway; docs/design/platform.md compares the alternatives. */
export const gatewayBudgetPolicy: BudgetPolicy = {
  ...defaultBudgetPolicy,
  // Outlasts an outage of the store; tokens that no VM holds are not lost when VMs terminate.
  horizonMs: 25_000,
  rateWindowMs: 3_000,
  boundsUnreportedUse: true,
  demandSource: 'reservations',
  // A larger share lies idle at VMs without demand, while the VM with the callers runs out during a partition.
  fairShareRatio: 0.1,
  // Callers reuse their connections, so one VM often serves all requests of a team: it may draw most of the rest.
  shareDivisor: 0.25,
  idleReturnMs: 15_000,
  flushMs: FLUSH_MS,
  retryMs: 200,
  retryMaxMs: 1_000,
  roundMs: 150,
  roundMaxMs: 600,
  unreachableWaitMs: 30,
  // About one round trip, as callers retry at another address.
  otherVmRetryMs: 20,
  // A draw or a report mostly completes sooner and costs no call to another VM.
  grantAfterMs: 20,
  allotmentExpiryMs: 60_000,
  marginMs: 5_000,
  requestTimeoutMs: 15_000,
  // Grants of other VMs serve waiting requests meanwhile; a shorter pause only adds calls of the store during an outage.
  emptyDrawPauseMs: 6_000,
  // A transaction of the store is limited to 100 entries; a draw has up to six, a flush four for each budget.
  maxDrawsPerTransaction: 12,
  maxBudgetsPerFlush: 20,
  // Returns to ten budgets in one transaction conflicted eight times in a row while a VM joined and others drew.
  maxReturnsPerFlush: 3
}

/**
 * Policy for a fleet of any size: VMs of a larger fleet flush less often.
 * @param vms - current number of VMs
 */
export function fleetBudgetPolicy (vms: () => number): BudgetPolicy {
  return {
    ...gatewayBudgetPolicy,
    get fairShareRatio () { return vms() > MAX_VMS_ALL_OWN ? OWNERS_FAIR_SHARE_RATIO : gatewayBudgetPolicy.fairShareRatio },
    get flushMs () { return Math.max(FLUSH_MS, vms() * MS_PER_SECOND / FLEET_FLUSHES_PER_S) }
  }
}
