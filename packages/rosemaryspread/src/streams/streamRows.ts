/**
 * Keeps in the store which software version began each stream of a service that has several, for the case that all VMs that know it end. Each VM
 * writes the streams of an interval as one row; its key begins with the time, so that recent and old rows are ranges of keys.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { begunStreamsSchema, MAX_STREAMS } from '@rosemaryspread/decisions/streams/streamTypes.js'

export const STREAMS_TABLE = 'streams'
/** Shortest interval of the rows of one VM, and its length for each VM of the fleet: all together write 100 rows a second at most. */
const MIN_FLUSH_MS = 200
const FLUSH_MS_PER_VM = 10
/** Time before a failed write is repeated. */
const RETRY_MS = 250
/** Streams that wait to be written while the store cannot be reached; the oldest are dropped first. */
const MAX_UNWRITTEN = 20_000
/** Time by which a row may be older than its key says, or the clocks of two VMs may differ. */
const OVERLAP_MS = 5_000
const ROWS_PER_SCAN = 500
/** Shortest time between two reads of one VM, for each VM of the fleet. */
const SCAN_MS_PER_VM = 2
/** Interval of deleting old rows, of one VM at random. */
const CLEANUP_INTERVAL_MS = 10_000
const ROWS_PER_CLEANUP = 100
/** Digits of the time in a key. */
const TIME_DIGITS = 16
/** Sorts before all keys. */
const FIRST_KEY = '0'
/** Characters of keys and versions in one row; the store bounds its size. */
const MAX_ROW_CHARACTERS = 24_000

export interface StreamRowsParts {
  readonly table: TableStore
  readonly clock: Clock
  readonly log: EventLog
  /** Identifies this process. */
  readonly holder: string
  /** Returns a number from 0 up to, but not including, 1. */
  random (): number
  /** Number of VMs. */
  vms (): number
  /** Time for which a stream may be resumed, in milliseconds. */
  lifetimeMs (): number
  /** Called with each stream that is read. */
  onRead (key: string, version: string): void
}

/** Where the store keeps no records. */
export const noStreamRows: Pick<StreamRows, 'add' | 'load' | 'tick'> = { add: () => {}, load: async () => false, tick: () => {} }

/** Rows of all VMs. Times are monotonic milliseconds unless they are the store's. */
export class StreamRows {
  /** Versions by the key of the stream. */
  private readonly unwritten = new Map<string, string>()
  private nextFlushAt = -Infinity
  private nextCleanupAt: number | undefined
  private isWriting = false
  /** Rows that this process has begun to write; part of their keys. */
  private written = 0
  private flushTimer: NodeJS.Timeout | undefined
  /** Time of the store up to which rows were read. */
  private readUntil = -Infinity
  private reading: Promise<boolean> | undefined
  private nextScanAt = -Infinity
  /** Time of the store less the monotonic time; undefined before the first answer. */
  private storeOffset: number | undefined

  constructor (private readonly parts: StreamRowsParts) {}

  add (key: string, version: string): void {
    this.unwritten.delete(key)
    this.unwritten.set(key, version)
    const [oldest] = this.unwritten.keys()
    if (this.unwritten.size > MAX_UNWRITTEN && oldest !== undefined) this.unwritten.delete(oldest)
    this.flushTimer ??= setTimeout(() => { this.flushDue() }, Math.max(0, this.nextFlushAt - this.mono)).unref()
  }

  /** Writes what is due and deletes old rows; to be called several times a second. */
  tick (): void {
    const { mono } = this
    this.nextCleanupAt ??= mono + this.cleanupDelayMs()
    if (mono >= this.nextFlushAt) this.inBackground(this.flush())
    if (this.storeOffset !== undefined && mono >= this.nextCleanupAt) {
      this.nextCleanupAt = mono + this.cleanupDelayMs()
      this.inBackground(this.cleanUp())
    }
  }

  /**
   * Reads the rows that were written since the last read. A call that comes during a read waits for the next one, which sees what was
   * written before it.
   * @returns false if the store cannot be read
   */
  async load (): Promise<boolean> {
    if (this.reading !== undefined) {
      await this.reading
      this.reading ??= this.startLoading()
      return await this.reading
    }
    this.reading = this.startLoading()
    return await this.reading
  }

  private async startLoading (): Promise<boolean> {
    try {
      return await this.scan()
    } finally {
      this.reading = undefined
    }
  }

