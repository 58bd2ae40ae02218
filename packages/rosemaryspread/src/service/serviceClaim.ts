/**
 * Claims of calls that must not be repeated: one row per request id, inserted into the table before the
 * call is dispatched. Whoever finds an existing row does not dispatch.
 */
import * as z from 'zod'
import { Left, Right, type Either } from 'purify-ts'
import { Failure, failureOf, mayHaveRun } from '@rosemaryspread/decisions/codes/failure.js'
import type { Row, TableStore } from '@rosemaryspread/infra/table/tableTypes.js'

const CLAIMS_TABLE = 'claims'
/** Largest answer that is stored for repeats. */
const MAX_STORED_ANSWER_BYTES = 65_536
/** Retry-After while the table is unreachable. */
const TABLE_RETRY_MS = 2_000

/** Row `claims/<requestId>`. */
export const claimRowSchema = z.object({
  requestId: z.string(),
  team: z.string(),
  service: z.string(),
  digest: z.string(),
  holder: z.string(),
  /** Distinguishes two claims of one holder. */
  nonce: z.string(),
  /** `abandoned`: certainly not dispatched; the request may be claimed again. */
  state: z.enum(['claimed', 'done', 'abandoned']),
  answer: z.object({ status: z.number(), contentType: z.string(), body: z.string() }).optional()
})
export type ClaimRow = z.infer<typeof claimRowSchema>

/** A claim of this process, with the version of its row. */
export interface AcquiredClaim {
  readonly row: ClaimRow
  readonly version: number
}

export type ClaimOutcome =
  | { readonly kind: 'held', readonly claim: AcquiredClaim }
  | { readonly kind: 'found', readonly row: ClaimRow }

/** Claims in the table service. */
export class ClaimStore {
  constructor (private readonly table: TableStore) {}

  /**
   * Claims a request unless it is claimed already.
   * @param newRow - the row to insert
   */
  async claim (newRow: ClaimRow): Promise<Either<Failure, ClaimOutcome>> {
    const first = await this.write(newRow, null)
    if (failureOf(first)?.code !== 'platformConflict') return first.map(version => acquired(newRow, version))
    return (await this.claimAfterConflict(newRow)).mapLeft(failure => failure.code === 'keyReused' ? failure : mayHaveRun(failure))
  }

  /** The row exists, so an earlier attempt may have run the request. */
  private async claimAfterConflict (newRow: ClaimRow): Promise<Either<Failure, ClaimOutcome>> {
    const found = await this.read(newRow.requestId)
    if (found.isLeft()) return Left(notClaimed('the claim could not be read'))
    const row = found.unsafeCoerce()
    if (row === undefined) return Left(notClaimed('the claim changed while it was read'))
    return await this.claimExisting(newRow, row)
  }

  /**
   * Finds a claim that this process may have written.
   * @param row - the row as sent
   */
  async find (row: ClaimRow): Promise<Either<Failure, AcquiredClaim | undefined>> {
    const found = await this.read(row.requestId)
    return found.map(stored => {
      const parsed = claimRowSchema.safeParse(stored?.value)
      const isOurs = parsed.success && parsed.data.nonce === row.nonce && parsed.data.state === 'claimed'
      return isOurs && stored !== undefined ? { row, version: stored.version } : undefined
    })
  }

  /** Marks a claim as certainly not dispatched. */
  async abandon (claim: AcquiredClaim): Promise<Either<Failure, number>> {
    return await this.write({ ...claim.row, state: 'abandoned' }, claim.version)
  }

  /** Stores the answer of a claim for repeats; a body over the limit is not stored. */
  async finish (claim: AcquiredClaim, answer: { status: number, contentType: string, body: Buffer }): Promise<Either<Failure, number>> {
    const storedAnswer = answer.body.byteLength <= MAX_STORED_ANSWER_BYTES
      ? { answer: { ...answer, body: answer.body.toString('base64') } }
      : {}
    return await this.write({ ...claim.row, state: 'done', ...storedAnswer }, claim.version)
  }

  private async claimExisting (newRow: ClaimRow, row: Row): Promise<Either<Failure, ClaimOutcome>> {
    const parsed = claimRowSchema.safeParse(row.value)
    if (!parsed.success) return Left(notClaimed('the claim row is malformed'))
    if (parsed.data.digest !== newRow.digest) return Left(new Failure('keyReused', 'the Idempotency-Key was used with another body', { ran: 'no' }))
    if (parsed.data.nonce === newRow.nonce) return Right(acquired(newRow, row.version))
    if (parsed.data.state !== 'abandoned') return Right({ kind: 'found', row: parsed.data })
    const rewritten = await this.write(newRow, row.version)
    return rewritten.map(version => acquired(newRow, version)).mapLeft(() => notClaimed('another attempt claimed the request'))
  }

  /** Writes the row. An unknown outcome is resolved by reading it back, and is reported as `notClaimed` if that fails too. */
  private async write (row: ClaimRow, expected: number | null): Promise<Either<Failure, number>> {
    const key = { table: CLAIMS_TABLE, key: row.requestId }
    const answer = await this.table.transact({ checks: [{ ...key, version: expected }], writes: [{ ...key, value: row }] })
    const failure = failureOf(answer)
    if (failure === undefined) return answer.map(({ version }) => version)
    if (failure.code === 'platformConflict') return Left(failure)
    if (failure.code !== 'platformOutcomeUnknown') return Left(notClaimed(failure.message))
    return await this.readBack(row)
  }

  private async readBack (row: ClaimRow): Promise<Either<Failure, number>> {
    const found = await this.read(row.requestId)
    return found
      .mapLeft(() => notClaimed('the outcome of the claim is unknown'))
      .chain(stored => {
        const parsed = claimRowSchema.safeParse(stored?.value)
        const isOurs = parsed.success && parsed.data.nonce === row.nonce && parsed.data.state === row.state
        if (isOurs && stored !== undefined) return Right(stored.version)
        return Left(stored === undefined ? notClaimed('the claim was not written') : new Failure('platformConflict', 'another attempt claimed the request', { ran: 'no' }))
      })
  }

  private async read (requestId: string): Promise<Either<Failure, Row | undefined>> {
    const answer = await this.table.read([{ table: CLAIMS_TABLE, key: requestId }])
    return answer.map(({ rows }) => rows[0] ?? undefined)
  }
}

function acquired (row: ClaimRow, version: number): ClaimOutcome {
  return { kind: 'held', claim: { row, version } }
}

function notClaimed (detail: string): Failure {
  return new Failure('notClaimed', detail, { ran: 'no', retryAfterMs: TABLE_RETRY_MS })
}
