/**
 * Budget policy: how many tokens a holder draws, transfers and returns, and when. The functions are pure.
 * Measurements for the defaults are in docs/design/budgets.md.
 */

/** Settings of the policy; times in milliseconds, amounts in tokens. */
export interface BudgetPolicy {
  /** Period of demand that an allotment covers; must exceed the longest partition to survive. */
  readonly horizonMs: number
  /** Time constant of the demand rate. */
  readonly rateWindowMs: number
  /**
   * What the demand rate counts: `bills` count actual use; `reservations` count the worst case immediately and extrapolate
   * a history shorter than the window, which suits short windows.
   */
  readonly demandSource: 'bills' | 'reservations'
  /** Whether a holder bounds its unreported use, see reportBound; required if recovery bills a terminated VM by that bound. */
  readonly boundsUnreportedUse: boolean
  /** Minimum desired allotment. */
  readonly minTokens: number
  /** A draw ahead of need is limited to the unallotted tokens divided by this value times the number of holders. */
  readonly shareDivisor: number
  /**
   * Fraction of the unspent tokens that is divided evenly among all VMs, including VMs without demand: callers move between
   * VMs at any time, and a VM that is cut off from the table cannot draw. The rest follows demand. 0 disables fair shares.
   */
  readonly fairShareRatio: number
  /** Refill when less than this fraction of the level after the last draw is free. */
  readonly lowWaterRatio: number
  /** Return free tokens when they exceed the desired allotment by this factor. */
  readonly excessFactor: number
  /** Return all free tokens of a budget without requests for this long. */
  readonly idleReturnMs: number
  /** Maximum time that a bill waits to be batched into a flush. */
  readonly flushMs: number
  /** Backoff after a failed table call; doubles up to `retryMaxMs`. */
  readonly retryMs: number
  readonly retryMaxMs: number
  /**
   * Milliseconds that a request waits for the table before a grant is requested from other holders; no wait if a draw is known
   * to be futile. Absent if holders have no links to each other.
   */
  readonly grantAfterMs?: number
  /** Backoff between rounds of draw, transfer and recall for one budget; doubles up to `roundMaxMs`. */
  readonly roundMs: number
  readonly roundMaxMs: number
  /** Maximum wait of a request while the table or other holders are unreachable. */
  readonly unreachableWaitMs: number
  /** Retry-After in milliseconds if another VM may have tokens; absent if callers retry at the same VM. */
  readonly otherVmRetryMs?: number
  /** Period of local demand that a holder retains on a recall. */
  readonly recallRetainMs: number
  /** Time after the last contact with the table when recovery may close an allotment. */
  readonly allotmentExpiryMs: number
  /** Margin for clocks that run at different rates. */
  readonly marginMs: number
  /** Maximum time between a reservation and the end of its run. */
  readonly requestTimeoutMs: number
  /** Pause before the next draw ahead of need when nothing was left; also after a recall, so that the tokens are not drawn back. */
  readonly emptyDrawPauseMs: number
  /** Maximum draws in a transaction and budgets in a flush, under the transaction limits of the table. */
  readonly maxDrawsPerTransaction: number
  readonly maxBudgetsPerFlush: number
  /** Maximum budgets to which one flush returns tokens. */
  readonly maxReturnsPerFlush: number
}

const SECOND = 1000
const MINUTE = 60 * SECOND
const HOUR = 60 * MINUTE

export const defaultBudgetPolicy: BudgetPolicy = {
  horizonMs: 120 * MINUTE,
  rateWindowMs: 20 * MINUTE,
  demandSource: 'bills',
  boundsUnreportedUse: false,
  minTokens: 8_192,
  shareDivisor: 0.5,
  fairShareRatio: 0,
  lowWaterRatio: 0.9,
  excessFactor: 2,
  idleReturnMs: 6 * HOUR,
  flushMs: 5 * SECOND,
  retryMs: SECOND,
  retryMaxMs: 15 * SECOND,
  roundMs: 500,
  roundMaxMs: 2 * SECOND,
  unreachableWaitMs: 2 * SECOND,
  recallRetainMs: 20 * SECOND,
  // Leaves time for recovery before engines discard their run records after two hours.
  allotmentExpiryMs: 100 * MINUTE,
  marginMs: MINUTE,
  requestTimeoutMs: MINUTE,
  emptyDrawPauseMs: 30 * SECOND,
  maxDrawsPerTransaction: 100,
  maxBudgetsPerFlush: 100,
  maxReturnsPerFlush: 100
}