  private async scan (): Promise<boolean> {
    if (!await this.learnTime()) return false
    const waitMs = this.nextScanAt - this.mono
    if (waitMs > 0) await pause(waitMs)
    this.nextScanAt = this.mono + SCAN_MS_PER_VM * this.parts.vms()
    const startedAt = this.storeNow
    let after = keyOf(Math.max(this.readUntil - OVERLAP_MS, startedAt - this.parts.lifetimeMs() - OVERLAP_MS))
    for (;;) {
      const answer = await this.parts.table.scan({ table: STREAMS_TABLE, prefix: '', after, limit: ROWS_PER_SCAN })
      if (answer.isLeft()) return false
      const { rows, next } = answer.unsafeCoerce()
      for (const { key, value } of rows) this.receive(key, value)
      if (next === undefined) break
      after = next
    }
    this.readUntil = startedAt
    return true
  }

  private receive (key: string, value: unknown): void {
    const parsed = begunStreamsSchema.safeParse(value)
    if (parsed.success) for (const [stream, version] of parsed.data.streams) this.parts.onRead(stream, version)
    else this.fault('badRequest', `row ${key} does not match the schema of begun streams`)
  }

  private flushDue (): void {
    this.flushTimer = undefined
    if (this.mono >= this.nextFlushAt) this.inBackground(this.flush())
  }

  private async flush (): Promise<void> {
    if (this.isWriting || this.unwritten.size === 0) return
    this.isWriting = true
    try {
      if (await this.learnTime()) await this.writeBatch()
    } finally {
      this.isWriting = false
    }
  }

  private async writeBatch (): Promise<void> {
    const batch = this.nextBatch()
    this.written += 1
    const key = `${keyOf(this.storeNow)}/${this.parts.holder}/${this.written}`
    this.nextFlushAt = this.mono + Math.max(MIN_FLUSH_MS, FLUSH_MS_PER_VM * this.parts.vms())
    const written = await this.parts.table.transact({ checks: [], writes: [{ table: STREAMS_TABLE, key, value: { streams: batch } }] })
    written.ifRight(() => {
      for (const [stream, version] of batch) if (this.unwritten.get(stream) === version) this.unwritten.delete(stream)
    }).ifLeft(({ code }) => { this.retryLater(code) })
  }

  /** The oldest streams that fit into one row. */
  private nextBatch (): Array<[key: string, version: string]> {
    const batch: Array<[string, string]> = []
    let characters = 0
    for (const [key, version] of this.unwritten) {
      characters += key.length + version.length
      if (batch.length === MAX_STREAMS || (batch.length > 0 && characters > MAX_ROW_CHARACTERS)) break
      batch.push([key, version])
    }
    return batch
  }

  /** The store's clock, for the keys of rows. */
  private async learnTime (): Promise<boolean> {
    if (this.storeOffset !== undefined) return true
    const answer = await this.parts.table.scan({ table: STREAMS_TABLE, prefix: '', after: FIRST_KEY, limit: 1 })
    answer.ifRight(({ now }) => { this.storeOffset = now - this.mono }).ifLeft(({ code }) => { this.retryLater(code) })
    return answer.isRight()
  }

  private async cleanUp (): Promise<void> {
    const oldest = keyOf(this.storeNow - this.parts.lifetimeMs() - 2 * OVERLAP_MS)
    const answer = await this.parts.table.scan({ table: STREAMS_TABLE, prefix: '', after: FIRST_KEY, limit: ROWS_PER_CLEANUP })
    const old = answer.map(({ rows }) => rows.map(({ key }) => key).filter(key => key < oldest)).orDefault([])
    if (old.length === 0) return
    const removed = await this.parts.table.transact({ checks: [], writes: old.map(key => ({ table: STREAMS_TABLE, key, value: null })) })
    removed.ifLeft(({ code }) => { this.fault(code) })
    if (old.length === ROWS_PER_CLEANUP) this.nextCleanupAt = this.mono
  }

  /** All VMs together clean up about once an interval. */
  private cleanupDelayMs (): number {
    return 2 * CLEANUP_INTERVAL_MS * Math.max(1, this.parts.vms()) * this.parts.random()
  }

  private retryLater (code: string): void {
    this.nextFlushAt = this.mono + RETRY_MS
    this.fault(code)
  }

  private fault (code: string, detail?: string): void {
    this.parts.log.write('platformFault', { service: 'table', operation: 'streams', code, detail })
  }

  private inBackground (work: Promise<void>): void {
    work.catch((err: unknown) => { this.parts.log.write('fault', { err: toFailure(err).message }) })
  }

  private get storeNow (): number {
    return this.mono + (this.storeOffset ?? 0)
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}

function keyOf (storeTime: number): string {
  return String(Math.max(0, Math.floor(storeTime))).padStart(TIME_DIGITS, '0')
}
