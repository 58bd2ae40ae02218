/**
 * Budgets as the deciders see them: events in, actions out. A budget is prepaid in tokens; the
 * table keeps, for each budget, what was paid, spent and allotted to holders, and every
 * transaction keeps `spent + allotted <= paid`. A holder spends only from its allotment.
 */
import * as z from 'zod'
import type { Instant } from '../clock/clockTypes.js'
import type { Failure } from '../codes/failure.js'
import type { ReportAllowance } from './reportBound.js'

/** What a configuration says was paid for a budget in all. */
export const declaredPaidSchema = z.object({
  tokens: z.number().int().nonnegative(),
  /** Version of the configuration; a lower one never replaces a higher. */
  version: z.number().int().nonnegative()
})
export type DeclaredPaid = z.infer<typeof declaredPaidSchema>

/** Row `budgets/<budget>`. All amounts in tokens. */
export const budgetRowSchema = z.object({
  budget: z.string(),
  paid: z.number().int().nonnegative(),
  /**
   * Present where a configuration declares what was paid. While it is below what is spent and
   * allotted, `paid` stays at that sum, and every token that comes back lowers it.
   */
  declared: declaredPaidSchema.optional(),
  spent: z.number().int().nonnegative(),
  /** Sum of `held + settled` over all allotment rows of the budget, open or in doubt. */
  allotted: z.number().int().nonnegative()
})
export type BudgetRow = z.infer<typeof budgetRowSchema>

/** What a holder told of how much it may use without telling; see reportBound. */
export const reportSchema = z.object({
  tokens: z.number().nonnegative(),
  perMs: z.number().nonnegative(),
  /** Milliseconds of the table's clock, not after the report was made. */
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
   * Tokens billed in segments and not yet moved to `spent` of the budget row. A flush writes only
   * rows of its own holder, so holders of one budget do not contend; a draw or return moves it.
   */
  settled: z.number().int().nonnegative().default(0),
  /** The last draw that took effect, so that a draw whose answer was lost counts once. */
  lastDraw: z.object({ drawId: z.string(), tokens: z.number().int().nonnegative() }).optional(),
  /** Present where holders bound what they use without telling. */
  report: reportSchema.optional(),
  /** Highest segment that touched this row. */
  lastSeq: z.number().int().optional(),
  /** `closed` once recovered: the holder may neither spend nor settle any more. */
  state: z.enum(['open', 'closed'])
})
export type AllotmentRow = z.infer<typeof allotmentRowSchema>

/** Row `holders/<domain>/<holder>`: written once, before the holder takes a transfer. */
export const holderRowSchema = z.object({ holder: z.string(), domain: z.string() })

