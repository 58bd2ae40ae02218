/**
 * Schemas of the budget rows and the events and actions of the budget decider. A budget is prepaid in tokens; the table stores
 * what was paid, spent and allotted to holders, and every transaction preserves `spent + allotted <= paid`. A holder spends
 * only from its allotment.
 */
import * as z from 'zod'
import type { Instant } from '../clock/clockTypes.js'
import type { Failure } from '../codes/failure.js'
import type { ReportAllowance } from './reportBound.js'

/** Total paid for a budget according to a configuration. */
export const declaredPaidSchema = z.object({
  tokens: z.number().int().nonnegative(),
  /** Configuration version; a lower version never replaces a higher one. */
  version: z.number().int().nonnegative()
})
export type DeclaredPaid = z.infer<typeof declaredPaidSchema>

/** Row `budgets/<budget>`. All amounts in tokens. */
export const budgetRowSchema = z.object({
  budget: z.string(),
  paid: z.number().int().nonnegative(),
  /**
   * Set if a configuration declares the paid amount. While it is below `spent + allotted`, `paid` equals that sum and
   * decreases with every returned token.
   */
  declared: declaredPaidSchema.optional(),
  spent: z.number().int().nonnegative(),
  /** Sum of `held + settled` over all allotment rows of the budget, open or in doubt. */
  allotted: z.number().int().nonnegative()
})
export type BudgetRow = z.infer<typeof budgetRowSchema>

/** How many tokens a holder may use before its next report; see reportBound. */
export const reportSchema = z.object({
  tokens: z.number().nonnegative(),
  perMs: z.number().nonnegative(),
  /** Table clock in milliseconds, not later than the report. */
  since: z.number()
})
export type ReportRow = z.infer<typeof reportSchema>

/** Row `allotments/<budget>/<holder>`. */
export const allotmentRowSchema = z.object({
  budget: z.string(),
  holder: z.string(),
  domain: z.string(),
  /** Tokens allotted and not yet settled or returned. */
  held: z.number().int().nonnegative(),
  /**
   * Tokens billed in segments and not yet added to `spent` of the budget row. A flush writes only rows of its holder, so
   * holders of one budget do not contend; the next draw or return adds them.
   */
  settled: z.number().int().nonnegative().default(0),
  /** Last draw that took effect; makes a retried draw idempotent. */
  lastDraw: z.object({ drawId: z.string(), tokens: z.number().int().nonnegative() }).optional(),
  /** Set if holders bound their unreported use. */
  report: reportSchema.optional(),
  /** Highest segment number that wrote this row. */
  lastSeq: z.number().int().optional(),
  /** `closed` after recovery: the holder may neither spend nor settle. */
  state: z.enum(['open', 'closed'])
})
export type AllotmentRow = z.infer<typeof allotmentRowSchema>

/** Row `holders/<domain>/<holder>`: written once, before the holder accepts a transfer. */
export const holderRowSchema = z.object({ holder: z.string(), domain: z.string() })

/** Row `places/<holder>`: identifies the addresses on which the process listens and the operating system instance. */
export const placeRowSchema = z.object({
  holder: z.string(),
  place: z.string(),
  /** Table clock in milliseconds at which the process had certainly started; absent if unknown. */
  begunBy: z.number().optional()
})

/** Row `holdings/<holder>/<budget>`: index of the allotments of a holder. */
export const holdingRowSchema = z.object({ holder: z.string(), budget: z.string() })

/** Row `topups/<operationId>`. */
export const topUpRowSchema = z.object({
  operationId: z.string(),
  budget: z.string(),
  /** Positive for a top-up, negative for an adjustment that lowers the budget. */
  tokens: z.number().int(),
  author: z.string()
})
export type TopUpRow = z.infer<typeof topUpRowSchema>

/** Cost of one request, billed to one budget. */
export const billSchema = z.object({
  requestId: z.string(),
  budget: z.string(),
  team: z.string(),
  tokens: z.number().int().nonnegative(),
  runner: z.string()
})
export type Bill = z.infer<typeof billSchema>

/** Row `segments/<holder>/<seq>`: bills written in one transaction together with their settlement. */
export const segmentRowSchema = z.object({
  holder: z.string(),
  seq: z.number().int().nonnegative(),
  bills: z.array(billSchema)
})
export type SegmentRow = z.infer<typeof segmentRowSchema>

