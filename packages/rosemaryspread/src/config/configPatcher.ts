/**
 * Commits a patch in one transaction, which succeeds only if the base of the patch is still the current version.
 * After a lost response, reading the patch id back decides whether it took effect. All reads are confirmed, so
 * that neither a rejection nor a repeated response rests on a lagging replica.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { digestOf } from '@rosemaryspread/decisions/config/configDigest.js'
import { preparePatch, type VerifiedConfig, type PreparedPatch } from '@rosemaryspread/decisions/config/configPatch.js'
import { PATCH_TABLE, patchRowSchema, VERSION_TABLE, versionKey, type VersionRef, type VersionRow } from '@rosemaryspread/decisions/config/configRows.js'
import type { PatchRequest } from '@rosemaryspread/operators/admin/adminTypes.js'
import { transactUntilKnown, type TransactionBuilder, type AppliedTransaction } from '@rosemaryspread/infra/table/tableTransact.js'
import type { ReadAnswer, Row, RowKey, TableStore, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'
import { currentKey, parseRow, type ConfigReader } from './configReader.js'
import { delay, type ConfigStoreDeps } from './configTypes.js'

const MAX_ATTEMPTS = 8
const RETRY_PAUSE_MS = 50
const MAX_RETRY_PAUSE_MS = 1_000
const RETRY_AFTER_MS = 2_000

/** A patch that was accepted, by this call or an earlier one. */
export interface AcceptedPatch {
  readonly version: number
  readonly repeated: boolean
  /** The version and its row, when this call created it. */
  readonly created?: { readonly held: VerifiedConfig, readonly row: VersionRow }
}

/** Commits one patch. */
export class ConfigPatcher {
  readonly #digest: string
  #created: { held: VerifiedConfig, row: VersionRow } | undefined
  /** Time of the first attempt; later attempts write the same row. */
  #firstAttemptAt: number | undefined

  /**
   * @param table - the table service with confirmed reads
   * @param inForce - returns the version in force, called at each attempt
   */
  constructor (
    private readonly table: TableStore,
    private readonly reader: ConfigReader,
    private readonly parts: ConfigStoreDeps,
    private readonly inForce: () => VerifiedConfig | undefined,
    private readonly req: PatchRequest
  ) {
    this.#digest = digestOf(req.patch)
  }

  /**
   * Commits the patch.
   * @returns `configConflict`, `patchIdReused`, `patchInvalid`, `configInvalid` or `platformUnavailable` when
   * the patch was not accepted; `platformOutcomeUnknown` when that is open
   */
  async accept (): Promise<Either<Failure, AcceptedPatch>> {
    const transaction: TransactionBuilder = { keys: this.#keys(), build: read => this.#buildTransaction(read) }
    const limits = {
      attempts: MAX_ATTEMPTS,
      pauseMs: RETRY_PAUSE_MS,
      maxPauseMs: MAX_RETRY_PAUSE_MS,
      pause: async (ms: number) => { await delay(this.parts.timers, ms) },
      random: this.parts.random
    }
    const settled = await transactUntilKnown(this.table, transaction, rows => this.#isApplied(rows[1] ?? null), limits)
    return settled.mapLeft(toPatchFailure).chain(outcome => this.#toAccepted(outcome))
  }

  /** Validates the patch as {@link accept} would, without writing. */
  async check (): Promise<Either<Failure, AcceptedPatch>> {
    const read = await this.table.read(this.#keys())
    return read.chain(answer => this.#isApplied(answer.rows[1] ?? null)
      ? this.#toAccepted({ detectedBy: 'before', read: answer })
      : this.#prepare(answer, answer.now).map(({ next }) => ({ version: next.version, repeated: false })))
  }

  #keys (): readonly RowKey[] {
    return [currentKey, { table: PATCH_TABLE, key: this.req.patchId }]
  }

  #isApplied (row: Row | null): boolean {
    return row !== null && parseRow(patchRowSchema, row).map(({ digest }) => digest === this.#digest).orDefault(false)
  }

  #buildTransaction (read: ReadAnswer): Either<Failure, Transaction> {
    const at = this.#firstAttemptAt ??= read.now
    return this.#prepare(read, at).map(({ patch, delta, next }) => {
      const { patchId, author } = this.req
      const row: VersionRow = { version: next.version, digest: next.digest, patchId, author, at, patch: [...patch], delta: [...delta] }
      this.#created = { held: next, row }
      const [current, patchKey] = this.#keys() as [RowKey, RowKey]
      const versionRow = { table: VERSION_TABLE, key: versionKey(next.version) }
      return {
        checks: [{ ...current, version: read.rows[0]?.version ?? null }, { ...versionRow, version: null }, { ...patchKey, version: null }],
        writes: [
          { ...versionRow, value: row },
          { ...patchKey, value: { version: next.version, digest: this.#digest } },
          { ...current, value: { version: next.version, digest: next.digest, patchId } }
        ]
      }
    })
  }

  #prepare (read: ReadAnswer, at: number): Either<Failure, PreparedPatch> {
    if (read.rows[1] != null) return Left(new Failure('patchIdReused', `patch id '${this.req.patchId}' belongs to another patch`, { ran: 'no' }))
    return this.reader.parseCurrentRow(read.rows[0] ?? null)
      .chain(ref => this.#resolveBase(ref))
      .chain(base => preparePatch(base, this.req.patch, at))
  }

  #resolveBase (ref: VersionRef): Either<Failure, VerifiedConfig> {
    const current = this.inForce()
    if (ref.version !== this.req.base) {
      return Left(new Failure('configConflict', `the patch is based on version ${this.req.base}, the current version is ${ref.version}`, { ran: 'no' }))
    }
    if (current?.version === ref.version && current.digest === ref.digest) return Right(current)
    const detail = `version ${ref.version} is not in force on this VM yet`
    return Left(new Failure('configNotLoaded', detail, { ran: 'no', retryAfterMs: RETRY_AFTER_MS }))
  }

  #toAccepted (outcome: AppliedTransaction): Either<Failure, AcceptedPatch> {
    const repeated = outcome.detectedBy === 'before'
    const created = this.#created
    if (outcome.detectedBy === 'answered' && created !== undefined) return Right({ version: created.held.version, repeated, created })
    const row = outcome.read.rows[1]
    if (row == null) return Left(new Failure('internal', 'the patch row is missing', { ran: 'unknown' }))
    return parseRow(patchRowSchema, row).map(({ version }) => created?.held.version === version && !repeated
      ? { version, repeated, created }
      : { version, repeated })
  }
}

function toPatchFailure (failure: Failure): Failure {
  const { message, errors } = failure
  switch (failure.code) {
    case 'platformOutcomeUnknown':
      return new Failure('platformOutcomeUnknown', `${message}; send the patch again under the same patch id`, { ran: 'unknown', retryAfterMs: RETRY_AFTER_MS, errors })
    case 'platformConflict':
      return new Failure('platformUnavailable', message, { ran: 'no', retryAfterMs: RETRY_AFTER_MS })
    case 'platformUnavailable':
      return new Failure('platformUnavailable', message, { ran: 'no', retryAfterMs: RETRY_AFTER_MS })
    default:
      return failure
  }
}