/** Row `places/<holder>`: a name of the addresses on which the process listens, on this very system. */
export const placeRowSchema = z.object({
  holder: z.string(),
  place: z.string(),
  /** Milliseconds of the table's clock at which the process had certainly begun; absent where it does not know. */
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

/** One bill: what one request cost one budget. */
export const billSchema = z.object({
  requestId: z.string(),
  budget: z.string(),
  team: z.string(),
  tokens: z.number().int().nonnegative(),
  runner: z.string()
})
export type Bill = z.infer<typeof billSchema>

/** Row `segments/<holder>/<seq>`: bills made durable together, in the transaction that settles them. */
export const segmentRowSchema = z.object({
  holder: z.string(),
  seq: z.number().int().nonnegative(),
  bills: z.array(billSchema)
})
export type SegmentRow = z.infer<typeof segmentRowSchema>

/** Tokens that move between two holders of one domain without the table. */
export const transferSchema = z.object({
  transferId: z.string(),
  budget: z.string(),
  from: z.string(),
  to: z.string(),
  tokens: z.number().int().positive(),
  /** Milliseconds for which the receiver may spend before the transfer is recorded, counted from its ask. */
  validForMs: z.number().nonnegative().optional()
})
export type Transfer = z.infer<typeof transferSchema>

/** What the ledger is told. */
export type BudgetEvent =
  /** A request asks for its worst case; answered by `admit` or `refuse` with the same id, at once or after later events. */
  | { readonly kind: 'reserve', readonly reservationId: string, readonly budget: string, readonly tokens: number, readonly giveUpAfterMs?: number }
  /** A run ended: the reservation is closed, `bill` says what it cost; no bill when nothing is owed. */
  | { readonly kind: 'settle', readonly reservationId: string, readonly bill?: Bill }
  /** The caller gave up while the reservation waited. */
  | { readonly kind: 'withdraw', readonly reservationId: string }
  | { readonly kind: 'tick' }
  /** Requests for this budget may come at any time: an equal part is held ahead of them. */
  | { readonly kind: 'prepare', readonly budget: string }
  /** Another holder began: it needs its part of what this one holds of the budgets that it owns. */
  | { readonly kind: 'holderJoined', readonly holder: string }
  | { readonly kind: 'drawAnswered', readonly drawId: string, readonly outcome: DrawOutcome }
  | { readonly kind: 'flushAnswered', readonly seq: number, readonly outcome: FlushOutcome }
  | { readonly kind: 'giveAsked', readonly transferId: string, readonly budget: string, readonly to: string, readonly wanted: number, readonly atLeast?: number, readonly sameDomain: boolean, readonly isRepeat?: boolean }
  | { readonly kind: 'giveAnswered', readonly transferId: string, readonly transfer?: Transfer, readonly askedAt?: Instant }
  | { readonly kind: 'recallAsked', readonly budget: string, readonly wanted: number, readonly atLeast?: number }
  | { readonly kind: 'recallAnswered', readonly recallId: string, readonly returned: number, readonly unreachable?: number }
  /** Another holder asks for a gift; answered by `gift` with the same id, at once. */
  | { readonly kind: 'giftAsked', readonly giftId: string, readonly budget: string, readonly tokens: number, readonly to: string }
  /** The other holders were asked; `tokens` is what all of them gave, `isReached` whether any of them answered. */
  | { readonly kind: 'giftAnswered', readonly giftId: string, readonly budget: string, readonly tokens: number, readonly isReached: boolean }
  /** A holder that ends left tokens to this one. */
  | { readonly kind: 'handedOver', readonly budget: string, readonly tokens: number }
  /** A holder ended: no transfer from or to it may begin, and late answers of it are void. */
  | { readonly kind: 'fence', readonly holder: string }
  /** What was paid for a budget changed: what was learned of a shortage is void, and when it was lowered, free tokens go back. */
  | { readonly kind: 'paidChanged', readonly budget: string, readonly isLowered: boolean }
  | { readonly kind: 'drain' }

/** What a draw tells of the spending of all holders. */
export interface FleetSpending {
  /** Tokens paid in all. */
  readonly paid: number
  /** Tokens billed in all. */
  readonly spent: number
  readonly holders: number
}

/** How a draw ended. `granted` tokens are durable in the table for this holder. */
export type DrawOutcome =
  | { readonly kind: 'granted', readonly tokens: number, readonly left: number, readonly sentAt: Instant, readonly fleet?: FleetSpending }
  /** The table was reached but nothing, or less than a useful amount, is left unallotted. `elsewhere` is held by others, `unspent` is `paid` less all that is billed. */
  | { readonly kind: 'short', readonly left: number, readonly elsewhere: number, readonly unspent?: number, readonly sentAt: Instant }
  /** The allotment row was closed by a recovery; nothing was drawn. */
  | { readonly kind: 'closed' }
  | { readonly kind: 'unknownBudget' }
  | { readonly kind: 'unavailable' }

/** How a flush ended; `closed` names budgets whose allotment was recovered by others meanwhile, and transfers that can no longer be recorded; nothing of the flush was written. */
export type FlushOutcome =
  | { readonly kind: 'durable', readonly sentAt: Instant }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'closed', readonly budgets: readonly string[], readonly lostTransfers?: readonly string[] }

/** What the shell has to do. */
export type BudgetAction =
  | { readonly kind: 'admit', readonly reservationId: string }
  | { readonly kind: 'refuse', readonly reservationId: string, readonly failure: Failure }
  /** Allot up to `tokens` more, `atLeast` if possible; less than `least` is of no use. */
  | { readonly kind: 'draw', readonly drawId: string, readonly budget: string, readonly tokens: number, readonly atLeast: number, readonly least?: number, readonly isForEvenPart?: boolean, readonly reopen?: boolean, readonly expectsRow?: boolean, readonly report?: ReportAllowance }
  /** One transaction: the segment row if absent, settlement of every bill, tokens given back (0 only renews the row), transfers recorded. */
  | { readonly kind: 'flush', readonly seq: number, readonly bills: readonly Bill[], readonly returns: readonly BudgetReturn[], readonly transfers: readonly Transfer[], readonly reports?: readonly BudgetReport[] }
  /** Ask the holders of the own domain for a transfer. */
  | { readonly kind: 'askGive', readonly transferId: string, readonly budget: string, readonly tokens: number, readonly atLeast: number }
  /** Answer a `giveAsked`: the tokens are subtracted already; no transfer means nothing can be given. */
  | { readonly kind: 'give', readonly transferId: string, readonly transfer?: Transfer }
  /** Ask other holders for tokens to use at once, without the table. */
  | { readonly kind: 'askGift', readonly giftId: string, readonly budget: string, readonly tokens: number }
  /** Answer to a `giftAsked`: so many tokens, billed here already, belong to the asker; `left` is what could be given besides. */
  | { readonly kind: 'gift', readonly giftId: string, readonly tokens: number, readonly left: number }
  /** Tokens that this holder leaves to another one, billed here already: it ends, and the table cannot take them back. */
  | { readonly kind: 'handOver', readonly budget: string, readonly tokens: number }
  /** Ask holders everywhere to return what they do not need. */
  | { readonly kind: 'recall', readonly recallId: string, readonly budget: string, readonly tokens: number, readonly atLeast: number }
  /** Answer to a `recallAsked`: so much is on its way to the table. */
  | { readonly kind: 'returning', readonly budget: string, readonly tokens: number }
  /** The allotment of this holder was closed; `inDoubt` tokens were billed here but are accounted for by the recovery. */
  | { readonly kind: 'closed', readonly budget: string, readonly inDoubt: number }

/** What a flush allows a holder to use of a budget until the next one. */
export interface BudgetReport extends ReportAllowance {
  readonly budget: string
}

/** Tokens that go back to the table unspent. */
export interface BudgetReturn {
  readonly budget: string
  readonly tokens: number
}

/** One budget as a holder sees it, for operators and metrics. */
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
   * Takes one event.
   * @param event - what happened
   * @param now - both clocks, read when it happened
   */
  handle (event: BudgetEvent, now: Instant): readonly BudgetAction[]
  views (): readonly BudgetView[]
}
