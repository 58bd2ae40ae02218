/**
 * Puts versions together from the version rows of the table and the snapshots of the object
 * store. The table has the last word: whatever a snapshot contributes must lead to the digest
 * that the table names.
 */
import { Nothing, Right, type Either, type Maybe } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ConfigCandidate } from '@rosemaryspread/decisions/config/configDecider.js'
import { holdDocument, replayRows, type HeldConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import { SNAPSHOT_EVERY, type VersionMark, type VersionRow, type WholeConfig } from '@rosemaryspread/decisions/config/configRows.js'
import type { ConfigReader } from './configReader.js'
import type { ConfigSnapshots } from './configSnapshots.js'

/** Versions described in a conflict. */
const MAX_CHANGES = 20
/** Operations named for each of them. */
const MAX_OPERATIONS = 5

/** Versions as the platform keeps them. */
export class ConfigVersions {
  /**
   * @param reader - version rows
   * @param snapshots - whole versions
   * @param origin - version 0
   */
  constructor (
    private readonly reader: ConfigReader,
    private readonly snapshots: ConfigSnapshots,
    private readonly origin: HeldConfig
  ) {}

  /**
   * What leads from a version to a later one; begins with a snapshot when the way is long.
   * @param after - the version in force, or 0
   * @param target - the version wanted
   * @param useSnapshots - whether a snapshot may be used; not after one failed to verify
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
   * A version whole, by number.
   * @param version - version number
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
   * @param current - the version up to which changes are told
   * @returns lines, the newest first; none when the table cannot be read
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

  /** The snapshot that every so many versions is written, at or below a version. */
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
