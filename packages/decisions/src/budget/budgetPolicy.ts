/**
 * Sizes and times of the budget policy: how much a holder allots itself, gives and returns. All
 * functions are pure; docs/design/budgets.md has the measurements behind the defaults.
 */

/** Settings of the policy; times in milliseconds, amounts in tokens. */
export interface BudgetPolicy {
  /** Demand that an allotment covers; has to exceed the partition to survive. */
  readonly horizonMs: number
  /** Time constant of the demand rate. */
  readonly rateWindowMs: number
  /**
   * What the demand rate counts: `bills`, exactly what was used, or `reservations`, at once and at their
   * most, with the rate of a short past taken for the whole window. The second suits short windows.
   */
  readonly demandFrom: 'bills' | 'reservations'
  /** Whether a holder bounds what it uses without telling, see reportBound; needed where the end of a VM is settled by that bound. */
  readonly boundsUse: boolean
  /** Least allotment aimed at. */
  readonly minTokens: number
  /** A holder takes at most the unallotted remainder divided by this times the number of holders. */
  readonly shareDivisor: number
  /**
   * Part of the unspent tokens that is dealt out to all VMs evenly, also of budgets that nobody asked
   * them for: callers move between VMs at any time, and a VM that is cut off from the table can draw
   * nothing. The rest goes where the demand is. 0 deals nothing out.
   */
  readonly evenPart: number
  /** Refill when less than this part of the level after the last draw is free. */
  readonly lowWater: number
  /** Return what exceeds this many targets. */
  readonly excessFactor: number
  /** A budget not asked for this long is returned whole. */
  readonly idleReturnMs: number
  /** Bills wait at most this long for others that go in the same flush. */
  readonly flushMs: number
  /** Pause after a table call that failed, before the next try; doubles up to `retryMaxMs`. */
  readonly retryMs: number
  readonly retryMaxMs: number
  /**
   * Milliseconds that a request waits for the table before other holders are asked for a gift; at once where the
   * table is known not to help. Absent where holders have no links to each other.
   */
  readonly giftAfterMs?: number
  /** Pause between rounds of draw, transfer and recall for one budget. */
  readonly roundMs: number
  readonly roundMaxMs: number
  /** How long a request waits when the table or holders cannot be reached. */
  readonly patienceMs: number
  /** Milliseconds to come back after where another VM may have tokens; absent where callers come back to the same VM. */
  readonly otherVmRetryMs?: number
  /** Own demand that a holder keeps back when asked to return tokens. */
  readonly recallKeepMs: number
  /** How long after its last contact with the table an allotment may be taken by recovery. */
  readonly lapseMs: number
  /** Margin for clocks that run at different rates. */
  readonly marginMs: number
  /** Longest time between a reservation and the end of its run. */
  readonly requestTimeoutMs: number
  /** Pause before the next draw ahead of need once nothing was left. */
  readonly emptyPauseMs: number
  /** Draws that share a transaction, and budgets that share a flush; bounded by what the table takes at once. */
  readonly drawsAtOnce: number
  readonly budgetsAtOnce: number
  /** Budgets to which one flush returns tokens. */
  readonly returnsAtOnce: number
}

const SECOND = 1000
const MINUTE = 60 * SECOND
const HOUR = 60 * MINUTE

/** Defaults, chosen by measurement. */
export const defaultBudgetPolicy: BudgetPolicy = {
  horizonMs: 120 * MINUTE,
  rateWindowMs: 20 * MINUTE,
  demandFrom: 'bills',
  boundsUse: false,
  minTokens: 8_192,
  shareDivisor: 0.5,
  evenPart: 0,
  lowWater: 0.9,
  excessFactor: 2,
  idleReturnMs: 6 * HOUR,
  flushMs: 5 * SECOND,
  retryMs: SECOND,
  retryMaxMs: 15 * SECOND,
  roundMs: 500,
  roundMaxMs: 2 * SECOND,
  patienceMs: 2 * SECOND,
  recallKeepMs: 20 * SECOND,
  // Leaves time to recover before engines forget their runs, which is after two hours.
  lapseMs: 100 * MINUTE,
  marginMs: MINUTE,
  requestTimeoutMs: MINUTE,
  emptyPauseMs: 30 * SECOND,
  drawsAtOnce: 100,
  budgetsAtOnce: 100,
  returnsAtOnce: 100
}

