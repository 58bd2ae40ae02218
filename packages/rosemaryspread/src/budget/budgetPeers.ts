/**
 * Requests between budget holders, and the schemas of their messages. `BudgetPeerCalls` binds them to the peer protocol;
 * `BudgetDriver` has the methods that handle them.
 */
import * as z from 'zod'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { transferSchema } from '@rosemaryspread/decisions/budget/budgetTypes.js'

const amount = z.number().int().nonnegative()

/** Request for a transfer; repeats with the same `transferId` get the same answer. */
export const giveAskSchema = z.object({
  transferId: z.string(),
  budget: z.string(),
  to: z.string(),
  domain: z.string(),
  wanted: amount,
  atLeast: amount,
  /** Queries only the outcome of an earlier request; nothing new is granted. */
  isRepeat: z.boolean().optional()
})
export type GiveAsk = z.infer<typeof giveAskSchema>

/** Response to a {@link TransferRequest}; without a transfer when nothing can be granted. */
export const giveAnswerSchema = z.object({ transfer: transferSchema.optional() })
export type GiveAnswer = z.infer<typeof giveAnswerSchema>

/** Request to return tokens to the table. */
export const recallAskSchema = z.object({ budget: z.string(), wanted: amount, atLeast: amount })
export type RecallAsk = z.infer<typeof recallAskSchema>

/** Response to a {@link RecallRequest}, sent when the returned tokens are durable. */
export const recallAnswerSchema = z.object({ returned: amount })
export type RecallAnswer = z.infer<typeof recallAnswerSchema>

/** Request to confirm that no transfer from or to a terminated holder is unrecorded. */
export const confirmAskSchema = z.object({ holder: z.string() })
export type ConfirmAsk = z.infer<typeof confirmAskSchema>

/** Response to a {@link ConfirmRequest}. */
export const confirmAnswerSchema = z.object({ none: z.boolean() })
export type ConfirmAnswer = z.infer<typeof confirmAnswerSchema>

/** Another VM by its current holder id. */
export interface BudgetMember {
  readonly holder: string
  readonly domain: string
}

/** Other VMs. Each call has its own timeout; `peerUnreachable` leaves open whether the request was handled. */
export interface BudgetPeers {
  /** Whether holders never transfer tokens to each other, so that recovery need not rule out unrecorded transfers. */
  readonly transfersNothing?: true
  /** All other VMs that are live or leaving according to membership. */
  members (): readonly BudgetMember[]
  give (holder: string, ask: GiveAsk): Promise<Either<Failure, GiveAnswer>>
  recall (holder: string, ask: RecallAsk): Promise<Either<Failure, RecallAnswer>>
  confirmNoTransfers (holder: string, ask: ConfirmAsk): Promise<Either<Failure, ConfirmAnswer>>
}
