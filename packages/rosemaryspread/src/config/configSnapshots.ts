/**
 * Configuration versions in the object store: periodic snapshots, a delta object for each version, and a pointer
 * to the newest snapshot. They bound the start-up time of a VM and let one start during a table outage. They are
 * written after acceptance on a best-effort basis; the table decides what was accepted.
 */
import { Just, Left, Nothing, Right, type Either, type Maybe } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ConfigCandidate } from '@rosemaryspread/decisions/config/configDecider.js'
import type { VerifiedConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import { deltaName, LATEST_OBJECT, SNAPSHOT_INTERVAL_VERSIONS, snapshotName, versionRefSchema, versionRowSchema, fullConfigSchema, type VersionRef, type VersionRow, type FullConfig } from '@rosemaryspread/decisions/config/configRows.js'
import type { ObjectStore } from '@rosemaryspread/infra/objects/objectTypes.js'
import type { z } from 'zod'

/** Delta objects fetched in parallel. */
const DELTA_BATCH_SIZE = 8
/** Versions that the newest snapshot may lag before any VM writes a newer one. */
const MAX_SNAPSHOT_LAG_VERSIONS = 2 * SNAPSHOT_INTERVAL_VERSIONS

/** Snapshots and delta objects. */
export class ConfigSnapshots {
  constructor (private readonly objects: ObjectStore) {}

  /** Version and digest of the newest snapshot, if any. */
  async latest (): Promise<Either<Failure, Maybe<VersionRef>>> {
    return await this.#get(LATEST_OBJECT, versionRefSchema)
  }

  /**
   * Reads a snapshot. Only the version and digest that it states are compared; its content is verified before
   * it comes into force.
   */
  async whole (ref: VersionRef): Promise<Either<Failure, Maybe<FullConfig>>> {
    const found = await this.#get(snapshotName(ref), fullConfigSchema)
    return found.map(whole => whole.filter(({ version, digest }) => version === ref.version && digest === ref.digest))
  }

  /** The newest versions in the object store: the newest snapshot and all deltas after it. */
  async newest (): Promise<Either<Failure, Maybe<ConfigCandidate>>> {
    const latest = await this.latest()
    if (latest.isLeft()) return latest
    const ref = latest.unsafeCoerce().extractNullable()
    const whole = ref === null ? Nothing : (await this.whole(ref)).orDefault(Nothing)
    const rows = await this.#readDeltas(whole.map(({ version }) => version).orDefault(0))
    if (whole.isNothing() && rows.length === 0) return Right(Nothing)
    return Right(Just({ rows, ...whole.map(found => ({ whole: found })).orDefault({} as { whole: FullConfig }) }))
  }

  /** Writes an accepted version. When the delta before it is missing, a snapshot closes the gap. */
  async keep (row: VersionRow, held: VerifiedConfig): Promise<Either<Failure, void>> {
    const put = await this.#put(deltaName(row.version), row)
    if (put.isLeft()) return put
    const isSnapshotDue = row.version % SNAPSHOT_INTERVAL_VERSIONS === 0 || !await this.#hasDelta(row.version - 1)
    return isSnapshotDue ? await this.snapshot(held) : put
  }

  /** Writes a snapshot, and the pointer to it unless that names a newer one. */
  async snapshot (held: VerifiedConfig): Promise<Either<Failure, void>> {
    const { version, digest, document } = held
    const put = await this.#put(snapshotName(held), { version, digest, document } satisfies FullConfig)
    if (put.isLeft()) return put
    const latest = await this.latest()
    const newest = latest.orDefault(Nothing).map(mark => mark.version).orDefault(-1)
    return newest >= version ? put : await this.#put(LATEST_OBJECT, { version, digest })
  }

  /**
   * Writes a snapshot when the version in force cannot be restored from the object store.
   * @returns whether one was written
   */
  async repair (held: VerifiedConfig): Promise<Either<Failure, boolean>> {
    if (held.version === 0) return Right(false)
    const latest = await this.latest()
    if (latest.isLeft()) return latest
    const newest = latest.unsafeCoerce().map(mark => mark.version).orDefault(0)
    const isRestorable = held.version <= newest || (held.version - newest < MAX_SNAPSHOT_LAG_VERSIONS && await this.#hasDelta(held.version))
    if (isRestorable) return Right(false)
    return (await this.snapshot(held)).map(() => true)
  }

  async #readDeltas (after: number): Promise<VersionRow[]> {
    const rows: VersionRow[] = []
    for (;;) {
      const first = after + rows.length + 1
      const names = Array.from({ length: DELTA_BATCH_SIZE }, (_, index) => deltaName(first + index))
      const page = await Promise.all(names.map(async name => await this.#get(name, versionRowSchema)))
      const found = page.map(result => result.orDefault(Nothing).extractNullable())
      const gap = found.findIndex(row => row === null)
      const consecutive = gap < 0 ? found : found.slice(0, gap)
      rows.push(...consecutive.filter(row => row !== null))
      if (gap >= 0) return rows
    }
  }

  async #hasDelta (version: number): Promise<boolean> {
    if (version <= 0) return true
    const found = await this.#get(deltaName(version), versionRowSchema)
    return found.orDefault(Nothing).isJust()
  }

  async #get<T> (name: string, schema: z.ZodType<T>): Promise<Either<Failure, Maybe<T>>> {
    const body = await this.objects.get(name)
    return body.chain(found => found.caseOf<Either<Failure, Maybe<T>>>({
      Nothing: () => Right(Nothing),
      Just: bytes => parseObject(name, schema, bytes).map(Just)
    }))
  }

  async #put (name: string, value: unknown): Promise<Either<Failure, void>> {
    return await this.objects.put(name, Buffer.from(JSON.stringify(value)))
  }
}

function parseObject<T> (name: string, schema: z.ZodType<T>, bytes: Buffer): Either<Failure, T> {
  try {
    return Right(schema.parse(JSON.parse(bytes.toString('utf8'))))
  } catch {
    return Left(new Failure('configInvalid', `object ${name} is malformed`, { ran: 'no' }))
  }
}