/** Part of the lapse after which an idle allotment is renewed. */
const RENEW_PART = 0.25

/** Requests of the largest size seen that the least allotment covers. */
const LARGEST_COVERED = 4
/** Part of the allotment that is used at most before the next refill. */
const MOST_USED_PART = 0.25
/** Requests of the largest size seen that are used before the next refill. */
const LARGEST_USED = 2

/**
 * Milliseconds after a contact during which a holder may reserve.
 * @param policy - the policy
 */
export function usableMs (policy: BudgetPolicy): number {
  return policy.lapseMs - policy.marginMs - policy.requestTimeoutMs
}

/**
 * Milliseconds after a contact when an idle allotment is renewed.
 * @param policy - the policy
 */
export function renewAfterMs (policy: BudgetPolicy): number {
  return policy.lapseMs * RENEW_PART
}

/**
 * Allotment to aim at.
 * @param policy - the policy
 * @param ratePerMs - demand in tokens a millisecond
 * @param largest - largest reservation seen
 */
export function targetTokens (policy: BudgetPolicy, ratePerMs: number, largest: number): number {
  return Math.ceil(Math.max(ratePerMs * policy.horizonMs, policy.minTokens, largest * LARGEST_COVERED))
}

/**
 * Free tokens below which the allotment is refilled: a small part of it was used, and enough for
 * several requests, so that a small allotment does not cost a draw for each of them.
 * @param policy - the policy
 * @param level - free tokens right after the last draw, or the target if that is less
 * @param largest - largest reservation seen
 */
export function lowWaterMark (policy: BudgetPolicy, level: number, largest: number): number {
  const used = Math.min(Math.max(level * (1 - policy.lowWater), largest * LARGEST_USED), level * MOST_USED_PART)
  return level - used
}

/**
 * Tokens that the table grants.
 * @param wanted - amount wanted
 * @param atLeast - amount needed now
 * @param left - unallotted tokens
 * @param share - tokens that this holder may take ahead of need
 */
export function grantTokens (wanted: number, atLeast: number, left: number, share: number): number {
  return Math.max(0, Math.min(left, Math.max(wanted, atLeast), Math.max(atLeast, share)))
}

/**
 * Tokens that one holder may take ahead of need from what is left.
 * @param left - unallotted tokens
 * @param holders - number of VMs that may draw
 * @param shareDivisor - see {@link BudgetPolicy}
 */
export function shareOfLeft (left: number, holders: number, shareDivisor: number): number {
  return Math.floor(left / Math.max(1, holders * shareDivisor))
}

/**
 * Tokens given to another holder: what it needs now if there is as much, more only up to half.
 * @param free - tokens free here
 * @param wanted - amount wanted
 * @param atLeast - amount needed now
 */
export function giveTokens (free: number, wanted: number, atLeast: number): number {
  const half = Math.floor(free / 2)
  return Math.max(0, Math.min(free, Math.max(atLeast, Math.min(wanted, half))))
}

/**
 * Tokens that each holder has of those that are dealt out evenly.
 * @param unspent - tokens paid and not billed
 * @param holders - number of VMs
 * @param evenPart - see {@link BudgetPolicy}
 */
export function evenTokens (unspent: number, holders: number, evenPart: number): number {
  return Math.floor(Math.max(0, unspent) * evenPart / Math.max(1, holders))
}

/**
 * Tokens returned on recall: all but what is kept back, and that too when it is needed elsewhere now.
 * @param free - tokens free here
 * @param keep - tokens kept back
 * @param atLeast - amount needed now elsewhere
 */
export function recallTokens (free: number, keep: number, atLeast: number): number {
  return Math.max(0, Math.min(free, Math.max(free - Math.ceil(keep), atLeast)))
}
