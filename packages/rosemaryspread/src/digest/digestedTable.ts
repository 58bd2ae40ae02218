/**
 * One heartbeat table as followed by one VM, through its own feed or through the digest. Switching between the
 * two never reverts rows that were already delivered.
 */
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { isLater, type DigestEntry, type DigestStage } from '@rosemaryspread/decisions/digest/digestEntry.js'
import type { FeedRow } from '@rosemaryspread/infra/table/tableFeed.js'
import type { DigestSource } from './digestTypes.js'

/** Latest state of a row. */
interface RowState<T> {
  readonly version: number
  readonly stage: DigestStage
  /** Absent when the row was removed. */
  readonly value?: T
}

/** Rows of one table and the source that they come from. */
export class DigestedTable<T = unknown> {
  /** Time of the last response to the table's own feed, in monotonic milliseconds. */
  lastResponseAt = -Infinity
  private stopFeed: (() => void) | undefined
  /** Latest state of each row, by key. */
  private rows = new Map<string, RowState<T>>()

  /** @param mono - returns the monotonic milliseconds */
  constructor (private readonly source: DigestSource<T>, private readonly mono: () => number) {}

  get name (): string {
    return this.source.name
  }

  get isDirect (): boolean {
    return this.stopFeed !== undefined
  }

  /** Entries for the digest by row key, with the stage of each owner. */
  entries (): ReadonlyMap<string, DigestEntry> {
    return new Map([...this.rows].map(([key, state]) => [key, this.encodeEntry(key, state)]))
  }

  /** Whether the value of an entry can be decoded; that of a removed row always can. */
  isDecodable (entry: DigestEntry): boolean {
    try {
      this.decodeEntry(entry)
      return true
    } catch {
      return false
    }
  }

  /** Follows the table through its own feed. */
  followDirect (): void {
    if (this.isDirect) return
    const { handler } = this.source
    handler.sourceChanged?.(false)
    this.stopFeed = this.source.follow({
      ...handler,
      answered: () => { this.lastResponseAt = this.mono() },
      replaced: rows => {
        this.replaced(rows)
        handler.replaced(rows)
      },
      changed: rows => {
        for (const row of rows) this.rows.set(row.key, toRowState(row))
        handler.changed(rows)
      },
      undecodable: (key, err) => {
        this.discard(key)
        handler.undecodable?.(key, err)
      }
    })
  }

  /** Follows the table through the digest, starting from its published entries. */
  followDigest (published: ReadonlyMap<string, DigestEntry>): void {
    this.stop()
    const { handler } = this.source
    handler.sourceChanged?.(true)
    for (const [key, entry] of published) if (isLater(entry, this.rows.get(key))) this.rows.set(key, this.decodeEntry(entry))
    handler.replaced([...this.rows].map(([key, state]) => toFeedRow(key, state)).filter(({ value }) => value !== null))
  }

  /** Applies an entry of the digest; one that is older than the current state is ignored. */
  applyEntry (key: string, entry: DigestEntry): void {
    if (!isLater(entry, this.rows.get(key))) return
    const state = this.decodeEntry(entry)
    this.rows.set(key, state)
    this.source.handler.changed([toFeedRow(key, state)])
  }

  /** Reports that the digest could not be read. */
  failed (failure: Failure): void {
    this.source.handler.failed(failure)
  }

  /** Ends the subscription to the table's own feed. */
  stop (): void {
    this.stopFeed?.()
    this.stopFeed = undefined
  }

  /** A row that is missing was deleted after its last known version. */
  private replaced (rows: ReadonlyArray<FeedRow<T>>): void {
    const present = new Set(rows.map(({ key }) => key))
    const missing = [...this.rows].filter(([key]) => !present.has(key))
    this.rows = new Map(missing.map(([key, { version }]) => [key, { version, stage: 'gone' }]))
    for (const row of rows) this.rows.set(row.key, toRowState(row))
  }

  /** A row that can no longer be decoded must not be published with its old value. */
  private discard (key: string): void {
    const state = this.rows.get(key)
    if (state !== undefined) this.rows.set(key, { version: state.version, stage: 'gone' })
  }

  private encodeEntry (key: string, { version, stage, value }: RowState<T>): DigestEntry {
    const currentStage = stage === 'gone' ? stage : this.source.stageOf(key)
    return currentStage === 'gone' || value === undefined ? { version, stage: 'gone' } : { version, stage: currentStage, value: this.source.encode(value) }
  }

  private decodeEntry ({ version, stage, value }: DigestEntry): RowState<T> {
    return stage === 'gone' ? { version, stage } : { version, stage, value: this.source.decode(value, stage === 'late') }
  }
}

function toRowState<T> ({ value, version }: FeedRow<T>): RowState<T> {
  return value === null ? { version, stage: 'gone' } : { version, stage: 'present', value }
}

function toFeedRow<T> (key: string, { version, value }: RowState<T>): FeedRow<T> {
  return { key, version, value: value ?? null }
}
