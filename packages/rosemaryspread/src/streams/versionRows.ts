/**
 * Keeps the software versions that each service has had in the store, one row a service, which changes with a release only. A VM that resumes a stream
 * reads it anew, since what it read before may be older than the stream.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { toFailure, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { ServiceVersions } from '@rosemaryspread/decisions/streams/streamTypes.js'
import { nextVersionRow, versionRowSchema, versionsInRow, type VersionRow } from '@rosemaryspread/decisions/streams/versionRow.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'

export const VERSIONS_TABLE = 'versions'
/** Time before a failed read or write is repeated. */
const RETRY_MS = 250
/** Delay of a write for each VM of the fleet, so that usually one of them writes. */
const WRITE_SPREAD_MS_PER_VM = 5

export interface VersionRowsParts {
  readonly table: TableStore
  readonly clock: Clock
  readonly log: EventLog
  /** Returns a number from 0 up to, but not including, 1. */
  random (): number
  /** Number of VMs. */
  vms (): number
  /** Services with streams that callers may resume. */
  services (): readonly string[]
  /** Time for which a stream may be resumed, in milliseconds. */
  lifetimeMs (): number
  /** Versions of a service that were listed within a time until now. */
  listed (service: string, spanMs: number): readonly string[]
}

/** A row as last read. */
interface ReadRow {
  readonly row: VersionRow | undefined
  /** Version of the row in the store; null without one. */
  readonly storedVersion: number | null
  /** Monotonic milliseconds at which the read began, and the store's clock at that time. */
  readonly at: number
  readonly storeNow: number
}

/** Rows of all services. Times are monotonic milliseconds. */
export class VersionRows {
  private readonly rows = new Map<string, ReadRow>()
  /** The latest read that has begun, and the one after it, by service. */
  private readonly currentReads = new Map<string, Promise<unknown>>()
  private readonly nextReads = new Map<string, Promise<Either<Failure, ReadRow>>>()
  /** Time of the next write or read of a service. */
  private readonly dueAt = new Map<string, number>()
  private readonly working = new Set<string>()

  constructor (private readonly parts: VersionRowsParts) {}

  /**
   * Versions of a service as last read.
   * @param maxAgeMs - age of the read beyond which it does not show that a service has one version
   */
  cached (service: string, maxAgeMs = Infinity): ServiceVersions {
    const read = this.rows.get(service)
    if (read?.row === undefined) return { kind: 'unknown' }
    const versions = versionsInRow(read.row, this.storeNow(read))
    return versions.kind === 'sole' && this.mono - read.at > maxAgeMs ? { kind: 'unknown' } : versions
  }

  /** Versions of a service as a read finds them that begins now; `unknown` if the store cannot be read. */
  async read (service: string): Promise<ServiceVersions> {
    const read = await this.readRow(service)
    return read.map(({ row, storeNow }): ServiceVersions => row === undefined ? { kind: 'unknown' } : versionsInRow(row, storeNow)).orDefault({ kind: 'unknown' })
  }

  /** Reads and writes rows that are due; to be called several times a second. */
  tick (): void {
    for (const service of this.parts.services()) {
      if (this.working.has(service) || !this.isDue(service)) continue
      this.working.add(service)
      this.update(service).catch((err: unknown) => { this.parts.log.write('fault', { err: toFailure(err).message }) }).finally(() => { this.working.delete(service) })
    }
  }

  /** Whether a row has to be read for the first time or written, after a random delay for the latter. */
  private isDue (service: string): boolean {
    const read = this.rows.get(service)
    const isNeeded = read === undefined || this.next(service, read) !== undefined
    if (!isNeeded) {
      this.dueAt.delete(service)
      return false
    }
    const dueAt = this.dueAt.get(service) ?? this.mono + (read === undefined ? 0 : this.parts.random() * WRITE_SPREAD_MS_PER_VM * this.parts.vms())
    this.dueAt.set(service, dueAt)
    return this.mono >= dueAt
  }

  private async update (service: string): Promise<void> {
    const done = await (await this.readRow(service)).caseOf<Promise<Either<Failure, void>>>({
      Left: async failure => Left(failure),
      Right: async read => await this.write(service, read)
    })
    this.dueAt.delete(service)
    done.ifLeft(({ code }) => {
      this.dueAt.set(service, this.mono + RETRY_MS)
      if (code !== 'platformConflict') this.parts.log.write('platformFault', { service: 'table', operation: 'versions', code })
    })
  }

  /** Writes the row unless it says all; another VM may have written it since. */
  private async write (service: string, read: ReadRow): Promise<Either<Failure, void>> {
    const row = this.next(service, read)
    if (row === undefined) return Right(undefined)
    const key = { table: VERSIONS_TABLE, key: service }
    const written = await this.parts.table.transact({ checks: [{ ...key, version: read.storedVersion }], writes: [{ ...key, value: row }] })
    written.ifRight(({ version }) => {
      this.rows.set(service, { ...read, row, storedVersion: version })
      this.parts.log.write('versionsStored', { service, versions: row.versions.map(each => each.version) })
    })
    return written.map(() => undefined)
  }

  private next (service: string, read: ReadRow): VersionRow | undefined {
    const spanMs = this.parts.lifetimeMs()
    return nextVersionRow(read.row, this.parts.listed(service, spanMs), this.storeNow(read), spanMs)
  }

  /** Reads one after another; calls that come during a read share the next one. */
  private async readRow (service: string): Promise<Either<Failure, ReadRow>> {
    const next = this.nextReads.get(service)
    if (next !== undefined) return await next
    const read = (this.currentReads.get(service) ?? Promise.resolve()).then(async () => {
      this.nextReads.delete(service)
      this.currentReads.set(service, read)
      return await this.readNow(service)
    })
    this.nextReads.set(service, read)
    return await read
  }

  private async readNow (service: string): Promise<Either<Failure, ReadRow>> {
    const at = this.mono
    const answer = await this.parts.table.read([{ table: VERSIONS_TABLE, key: service }])
    return answer.map(({ rows: [stored], now }) => {
      const parsed = stored == null ? undefined : versionRowSchema.safeParse(stored.value)
      if (parsed?.success === false) this.parts.log.write('platformFault', { service: 'table', operation: 'versions', code: 'badRequest', detail: parsed.error.message })
      const read = { row: parsed?.data, storedVersion: stored?.version ?? null, at, storeNow: now }
      if ((this.rows.get(service)?.at ?? -Infinity) <= at) this.rows.set(service, read)
      return read
    })
  }

  private storeNow ({ at, storeNow }: ReadRow): number {
    return storeNow + this.mono - at
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}
