/**
 * The platform's transactional table service as this project uses it. Rows are JSON values with
 * a version that never repeats, so a deleted and recreated row is told from the old one. All
 * writes of a transaction take effect together or not at all.
 */
import * as z from 'zod'
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** Names one row. */
export const rowKeySchema = z.strictObject({ table: z.string().min(1), key: z.string().min(1) })
export type RowKey = z.infer<typeof rowKeySchema>

/** Condition on a row: its version, or `null` when it must not exist. */
export const rowCheckSchema = rowKeySchema.extend({ version: z.number().int().nullable() })
export type RowCheck = z.infer<typeof rowCheckSchema>

/** A new value for a row; `null` deletes it. */
export const rowWriteSchema = rowKeySchema.extend({ value: z.unknown() })
export type RowWrite = z.infer<typeof rowWriteSchema>

/** Checks and writes that take effect together. */
export const transactionSchema = z.strictObject({
  checks: z.array(rowCheckSchema).max(500),
  writes: z.array(rowWriteSchema).max(500)
})
export type Transaction = z.infer<typeof transactionSchema>

/** One row as read. */
export const rowSchema = z.object({
  table: z.string(),
  key: z.string(),
  version: z.number().int(),
  value: z.unknown(),
  /** Wall milliseconds of the table service when the row was last written. */
  updatedAt: z.number()
})
export type Row = z.infer<typeof rowSchema>

/** Answer of a read: rows in the order asked, `null` where there is none, and the service's clock. */
export const readAnswerSchema = z.object({ rows: z.array(rowSchema.nullable()), now: z.number() })
export type ReadAnswer = z.infer<typeof readAnswerSchema>

/** Answer of a scan, ordered by key; `next` is where to go on, absent at the end. */
export const scanAnswerSchema = z.object({ rows: z.array(rowSchema), next: z.string().optional(), now: z.number() })
export type ScanAnswer = z.infer<typeof scanAnswerSchema>

/** Answer of a transaction that took effect. */
export const transactAnswerSchema = z.object({ version: z.number().int(), now: z.number() })
export type TransactAnswer = z.infer<typeof transactAnswerSchema>

/** What a scan asks. */
export interface ScanRequest {
  readonly table: string
  readonly prefix: string
  /** Only keys after this one. */
  readonly after?: string
  readonly limit: number
}

/**
 * The table service. Failures: `platformConflict` (a check failed, nothing was written),
 * `platformUnavailable` (nothing was written), `platformOutcomeUnknown` (the answer was lost;
 * the write may have taken effect and has to be read back).
 */
export interface TableStore {
  read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>>
  scan (req: ScanRequest): Promise<Either<Failure, ScanAnswer>>
  transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>>
}
