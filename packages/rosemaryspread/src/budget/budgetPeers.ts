/**
 * What the budget driver asks of other VMs, and how their answers look. The daemon binds it to
 * the peer protocol; `BudgetDriver` has the methods that serve the asks.
 */
import * as z from 'zod'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { transferSchema } from '@rosemaryspread/decisions/budget/budgetTypes.js'

const amount = z.number().int().nonnegative()

/** Ask for a transfer; the same `transferId` again gets the same answer. */
export const giveAskSchema = z.object({
  transferId: z.string(),
  budget: z.string(),
  to: z.string(),
  domain: z.string(),
  wanted: amount,
  atLeast: amount,
  /** Asks only what became of an earlier ask; nothing new is given. */
  isRepeat: z.boolean().optional()
})
export type GiveAsk = z.infer<typeof giveAskSchema>

/** Answer to a {@link GiveAsk}; no transfer when nothing can be given. */
export const giveAnswerSchema = z.object({ transfer: transferSchema.optional() })
export type GiveAnswer = z.infer<typeof giveAnswerSchema>

/** Ask to return tokens to the table. */
export const recallAskSchema = z.object({ budget: z.string(), wanted: amount, atLeast: amount })
export type RecallAsk = z.infer<typeof recallAskSchema>

/** Answer to a {@link RecallAsk}, sent when the returned tokens are durable. */
export const recallAnswerSchema = z.object({ returned: amount })
export type RecallAnswer = z.infer<typeof recallAnswerSchema>

/** Ask to confirm that no transfer from or to an ended holder is unrecorded. */
export const confirmAskSchema = z.object({ holder: z.string() })
export type ConfirmAsk = z.infer<typeof confirmAskSchema>

/** Answer to a {@link ConfirmAsk}. */
export const confirmAnswerSchema = z.object({ none: z.boolean() })
export type ConfirmAnswer = z.infer<typeof confirmAnswerSchema>

/** Another VM by its present holder id. */
export interface BudgetMember {
  readonly holder: string
  readonly domain: string
}

/** Other VMs. Each call has a timeout of its own; `peerUnreachable` leaves open whether it was served. */
export interface BudgetPeers {
  /** Whether holders never give each other tokens, so that recovery need not rule out unrecorded transfers. */
  readonly transfersNothing?: true
  /** All other live or leaving VMs by membership. */
  members (): readonly BudgetMember[]
  give (holder: string, ask: GiveAsk): Promise<Either<Failure, GiveAnswer>>
  recall (holder: string, ask: RecallAsk): Promise<Either<Failure, RecallAnswer>>
  confirmNoTransfers (holder: string, ask: ConfirmAsk): Promise<Either<Failure, ConfirmAnswer>>
}
