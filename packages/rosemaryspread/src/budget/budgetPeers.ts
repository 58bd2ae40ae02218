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
export const transferRequestSchema = z.object({
  transferId: z.string(),
  budget: z.string(),
  to: z.string(),
  domain: z.string(),
  wanted: amount,
  atLeast: amount,
  /** Queries only the outcome of an earlier request; nothing new is granted. */
  isRepeat: z.boolean().optional()
})
export type TransferRequest = z.infer<typeof transferRequestSchema>

/** Response to a {@link TransferRequest}; without a transfer when nothing can be granted. */
export const transferResponseSchema = z.object({ transfer: transferSchema.optional() })
export type TransferResponse = z.infer<typeof transferResponseSchema>

/** Request to return tokens to the table. */
export const recallRequestSchema = z.object({ budget: z.string(), wanted: amount, atLeast: amount })
export type RecallRequest = z.infer<typeof recallRequestSchema>

/** Response to a {@link RecallRequest}, sent when the returned tokens are durable. */
export const recallResponseSchema = z.object({ returned: amount })
export type RecallResponse = z.infer<typeof recallResponseSchema>

/** Request to confirm that no transfer from or to a terminated holder is unrecorded. */
export const confirmRequestSchema = z.object({ holder: z.string() })
export type ConfirmRequest = z.infer<typeof confirmRequestSchema>

/** Response to a {@link ConfirmRequest}. */
export const confirmResponseSchema = z.object({ none: z.boolean() })
export type ConfirmResponse = z.infer<typeof confirmResponseSchema>

/** Another VM by its current holder id. */
export interface BudgetMember {
  readonly holder: string
  readonly domain: string
}

/** Other VMs. Each call has its own timeout; `peerUnreachable` leaves open whether the request was handled. */
export interface BudgetPeers {
  /** Whether holders never transfer tokens to each other, so that recovery need not rule out unrecorded transfers. */
  readonly hasNoTransfers?: true
  /** All other VMs that are live or leaving according to membership. */
  members (): readonly BudgetMember[]
  requestTransfer (holder: string, request: TransferRequest): Promise<Either<Failure, TransferResponse>>
  recall (holder: string, request: RecallRequest): Promise<Either<Failure, RecallResponse>>
  confirmNoTransfers (holder: string, request: ConfirmRequest): Promise<Either<Failure, ConfirmResponse>>
}
