/**
 * Decides when a request that waits for tokens is refused: the budget is unknown or spent, or the wait limit is reached.
 */
import type { Instant } from '../clock/clockTypes.js'
import { Failure } from '../codes/failure.js'
import type { BudgetPolicy } from './budgetPolicy.js'
import type { BudgetEntry } from './budgetEntry.js'
import type { Shortage, WaitingRequest } from './budgetEntryTypes.js'

/** Age of a recorded shortage after which a new request queries the table again. */
const SHORTAGE_MAX_AGE_MS = 1_000
/** Retry-After if the budget is spent. */
const SPENT_RETRY_MS = 30_000
/** Retry-After if tokens are allotted to unreachable VMs. */
const UNREACHABLE_RETRY_MS = 5_000
/** Maximum fraction of its wait limit that a request waits for a report. */
const REPORT_WAIT_RATIO = 0.5
/** Maximum Retry-After while free tokens await a report: another VM may be able to report. */
const MAX_REPORT_RETRY_MS = 500
/** Minimum Retry-After if the table is unreachable. */
const MIN_PENDING_RETRY_MS = 1_000

/** Wait limit for unreachable tokens, and the Retry-After of its refusal. */
type RefusalTimes = Pick<BudgetPolicy, 'unreachableWaitMs' | 'otherVmRetryMs'>

/** The failure of a request that has to be refused now; undefined while it may wait. */
export function refusalOf (entry: BudgetEntry, request: WaitingRequest, times: RefusalTimes, now: Instant): Failure | undefined {
  const shortage = currentShortage(entry, request, now)
  if (shortage?.kind === 'unknownBudget') return new Failure('budgetUnknown', `budget ${entry.budget} does not exist`, { ran: 'no' })
  if (shortage?.kind === 'short' && isSpent(entry, shortage.unspent, request.tokens)) {
    return new Failure('budgetSpent', `fewer than ${request.tokens} tokens of ${entry.budget} are unspent`, { ran: 'no', retryAfterMs: SPENT_RETRY_MS })
  }
  const untilUsableMs = entry.untilUsableMs(request.tokens, now)
  if (untilUsableMs !== undefined) return unreportedFailure(entry, request, untilUsableMs, now)
  const isUnreachable = shortage?.kind === 'unavailable' || (shortage?.kind === 'short' && entry.unreachable > 0) || isExhausted(entry, request, now)
  const limitMs = isUnreachable && entry.round === undefined ? Math.min(times.unreachableWaitMs, request.giveUpAfterMs) : request.giveUpAfterMs
  return waitedMs(request, now) >= limitMs ? timeoutFailure(entry, request, times, now) : undefined
}

/** Whether to query the table again before the next round may start: this costs only a read while the budget is short. */
export function mayRetryTable (entry: BudgetEntry, now: Instant): boolean {
  const isAnswered = entry.shortage?.kind === 'short' || entry.shortage?.kind === 'unknownBudget'
  return isAnswered && now.mono - entry.shortageAt >= SHORTAGE_MAX_AGE_MS
}

/** The shortage recorded after the request arrived or shortly before; a top-up may have followed an older one. */
function currentShortage (entry: BudgetEntry, item: WaitingRequest, now: Instant): Shortage | undefined {
  const isCurrent = entry.shortageAt >= item.since.mono || !mayRetryTable(entry, now)
  return isCurrent ? entry.shortage : undefined
}

/** Whether neither the table nor other holders can provide the tokens. */
function isExhausted (entry: BudgetEntry, item: WaitingRequest, now: Instant): boolean {
  return entry.grantsShortAt >= item.since.mono && entry.isDrawFutile(now)
}

function isSpent (entry: BudgetEntry, unspent: number, tokens: number): boolean {
  return unspent - (entry.unsettled - entry.flushing) < tokens
}

/** Uses only the monotonic clock: a wall clock set forward must not refuse all waiting requests. */
function waitedMs (item: WaitingRequest, now: Instant): number {
  return now.mono - item.since.mono
}

/** Refusal while tokens are free but not yet usable: the report in flight, or growth of the last bound, allows them later. */
function unreportedFailure (entry: BudgetEntry, item: WaitingRequest, untilUsableMs: number, now: Instant): Failure | undefined {
  const remainingWaitMs = item.giveUpAfterMs * REPORT_WAIT_RATIO - waitedMs(item, now)
  const isFutile = untilUsableMs > remainingWaitMs && isExhausted(entry, item, now)
  if (remainingWaitMs > 0 && !isFutile) return undefined
  const retryAfterMs = Math.min(Math.ceil(untilUsableMs), MAX_REPORT_RETRY_MS)
  return new Failure('budgetUnreported', `${item.tokens} of ${entry.free} free tokens of ${entry.budget} may not be used before their use is reported to the table`, { ran: 'no', retryAfterMs })
}

function timeoutFailure (entry: BudgetEntry, item: WaitingRequest, { otherVmRetryMs }: RefusalTimes, now: Instant): Failure {
  const otherVmMs = isExhausted(entry, item, now) ? undefined : otherVmRetryMs
  if (entry.shortage?.kind === 'short' && entry.unreachable > 0) {
    return new Failure('budgetElsewhere', `${entry.unreachable} tokens of ${entry.budget} are allotted to unreachable VMs`, { ran: 'no', retryAfterMs: otherVmMs ?? UNREACHABLE_RETRY_MS })
  }
  const retryAfterMs = otherVmMs ?? Math.max(MIN_PENDING_RETRY_MS, entry.nextRoundAt - now.mono)
  return new Failure('budgetPending', `tokens of ${entry.budget} could not be acquired in time`, { ran: 'no', retryAfterMs })
}