/** Fraction of the expiry time after which an idle allotment is renewed. */
const RENEWAL_RATIO = 0.25

/** The minimum allotment covers this many requests of the largest size seen. */
const MIN_REQUESTS_COVERED = 4
/** Maximum fraction of the level used before a refill. */
const MAX_USED_RATIO = 0.25
/** Number of requests of the largest size seen before a refill. */
const REQUESTS_PER_REFILL = 2

/** Milliseconds after its last contact with the table for which a holder may reserve. */
export function usableMs (policy: BudgetPolicy): number {
  return policy.allotmentExpiryMs - policy.marginMs - policy.requestTimeoutMs
}

/** Milliseconds after its last contact with the table when an idle allotment is renewed. */
export function renewAfterMs (policy: BudgetPolicy): number {
  return policy.allotmentExpiryMs * RENEWAL_RATIO
}

/**
 * Desired allotment of a holder.
 * @param ratePerMs - demand in tokens a millisecond
 * @param largest - largest reservation seen
 */
export function desiredTokens (policy: BudgetPolicy, ratePerMs: number, largest: number): number {
  return Math.ceil(Math.max(ratePerMs * policy.horizonMs, policy.minTokens, largest * MIN_REQUESTS_COVERED))
}

/**
 * Free tokens below which the allotment is refilled. Allows use by several requests, so that a small allotment does not
 * need a draw for each of them.
 * @param level - free tokens right after the last draw, or the desired allotment if lower
 * @param largest - largest reservation seen
 */
export function lowWaterMark (policy: BudgetPolicy, level: number, largest: number): number {
  const usable = Math.min(Math.max(level * (1 - policy.lowWaterRatio), largest * REQUESTS_PER_REFILL), level * MAX_USED_RATIO)
  return level - usable
}

/**
 * Tokens granted to a draw.
 * @param left - unallotted tokens
 * @param share - tokens that this holder may draw ahead of need
 */
export function drawableTokens (wanted: number, atLeast: number, left: number, share: number): number {
  return Math.max(0, Math.min(left, Math.max(wanted, atLeast), Math.max(atLeast, share)))
}

/**
 * Tokens that one holder may draw ahead of need.
 * @param left - unallotted tokens
 * @param holders - number of VMs that may draw
 * @param shareDivisor - see {@link BudgetPolicy}
 */
export function shareOfLeft (left: number, holders: number, shareDivisor: number): number {
  return Math.floor(left / Math.max(1, holders * shareDivisor))
}

/**
 * Tokens to transfer to another holder: the amount needed now as far as free, more only up to half of the free tokens.
 * @param free - tokens free here
 */
export function transferableTokens (free: number, wanted: number, atLeast: number): number {
  const half = Math.floor(free / 2)
  return Math.max(0, Math.min(free, Math.max(atLeast, Math.min(wanted, half))))
}

/**
 * Fair share of each holder in the unspent tokens.
 * @param unspent - tokens paid and not billed
 * @param holders - number of VMs
 * @param fairShareRatio - see {@link BudgetPolicy}
 */
export function fairShareTokens (unspent: number, holders: number, fairShareRatio: number): number {
  return Math.floor(Math.max(0, unspent) * fairShareRatio / Math.max(1, holders))
}

/**
 * Tokens to return on a recall: all but the retained ones, and those too if needed elsewhere now.
 * @param free - tokens free here
 * @param retained - tokens retained for local demand
 * @param atLeast - amount needed now elsewhere
 */
export function recallableTokens (free: number, retained: number, atLeast: number): number {
  return Math.max(0, Math.min(free, Math.max(free - Math.ceil(retained), atLeast)))
}
