/**
 * Reconstructs versions from the version rows of the table and the snapshots of the object store. The table is
 * authoritative: versions built from a snapshot must match the digest that the table names.
 */
import { Nothing, Right, type Either, type Maybe } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ConfigCandidate } from '@rosemaryspread/decisions/config/configDecider.js'
import { verifyDocument, replayRows, type VerifiedConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import { SNAPSHOT_INTERVAL_VERSIONS, type VersionRef, type VersionRow, type FullConfig } from '@rosemaryspread/decisions/config/configRows.js'
import type { ConfigReader } from './configReader.js'
import type { ConfigSnapshots } from './configSnapshots.js'

/** Versions listed in a conflict. */
const MAX_CHANGES = 20
/** Operations listed for each version. */
const MAX_OPERATIONS = 5

export class ConfigVersions {
  constructor (
    private readonly reader: ConfigReader,
    private readonly snapshots: ConfigSnapshots,
    private readonly initial: VerifiedConfig
  ) {}

  /**
   * What leads from a version to a later one: version rows, after a snapshot when many versions lie between.
   * @param after - the version in force, or 0
   * @param useSnapshots - false after a snapshot failed to verify
   */
  async candidate (after: number, wanted: VersionRef, useSnapshots: boolean): Promise<Either<Failure, ConfigCandidate>> {
    const isFar = wanted.version - after > SNAPSHOT_INTERVAL_VERSIONS
    const whole = isFar && useSnapshots ? await this.#newestSnapshot(wanted.version) : Nothing
    const usable = whole
      .filter(({ version, digest }) => version > after && (version < wanted.version || digest === wanted.digest))
      .extract()
    const rows = await this.reader.rows(usable?.version ?? after, wanted.version)
    return rows.map(found => usable === undefined ? { rows: found } : { whole: usable, rows: found })
  }

  /**
   * Reads a full version.
   * @returns `notFound`, or a failure of the platform
   */
  async at (version: number): Promise<Either<Failure, VerifiedConfig>> {
    if (version === 0) return Right(this.initial)
    const wanted = await this.reader.row(version)
    if (wanted.isLeft()) return wanted
    const base = await this.#replayBase(version)
    const rows = await this.reader.rows(base.version, version)
    return rows.chain(found => replayRows(base, found))
  }

  /**
   * One line for each version after a base.
   * @param base - the version that a patch was based on
   * @param current - the last version described
   * @returns lines, newest first; none when the table cannot be read
   */
  async changesSince (base: number, current: number): Promise<readonly string[]> {
    const first = Math.max(base, current - MAX_CHANGES)
    const rows = await this.reader.rows(first, current)
    return rows.orDefault([]).reverse().map(describeVersion)
  }

  async #newestSnapshot (notAfter: number): Promise<Maybe<FullConfig>> {
    const ref = (await this.snapshots.latest()).orDefault(Nothing).extractNullable()
    if (ref !== null && ref.version <= notAfter) return (await this.snapshots.whole(ref)).orDefault(Nothing)
    return await this.#periodicSnapshot(notAfter)
  }

  /** The newest periodic snapshot at or below a version. */
  async #periodicSnapshot (notAfter: number): Promise<Maybe<FullConfig>> {
    const version = notAfter - notAfter % SNAPSHOT_INTERVAL_VERSIONS
    if (version === 0) return Nothing
    const row = (await this.reader.row(version)).toMaybe().extractNullable()
    return row === null ? Nothing : (await this.snapshots.whole(row)).orDefault(Nothing)
  }

  async #replayBase (version: number): Promise<VerifiedConfig> {
    const whole = await this.#periodicSnapshot(version)
    return whole.toEither(new Failure('notFound', 'no snapshot', { ran: 'no' })).chain(verifyDocument).orDefault(this.initial)
  }
}

function describeVersion (row: VersionRow): string {
  const shown = row.patch.slice(0, MAX_OPERATIONS).map(({ op, path }) => `${op} ${path}`)
  const more = row.patch.length > shown.length ? ` and ${row.patch.length - shown.length} more` : ''
  return `version ${row.version} by ${row.author} (patch ${row.patchId}): ${shown.join(', ')}${more}`
}
