/**
 * Interface of the platform's transactional table service. Rows are JSON values with a version
 * that never repeats, so a recreated row differs from the deleted one. Transactions are atomic.
 */
import * as z from 'zod'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

export const rowKeySchema = z.strictObject({ table: z.string().min(1), key: z.string().min(1) })
export type RowKey = z.infer<typeof rowKeySchema>

/** Precondition on a row: its version, or `null` if it must not exist. */
export const rowCheckSchema = rowKeySchema.extend({ version: z.number().int().nullable() })
export type RowCheck = z.infer<typeof rowCheckSchema>

/** New value of a row; `null` deletes the row. */
export const rowWriteSchema = rowKeySchema.extend({ value: z.unknown() })
export type RowWrite = z.infer<typeof rowWriteSchema>

/** The writes take effect together if all checks hold. */
export const transactionSchema = z.strictObject({
  checks: z.array(rowCheckSchema).max(500),
  writes: z.array(rowWriteSchema).max(500)
})
export type Transaction = z.infer<typeof transactionSchema>

export const rowSchema = z.object({
  table: z.string(),
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
  /** Wall-clock milliseconds of the table service at the last write. */
  updatedAt: z.number()
})
export type Row = z.infer<typeof rowSchema>

/** Response of a read: rows in the order of the keys, `null` for a missing row, and the service's clock. */
export const readAnswerSchema = z.object({ rows: z.array(rowSchema.nullable()), now: z.number() })
export type ReadAnswer = z.infer<typeof readAnswerSchema>

/** Response of a scan, ordered by key; `next` is the key to continue after, absent at the end. */
export const scanAnswerSchema = z.object({ rows: z.array(rowSchema), next: z.string().optional(), now: z.number() })
export type ScanAnswer = z.infer<typeof scanAnswerSchema>

/** Response of a committed transaction. */
export const transactAnswerSchema = z.object({ version: z.number().int(), now: z.number() })
export type TransactAnswer = z.infer<typeof transactAnswerSchema>

export interface ScanRequest {
  readonly table: string
  readonly prefix: string
  /** Returns only keys after this one. */
  readonly after?: string
  readonly limit: number
}

/**
 * Failures: `platformConflict` (a check failed, nothing was written), `platformUnavailable`
 * (nothing was written), `platformOutcomeUnknown` (the response was lost; the write may have taken
 * effect and must be read back).
 */
export interface TableStore {
  read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>>
  scan (req: ScanRequest): Promise<Either<Failure, ScanAnswer>>
  transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>>
}
