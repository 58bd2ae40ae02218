/**
 * Sizes and times of budgets where targets keep no record of runs and nothing outlives a process.
 * An allotment covers demand for longer than the store is mostly out of reach; what the end of a VM
 * costs is bounded by its last report, see reportBound.
 */
import { MAX_VMS_ALL_OWN } from '@rosemaryspread/decisions/budget/budgetOwners.js'
import { defaultBudgetPolicy, type BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'

/** Milliseconds between two flushes of a VM in a small fleet; reports go with them, each is one call of the store. */
const FLUSH_MS = 100
/** Flushes that all VMs together send in a second at most: two thirds of what one part of the store takes. */
const FLEET_FLUSHES_PER_S = 200
/**
 * Part of the unspent tokens that is dealt out to the owners of a budget where they are fewer than the VMs: requests of all
 * others come to them alike, so it does not lie idle, and the first seconds of traffic meet no empty owner.
 */
const OWNERS_EVEN_PART = 0.5
const MS_PER_SECOND = 1_000

/** Policy of the gateway; docs/design/platform.md gives the ways weighed. */
export const gatewayBudgetPolicy: BudgetPolicy = {
  ...defaultBudgetPolicy,
  horizonMs: 45_000,
  rateWindowMs: 3_000,
  boundsUnreportedUse: true,
  demandSource: 'reservations',
  // More than a tenth lies idle at VMs without demand while the one with the callers runs dry in a cut.
  fairShareRatio: 0.1,
  // Many teams are served by one VM at a time, since callers keep their connections: it may take most of what is left.
  shareDivisor: 0.25,
  idleReturnMs: 15_000,
  flushMs: FLUSH_MS,
  retryMs: 200,
  retryMaxMs: 1_000,
  roundMs: 150,
  roundMaxMs: 600,
  unreachableWaitMs: 30,
  // About a round trip: callers come back to another address.
  otherVmRetryMs: 20,
  // A draw or a report mostly comes back sooner, and costs no other VM a call.
  grantAfterMs: 20,
  allotmentExpiryMs: 60_000,
  marginMs: 5_000,
  requestTimeoutMs: 15_000,
  // Gifts serve what waits meanwhile; at 2 s a day of trouble took 14,900 calls of the store, now 12,800.
  emptyDrawPauseMs: 6_000,
  // A transaction of the store takes 100 entries; a draw has up to six of them, a flush four for each budget.
  maxDrawsPerTransaction: 12,
  maxBudgetsPerFlush: 20,
  // With returns to ten budgets at once eight tries in a row conflicted while a VM joined and others drew.
  maxReturnsPerFlush: 3
}

/**
 * The policy of a VM in a fleet of any size: VMs of a larger one flush less often.
 * @param vms - number of VMs
 */
export function fleetBudgetPolicy (vms: () => number): BudgetPolicy {
  return {
    ...gatewayBudgetPolicy,
    get fairShareRatio () { return vms() > MAX_VMS_ALL_OWN ? OWNERS_EVEN_PART : gatewayBudgetPolicy.fairShareRatio },
    get flushMs () { return Math.max(FLUSH_MS, vms() * MS_PER_SECOND / FLEET_FLUSHES_PER_S) }
  }
}