/** Tokens moved directly between two holders of one domain; recorded in the table later. */
export const transferSchema = z.object({
  transferId: z.string(),
  budget: z.string(),
  from: z.string(),
  to: z.string(),
  tokens: z.number().int().positive(),
  /** Milliseconds, from its request, for which the receiver may spend before the transfer is recorded. */
  validForMs: z.number().nonnegative().optional()
})
export type Transfer = z.infer<typeof transferSchema>

/** Input of the budget decider. */
export type BudgetEvent =
  /** Reserves the worst-case cost of a request; answered by `admit` or `refuse` with the same id, possibly after later events. `priority` 0 is the most urgent. */
  | { readonly kind: 'reserve', readonly reservationId: string, readonly budget: string, readonly tokens: number, readonly giveUpAfterMs?: number, readonly priority?: number }
  /** A run ended; closes the reservation. No `bill` if nothing is owed. */
  | { readonly kind: 'settle', readonly reservationId: string, readonly bill?: Bill }
  /** The caller cancelled a waiting reservation. */
  | { readonly kind: 'withdraw', readonly reservationId: string }
  | { readonly kind: 'tick' }
  /** Requests for this budget may arrive at any time; a fair share is drawn ahead of them. */
  | { readonly kind: 'prepare', readonly budget: string }
  /** Another holder started and needs its share of the budgets that it owns. */
  | { readonly kind: 'holderJoined', readonly holder: string }
  | { readonly kind: 'drawAnswered', readonly drawId: string, readonly outcome: DrawOutcome }
  | { readonly kind: 'flushAnswered', readonly seq: number, readonly outcome: FlushOutcome }
  | { readonly kind: 'transferRequested', readonly transferId: string, readonly budget: string, readonly to: string, readonly wanted: number, readonly atLeast?: number, readonly sameDomain: boolean, readonly isRepeat?: boolean }
  | { readonly kind: 'transferAnswered', readonly transferId: string, readonly transfer?: Transfer, readonly requestedAt?: Instant }
  | { readonly kind: 'recallRequested', readonly budget: string, readonly wanted: number, readonly atLeast?: number }
  | { readonly kind: 'recallAnswered', readonly recallId: string, readonly returned: number, readonly unreachable?: number }
  /** Another holder requests a grant; answered immediately by `answerGrant` with the same id. */
  | { readonly kind: 'grantRequested', readonly giftId: string, readonly budget: string, readonly tokens: number, readonly to: string, readonly priority?: number }
  /** Result of a grant request: `tokens` is the total granted, `isReached` whether any peer answered. */
  | { readonly kind: 'grantAnswered', readonly giftId: string, readonly budget: string, readonly tokens: number, readonly isReached: boolean }
  /** Another holder handed tokens over to this one: it terminates, or does not use them. */
  | { readonly kind: 'handoverReceived', readonly budget: string, readonly tokens: number }
  /** An owner of a budget lacks tokens that grant requests need; answered with `handBack` where this holder can spare some. */
  | { readonly kind: 'ownerShort', readonly budget: string }
  /** A holder terminated: no transfer from or to it may start, and its late answers are void. */
  | { readonly kind: 'fence', readonly holder: string }
  /** The paid amount changed: a recorded shortage is void, and free tokens are returned if the amount was lowered. */
  | { readonly kind: 'paidChanged', readonly budget: string, readonly isLowered: boolean }
  | { readonly kind: 'drain' }

/** Spending of all holders, as returned by a draw. */
export interface FleetSpending {
  /** Total tokens paid. */
  readonly paid: number
  /** Total tokens billed. */
  readonly spent: number
  readonly holders: number
}

/** Outcome of a draw. `granted` tokens are durably allotted to this holder. */
export type DrawOutcome =
  | { readonly kind: 'granted', readonly tokens: number, readonly left: number, readonly sentAt: Instant, readonly fleet?: FleetSpending }
  /** Less than a useful amount is unallotted. `elsewhere` is allotted to other holders, `unspent` is `paid` minus all bills. */
  | { readonly kind: 'short', readonly left: number, readonly elsewhere: number, readonly unspent?: number, readonly sentAt: Instant }
  /** A recovery closed the allotment row; nothing was drawn. */
  | { readonly kind: 'closed' }
  | { readonly kind: 'unknownBudget' }
  | { readonly kind: 'unavailable' }

