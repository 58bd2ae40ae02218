/**
 * Interface between the admin API and the rest of the VM, implemented by the daemon, and the
 * message schemas shared by the API and `rosemaryspreadctl`.
 */
import * as z from 'zod'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Body of `POST /admin/v1/config/patches`. */
export const patchRequestSchema = z.strictObject({
  base: z.number().int().nonnegative(),
  patchId: z.string().min(1).max(128),
  author: z.string().min(1).max(128),
  dryRun: z.boolean().default(false),
  /** RFC 6902 operations. */
  patch: z.array(z.record(z.string(), z.unknown())).min(1).max(1000)
})
export type PatchRequest = z.infer<typeof patchRequestSchema>

/** Response to an accepted patch. */
export const patchAnswerSchema = z.object({ version: z.number().int(), repeated: z.boolean(), dryRun: z.boolean() })
export type PatchAnswer = z.infer<typeof patchAnswerSchema>

/** Configuration in force or at a requested version. */
export const configAnswerSchema = z.object({ version: z.number().int(), config: z.unknown() })
export type ConfigAnswer = z.infer<typeof configAnswerSchema>

export const historyEntrySchema = z.object({
  version: z.number().int(),
  patchId: z.string(),
  author: z.string(),
  at: z.number(),
  patch: z.array(z.unknown())
})
export type HistoryEntry = z.infer<typeof historyEntrySchema>

const MAX_TOP_UP_TOKENS = 1_000_000_000_000

/** Body of `POST /admin/v1/budgets/:budget/topups`. */
export const topUpRequestSchema = z.strictObject({
  operationId: z.string().min(1).max(128),
  /** Tokens added; a negative number lowers the budget. */
  tokens: z.number().int().min(-MAX_TOP_UP_TOKENS).max(MAX_TOP_UP_TOKENS).refine(tokens => tokens !== 0, 'use a number other than 0'),
  author: z.string().min(1).max(128)
})
export type TopUpRequest = z.infer<typeof topUpRequestSchema>

/** Balance of a budget; all amounts in tokens. */
export const budgetAnswerSchema = z.object({
  budget: z.string(),
  paid: z.number(),
  spent: z.number(),
  allotted: z.number(),
  inDoubt: z.number(),
  holders: z.array(z.object({ holder: z.string(), held: z.number(), ageMs: z.number(), state: z.string() }))
})
export type BudgetAnswer = z.infer<typeof budgetAnswerSchema>

export const vmAnswerSchema = z.object({
  vm: z.string(),
  domain: z.string(),
  address: z.string(),
  state: z.string(),
  configVersion: z.number().int().nullable(),
  ageMs: z.number()
})
export type VmAnswer = z.infer<typeof vmAnswerSchema>

export const runnerAnswerSchema = z.object({
  runner: z.string(),
  kind: z.enum(['model', 'application']),
  domain: z.string(),
  address: z.string(),
  /** State as seen by the responding VM: active, leaving, ejected or notLoaded. */
  state: z.string(),
  /** Reason for the state; absent when the responding VM has not observed the runner. */
  reason: z.string().optional(),
  inFlight: z.number().int(),
  /** Age of the last load report in milliseconds; absent when the VM has none. */
  reportAgeMs: z.number().optional()
})
export type RunnerAnswer = z.infer<typeof runnerAnswerSchema>

export interface OperatorIdentity {
  readonly operator: string
  readonly role: 'admin' | 'viewer'
}

/** Operations behind the admin API. */
export interface AdminService {
  authenticate (bearer: string): Either<Failure, OperatorIdentity>
  config (version?: number): Promise<Either<Failure, ConfigAnswer>>
  patch (req: PatchRequest): Promise<Either<Failure, PatchAnswer>>
  history (limit: number): Promise<Either<Failure, readonly HistoryEntry[]>>
  topUp (budget: string, req: TopUpRequest): Promise<Either<Failure, BudgetAnswer>>
  budget (budget: string): Promise<Either<Failure, BudgetAnswer>>
  vms (): Promise<Either<Failure, readonly VmAnswer[]>>
  runners (): Promise<Either<Failure, readonly RunnerAnswer[]>>
  addresses (): { readonly addresses: readonly string[], readonly keepMs: number }
}
