/**
 * Reads configuration versions from the table service. A plain read may come from a replica that
 * lags; {@link ConfirmedTable} is for decisions that must not rest on one.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { CURRENT_KEY, CURRENT_TABLE, currentRowSchema, VERSION_TABLE, versionKey, versionRowSchema, type VersionMark, type VersionRow } from '@rosemaryspread/decisions/config/configRows.js'
import type { ReadAnswer, Row, RowKey, ScanAnswer, ScanRequest, TableStore, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'
import type { z } from 'zod'

/** Version rows asked for at once. */
const PAGE_ROWS = 32
/** Reads that may turn out to be stale, or lose their confirmation, before the table counts as unavailable. */
const CONFIRM_ATTEMPTS = 5
/** Milliseconds between them; a lagging replica catches up meanwhile. */
const CONFIRM_PAUSE_MS = 50

/** Key of the row that names the current version. */
export const currentKey: RowKey = { table: CURRENT_TABLE, key: CURRENT_KEY }

/**
 * Checks the value of a row.
 * @param schema - schema of the value
 * @param row - the row as read
 * @returns `configInvalid` when the row does not follow its schema
 */
export function parseRow<T> (schema: z.ZodType<T>, row: Row): Either<Failure, T> {
  const result = schema.safeParse(row.value)
  if (result.success) return Right(result.data)
  const errors = result.error.issues.map(issue => `/${issue.path.join('/')}: ${issue.message}`)
  return Left(new Failure('configInvalid', `row ${row.table}/${row.key} is malformed`, { errors }))
}

/** Version rows and the current version. */
export class ConfigReader {
  /**
   * @param table - the table service
   * @param origin - the mark of version 0, in force while no patch was accepted
   */
  constructor (private readonly table: TableStore, private readonly origin: VersionMark) {}

  /**
   * The current version.
   * @param table - with confirmed reads where it must not be an older one
   */
  async current (table: TableStore): Promise<Either<Failure, VersionMark>> {
    const answer = await table.read([currentKey])
    return answer.chain(({ rows }) => this.markOf(rows[0] ?? null))
  }

  /**
   * The current version together with the version row that follows one, if there is any yet. One
   * call is then enough for a VM that is one version behind.
   * @param version - the version in force
   */
  async poll (version: number): Promise<Either<Failure, { readonly mark: VersionMark, readonly rows: readonly VersionRow[] }>> {
    const answer = await this.table.read([currentKey, { table: VERSION_TABLE, key: versionKey(version + 1) }])
    return answer.chain(({ rows: [current, next] }) => this.markOf(current ?? null)
      .chain(mark => parseAll(next == null ? [] : [next]).map(rows => ({ mark, rows }))))
  }

  /**
   * The version that a row `config/current` names.
   * @param row - the row; version 0 when there is none
   */
  markOf (row: Row | null): Either<Failure, VersionMark> {
    if (row === null) return Right(this.origin)
    return parseRow(currentRowSchema, row).map(({ version, digest }) => ({ version, digest }))
  }

  /**
   * One version row.
   * @param version - version number
   * @returns `notFound` when there is none
   */
  async row (version: number): Promise<Either<Failure, VersionRow>> {
    const answer = await this.table.read([{ table: VERSION_TABLE, key: versionKey(version) }])
    return answer.chain(({ rows }) => rows[0] == null
      ? Left(new Failure('notFound', `there is no version ${version}`))
      : parseRow(versionRowSchema, rows[0]))
  }

  /**
   * Version rows in order.
   * @param after - the version before the first
   * @param upTo - the last version wanted
   * @returns all of them; `platformUnavailable` when some are not there yet, or the failure of a page
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
      if (read.length === 0) return Left(new Failure('platformUnavailable', `version ${last + 1} cannot be read yet`))
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
 * A table whose reads are confirmed by a transaction that only checks the versions read. Such a
 * transaction is decided where writes are, so a lagging replica cannot answer it. It costs one
 * more call, which patches can afford.
 */
export class ConfirmedTable implements TableStore {
  /**
   * @param table - the table service
   * @param pause - waits some milliseconds
   */
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
      const isOpen = failure.code === 'platformConflict' || failure.code === 'platformOutcomeUnknown'
      if (!isOpen) return Left(new Failure('platformUnavailable', failure.message))
    }
    return Left(new Failure('platformUnavailable', 'no read of the table could be confirmed'))
  }

  async scan (req: ScanRequest): Promise<Either<Failure, ScanAnswer>> {
    return await this.table.scan(req)
  }

  async transact (tx: Transaction): Promise<Either<Failure, TransactAnswer>> {
    return await this.table.transact(tx)
  }
}
