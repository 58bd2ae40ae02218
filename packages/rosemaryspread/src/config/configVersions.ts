/**
 * Reconstructs versions from the version rows of the table and the snapshots of the object store. The table is
 * authoritative: versions built from a snapshot must match the digest that the table names.
 */
import { Nothing, Right, type Either, type Maybe } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ConfigCandidate } from '@rosemaryspread/decisions/config/configDecider.js'
import { holdDocument, replayRows, type HeldConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import { SNAPSHOT_EVERY, type VersionMark, type VersionRow, type WholeConfig } from '@rosemaryspread/decisions/config/configRows.js'
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
    private readonly origin: HeldConfig
  ) {}

  /**
   * What leads from a version to a later one; starts with a snapshot when many versions lie between.
   * @param after - the version in force, or 0
   * @param useSnapshots - false after a snapshot failed to verify
   */
  async candidate (after: number, target: VersionMark, useSnapshots: boolean): Promise<Either<Failure, ConfigCandidate>> {
    const isFar = target.version - after > SNAPSHOT_EVERY
    const whole = isFar && useSnapshots ? await this.#newestWhole(target.version) : Nothing
    const usable = whole
      .filter(({ version, digest }) => version > after && (version < target.version || digest === target.digest))
      .extract()
    const rows = await this.reader.rows(usable?.version ?? after, target.version)
    return rows.map(found => usable === undefined ? { rows: found } : { whole: usable, rows: found })
  }

  /**
   * Reads a full version.
   * @returns `notFound`, or a failure of the platform
   */
  async at (version: number): Promise<Either<Failure, HeldConfig>> {
    if (version === 0) return Right(this.origin)
    const wanted = await this.reader.row(version)
    if (wanted.isLeft()) return wanted
    const base = await this.#baseBelow(version)
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
    return rows.orDefault([]).reverse().map(describe)
  }

  async #newestWhole (notAfter: number): Promise<Maybe<WholeConfig>> {
    const mark = (await this.snapshots.latest()).orDefault(Nothing).extractNullable()
    if (mark !== null && mark.version <= notAfter) return (await this.snapshots.whole(mark)).orDefault(Nothing)
    return await this.#regularWhole(notAfter)
  }

  /** The newest periodic snapshot at or below a version. */
  async #regularWhole (notAfter: number): Promise<Maybe<WholeConfig>> {
    const version = notAfter - notAfter % SNAPSHOT_EVERY
    if (version === 0) return Nothing
    const row = (await this.reader.row(version)).toMaybe().extractNullable()
    return row === null ? Nothing : (await this.snapshots.whole(row)).orDefault(Nothing)
  }

  async #baseBelow (version: number): Promise<HeldConfig> {
    const whole = await this.#regularWhole(version)
    return whole.toEither(new Failure('notFound', 'no snapshot')).chain(holdDocument).orDefault(this.origin)
  }
}

function describe (row: VersionRow): string {
  const named = row.patch.slice(0, MAX_OPERATIONS).map(({ op, path }) => `${op} ${path}`)
  const more = row.patch.length > named.length ? ` and ${row.patch.length - named.length} more` : ''
  return `version ${row.version} by ${row.author} (patch ${row.patchId}): ${named.join(', ')}${more}`
}
