/**
 * Reads configuration versions from the table service. A plain read may come from a lagging replica; {@link
 * ConfirmedTable} is for decisions that must not rest on one.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { CURRENT_KEY, CURRENT_TABLE, currentRowSchema, VERSION_TABLE, versionKey, versionRowSchema, type VersionRef, type VersionRow } from '@rosemaryspread/decisions/config/configRows.js'
import type { ReadAnswer, Row, RowKey, ScanAnswer, ScanRequest, TableStore, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'
import type { z } from 'zod'

/** Version rows per scan. */
const PAGE_ROWS = 32
/** Reads that may fail confirmation before the table counts as unavailable. */
const CONFIRM_ATTEMPTS = 5
/** Pause between attempts, in which a lagging replica can catch up. */
const CONFIRM_PAUSE_MS = 50

/** Key of the row that names the current version. */
export const currentKey: RowKey = { table: CURRENT_TABLE, key: CURRENT_KEY }

/**
 * Validates the value of a row.
 * @returns `configInvalid` when the value does not follow the schema
 */
export function parseRow<T> (schema: z.ZodType<T>, row: Row): Either<Failure, T> {
  const result = schema.safeParse(row.value)
  if (result.success) return Right(result.data)
  const errors = result.error.issues.map(issue => `/${issue.path.join('/')}: ${issue.message}`)
  return Left(new Failure('configInvalid', `row ${row.table}/${row.key} is malformed`, { ran: 'no', errors }))
}

export class ConfigReader {
  /**
   * @param initial - version 0, current while no patch was accepted
   */
  constructor (private readonly table: TableStore, private readonly initial: VersionRef) {}

  /**
   * Reads which version is current.
   * @param table - a {@link ConfirmedTable} where a lagging replica must not answer
   */
  async current (table: TableStore): Promise<Either<Failure, VersionRef>> {
    const answer = await table.read([currentKey])
    return answer.chain(({ rows }) => this.parseCurrentRow(rows[0] ?? null))
  }

  /**
   * Reads the current version together with the row after `version`, if there is one. A VM that is one version
   * behind thus needs a single call.
   * @param version - the version in force
   */
  async poll (version: number): Promise<Either<Failure, { readonly mark: VersionRef, readonly rows: readonly VersionRow[] }>> {
    const answer = await this.table.read([currentKey, { table: VERSION_TABLE, key: versionKey(version + 1) }])
    return answer.chain(({ rows: [current, next] }) => this.parseCurrentRow(current ?? null)
      .chain(mark => parseAll(next == null ? [] : [next]).map(rows => ({ mark, rows }))))
  }

  /** The version that the row `config/current` names; version 0 without a row. */
  parseCurrentRow (row: Row | null): Either<Failure, VersionRef> {
    if (row === null) return Right(this.initial)
    return parseRow(currentRowSchema, row).map(({ version, digest }) => ({ version, digest }))
  }

  /**
   * @returns `notFound` when there is no row of the version
   */
  async row (version: number): Promise<Either<Failure, VersionRow>> {
    const answer = await this.table.read([{ table: VERSION_TABLE, key: versionKey(version) }])
    return answer.chain(({ rows }) => rows[0] == null
      ? Left(new Failure('notFound', `there is no version ${version}`, { ran: 'no' }))
      : parseRow(versionRowSchema, rows[0]))
  }

  /**
   * Version rows in order.
   * @param after - the version before the first
   * @param upTo - the last version
   * @returns all of them; `platformUnavailable` when some cannot be read yet, or the failure of a scan
   */
  async rows (after: number, upTo: number): Promise<Either<Failure, VersionRow[]>> {
    const found: VersionRow[] = []
    let last = after
    while (last < upTo) {
      const limit = Math.min(PAGE_ROWS, upTo - last)
      const page = await this.table.scan({ table: VERSION_TABLE, prefix: '', after: versionKey(last), limit })
      const rows = page.chain(answer => parseAll(answer.rows))
      if (rows.isLeft()) return rows
      const read = rows.unsafeCoerce().filter(row => row.version <= upTo)
      if (read.length === 0) return Left(new Failure('platformUnavailable', `version ${last + 1} cannot be read yet`, { ran: 'no' }))
      found.push(...read)
      last = read.at(-1)?.version ?? upTo
    }
    return Right(found)
  }
}

function parseAll (rows: readonly Row[]): Either<Failure, VersionRow[]> {
  const parsed: VersionRow[] = []
  for (const row of rows) {
    const result = parseRow(versionRowSchema, row)
    if (result.isLeft()) return result
    parsed.push(result.unsafeCoerce())
  }
  return Right(parsed)
}

/**
 * A table whose reads are confirmed by a transaction that only checks the versions of the rows read. Transactions
 * are decided where writes are, so no lagging replica can confirm a read. This costs one more call, which is
 * acceptable for patches.
 */
export class ConfirmedTable implements TableStore {
  constructor (private readonly table: TableStore, private readonly pause: (ms: number) => Promise<void>) {}

  async read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>> {
    for (let attempt = 0; attempt < CONFIRM_ATTEMPTS; attempt++) {
      if (attempt > 0) await this.pause(CONFIRM_PAUSE_MS)
      const answer = await this.table.read(keys)
      if (answer.isLeft()) return answer
      const checks = keys.map((key, index) => ({ ...key, version: answer.unsafeCoerce().rows[index]?.version ?? null }))
      const confirmed = await this.table.transact({ checks, writes: [] })
      if (confirmed.isRight()) return answer
      const failure = confirmed.extract() as Failure
      const isRetryable = failure.code === 'platformConflict' || failure.code === 'platformOutcomeUnknown'
      if (!isRetryable) return Left(new Failure('platformUnavailable', failure.message, { ran: 'no' }))
    }
    return Left(new Failure('platformUnavailable', 'no read of the table could be confirmed', { ran: 'no' }))
  }

  async scan (req: ScanRequest): Promise<Either<Failure, ScanAnswer>> {
    return await this.table.scan(req)
  }

  async transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>> {
    return await this.table.transact(tx)
  }
}
