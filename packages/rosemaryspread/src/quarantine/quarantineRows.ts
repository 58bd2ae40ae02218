/**
 * Table rows by which VMs share updates on requests under suspicion. Writes those of this VM, with retries while the
 * table is unavailable, follows those of all VMs, and deletes expired ones.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { toFailure, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { QUARANTINE_TABLE, quarantineUpdateSchema, type QuarantineUpdate } from '@rosemaryspread/decisions/quarantine/quarantineTypes.js'
import { SUSPICION_MS } from '@rosemaryspread/decisions/quarantine/requestQuarantine.js'
import { quarantineMs } from '@rosemaryspread/decisions/quarantine/suspectRequest.js'
import type { FeedRow, TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'

const ROWS_PER_TRANSACTION = 50
/** Rows queued while the table is unavailable: enough for the terminations of 1,000 targets. */
const MAX_UNWRITTEN_ROWS = 1_000
/** Milliseconds before a failed write is retried. */
const RETRY_MS = 250
/** Milliseconds between two scans for expired rows. */
const CLEANUP_INTERVAL_MS = 10_000
/**
 * Upper bound in milliseconds of the random delay before a VM deletes an expired row, so that usually only one VM
 * deletes it.
 */
const CLEANUP_JITTER_MS = SUSPICION_MS

export interface QuarantineRowsParts {
  readonly table: TableStore
  readonly feed: TableFeed
  readonly clock: Clock
  readonly log: EventLog
  /** Uniform in [0, 1). */
  random (): number
  /** Handles an update of another VM. */
  onUpdate (update: QuarantineUpdate): void
}

/** A row value; null deletes the row. */
type Row = QuarantineUpdate | null

/** The rows as written and read by one VM. Times are monotonic milliseconds. */
export class QuarantineRows {
  private readonly unwritten = new Map<string, Row>()
  /** Time at which each row of the table may be deleted. */
  private readonly deleteAt = new Map<string, number>()
  private isWriting = false
  private nextWriteAt = 0
  private nextCleanupAt = 0
  private stopFeed: () => void = () => {}
  private loaded = false

  constructor (private readonly parts: QuarantineRowsParts) {}

  /** Whether the rows have been read. */
  get isLoaded (): boolean {
    return this.loaded
  }

  /** Starts to follow the table. */
  start (): void {
    this.stopFeed = this.parts.feed.follow(QUARANTINE_TABLE, {
      replaced: rows => {
        this.loaded = true
        this.deleteAt.clear()
        for (const row of rows) this.handleRow(row)
      },
      changed: rows => { for (const row of rows) this.handleRow(row) },
      // The configuration's feed reports failures of the same store; updates received before stay in force.
      failed: () => {}
    }, 'seldom')
  }

  stop (): void {
    this.stopFeed()
  }

  /**
   * Queues a row to be written as soon as the table is available.
   * @param row - its value; null deletes it
   */
  put (key: string, row: Row): void {
    if (this.unwritten.size < MAX_UNWRITTEN_ROWS || this.unwritten.has(key)) this.unwritten.set(key, row)
    else this.fault('overloaded', 'the queue of unwritten quarantine rows is full')
    this.tick()
  }

  /** Writes queued rows and deletes expired ones; to be called several times a second. */
  tick (): void {
    const now = this.mono
    if (now >= this.nextCleanupAt) this.cleanUp(now)
    if (this.isWriting || this.unwritten.size === 0 || now < this.nextWriteAt) return
    this.inBackground(this.write())
  }

  private async write (): Promise<void> {
    const batch = [...this.unwritten].slice(0, ROWS_PER_TRANSACTION)
    this.isWriting = true
    const written = await this.transact(batch)
    this.isWriting = false
    written.ifRight(() => {
      for (const [key, row] of batch) if (this.unwritten.get(key) === row) this.unwritten.delete(key)
    }).ifLeft(({ code }) => {
      this.nextWriteAt = this.mono + RETRY_MS
      this.fault(code)
    })
  }

  private async transact (rows: ReadonlyArray<readonly [key: string, row: Row]>): Promise<Either<Failure, void>> {
    const writes = rows.map(([key, value]) => ({ table: QUARANTINE_TABLE, key, value }))
    const answer = await this.parts.table.transact({ checks: [], writes })
    return answer.caseOf<Either<Failure, void>>({ Left: failure => Left(failure), Right: () => Right(undefined) })
  }

  private handleRow ({ key, value }: FeedRow): void {
    if (value === null) {
      this.deleteAt.delete(key)
      return
    }
    const update = quarantineUpdateSchema.safeParse(value)
    const retainedMs = update.success ? retentionMs(update.data) : SUSPICION_MS
    this.deleteAt.set(key, this.mono + retainedMs + CLEANUP_JITTER_MS * this.parts.random())
    if (update.success) this.parts.onUpdate(update.data)
    else this.fault('badRequest', `row ${key} does not match the schema of a quarantine update`)
  }

  private cleanUp (now: number): void {
    this.nextCleanupAt = now + CLEANUP_INTERVAL_MS
    const expired = [...this.deleteAt].filter(([, at]) => at <= now).slice(0, ROWS_PER_TRANSACTION)
    if (expired.length > 0) this.inBackground(this.transact(expired.map(([key]) => [key, null])).then(done => done.ifLeft(({ code }) => { this.fault(code) })))
  }

  private fault (code: string, detail?: string): void {
    this.parts.log.write('platformFault', { service: 'table', operation: 'quarantine', code, detail })
  }

  private inBackground (work: Promise<unknown>): void {
    work.catch((err: unknown) => { this.parts.log.write('fault', { err: toFailure(err).message }) })
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}

/** Milliseconds for which a row is retained; a clearance outlives the terminations that it clears. */
function retentionMs (update: QuarantineUpdate): number {
  if (update.kind === 'quarantined') return quarantineMs(update.level)
  return update.kind === 'cleared' ? SUSPICION_MS + 2 * CLEANUP_JITTER_MS : SUSPICION_MS
}