/** Outcome of a flush. `closed`: nothing was written, because allotments were recovered by others or transfers can no longer be recorded. */
export type FlushOutcome =
  | { readonly kind: 'durable', readonly sentAt: Instant }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'closed', readonly budgets: readonly string[], readonly lostTransfers?: readonly string[] }

/** Output of the budget decider, carried out by the shell. */
export type BudgetAction =
  | { readonly kind: 'admit', readonly reservationId: string }
  | { readonly kind: 'refuse', readonly reservationId: string, readonly failure: Failure }
  /** Allots up to `tokens` more, `atLeast` if possible; less than `minUseful` is not drawn. */
  | { readonly kind: 'draw', readonly drawId: string, readonly budget: string, readonly tokens: number, readonly atLeast: number, readonly minUseful?: number, readonly isFairShareOnly?: boolean, readonly reopen?: boolean, readonly expectsRow?: boolean, readonly report?: ReportAllowance }
  /** One transaction: inserts the segment row if absent, settles every bill, returns tokens (0 only renews the row) and records transfers. */
  | { readonly kind: 'flush', readonly seq: number, readonly bills: readonly Bill[], readonly returns: readonly BudgetReturn[], readonly transfers: readonly Transfer[], readonly reports?: readonly BudgetReport[] }
  /** Requests a transfer from the holders of the local domain. */
  | { readonly kind: 'requestTransfer', readonly transferId: string, readonly budget: string, readonly tokens: number, readonly atLeast: number }
  /** Answers `transferRequested`; the tokens are already subtracted. Without `transfer` nothing is transferred. */
  | { readonly kind: 'answerTransfer', readonly transferId: string, readonly transfer?: Transfer }
  /** Requests tokens from other holders for immediate use, without the table. */
  | { readonly kind: 'requestGrant', readonly giftId: string, readonly budget: string, readonly tokens: number, readonly priority?: number }
  /** Answers `grantRequested`: `tokens`, already billed here, belong to the requester; `left` could be granted in addition. */
  | { readonly kind: 'answerGrant', readonly giftId: string, readonly tokens: number, readonly left: number }
  /** Hands already billed tokens over to another holder on shutdown, when they cannot be returned to the table. */
  | { readonly kind: 'handOver', readonly budget: string, readonly tokens: number }
  /** Hands already billed tokens that are not used here back to owners of their budgets, and asks them which of the allotted ones are short. */
  | { readonly kind: 'handBack', readonly grants: readonly GrantedTokens[] }
  /** Requests that holders in all domains return tokens that they do not need. */
  | { readonly kind: 'recall', readonly recallId: string, readonly budget: string, readonly tokens: number, readonly atLeast: number }
  /** Answers `recallRequested`: `tokens` are being returned to the table. */
  | { readonly kind: 'answerRecall', readonly budget: string, readonly tokens: number }
  /** The allotment of this holder was closed; the recovery accounts for the `inDoubt` tokens billed or reserved here. */
  | { readonly kind: 'closed', readonly budget: string, readonly inDoubt: number }

/** Tokens of a budget that a holder may use until its next flush. */
export interface BudgetReport extends ReportAllowance {
  readonly budget: string
}

/** Granted tokens of one budget, which their granter billed. */
export interface GrantedTokens {
  readonly budget: string
  /** 0 where the owner is only asked about the budget. */
  readonly tokens: number
  /** Whether this holder has an allotment that it does not own; owners answer whether they lack tokens. */
  readonly isAllotted?: true
}

/** Unspent tokens to return to the table. */
export interface BudgetReturn {
  readonly budget: string
  readonly tokens: number
}

/** State of one budget at one holder, for operators and metrics. */
export interface BudgetView {
  readonly budget: string
  readonly held: number
  readonly reserved: number
  readonly unsettled: number
  readonly inDoubt?: number
}

/** Decides admission, refill, transfer, recall and settlement for one holder. */
export interface BudgetDecider {
  /**
   * Handles one event.
   * @param now - both clocks, read when the event occurred
   */
  handle (event: BudgetEvent, now: Instant): readonly BudgetAction[]
  /** State of all budgets at this holder. */
  views (): readonly BudgetView[]
}
