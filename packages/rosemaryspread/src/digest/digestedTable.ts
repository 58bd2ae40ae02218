/**
 * One table of heartbeats as one VM follows it: by its own feed, or by the digest. Goes from one to the other
 * without taking back what it told.
 */
import { isLater, type DigestEntry } from '@rosemaryspread/decisions/digest/digestEntry.js'
import type { FeedRow } from '@rosemaryspread/infra/table/tableFeed.js'
import type { DigestSource } from './digestTypes.js'

/** A table without the type of its rows. */
export interface AnyDigestedTable {
  readonly name: string
  readonly isDirect: boolean
  /** When the table's own feed was answered last, in monotonic milliseconds. */
  readonly heardAt: number
  entries (): ReadonlyMap<string, DigestEntry>
  isDecodable (entry: DigestEntry): boolean
  followDirect (): void
  followDigest (told: ReadonlyMap<string, DigestEntry>): void
  told (key: string, entry: DigestEntry): void
  failed (...failure: Parameters<DigestSource<unknown>['handler']['failed']>): void
  stop (): void
}

/** One table. */
export class DigestedTable<T> implements AnyDigestedTable {
  heardAt = -Infinity
  private stopFeed: (() => void) | undefined
  /** What this VM knows, by key. */
  private known = new Map<string, DigestEntry>()

  /**
   * @param source - the table
   * @param mono - tells the monotonic milliseconds
   */
  constructor (private readonly source: DigestSource<T>, private readonly mono: () => number) {}

  get name (): string {
    return this.source.name
  }

  get isDirect (): boolean {
    return this.stopFeed !== undefined
  }

  /** What this VM sees, with the stage of each owner. */
  entries (): ReadonlyMap<string, DigestEntry> {
    const staged = [...this.known].map(([key, entry]): [string, DigestEntry] => [key, this.staged(key, entry)])
    return new Map(staged)
  }

  /**
   * Whether the value of an entry is of a kind that this VM knows.
   * @param entry - the entry
   */
  isDecodable (entry: DigestEntry): boolean {
    try {
      this.rowOf('', entry)
      return true
    } catch {
      return false
    }
  }

  /** Follows the table itself. */
  followDirect (): void {
    if (this.isDirect) return
    const { handler } = this.source
    handler.vouched(false)
    this.stopFeed = this.source.follow({
      ...handler,
      answered: () => { this.heardAt = this.mono() },
      replaced: rows => {
        this.replaced(rows)
        handler.replaced(rows)
      },
      changed: rows => {
        for (const row of rows) this.known.set(row.key, this.entryOf(row))
        handler.changed(rows)
      },
      undecodable: (key, err) => {
        this.discard(key)
        handler.undecodable?.(key, err)
      }
    })
  }

  /**
   * Leaves the table to the digest.
   * @param told - what the digest says
   */
  followDigest (told: ReadonlyMap<string, DigestEntry>): void {
    this.stop()
    const { handler } = this.source
    handler.vouched(true)
    for (const [key, entry] of told) if (isLater(entry, this.known.get(key))) this.known.set(key, entry)
    handler.replaced([...this.known].map(([key, entry]) => this.rowOf(key, entry)).filter(({ value }) => value !== null))
  }

  /**
   * Takes an entry that the digest tells; one that is older than what is known is left out.
   * @param key - key of the row
   * @param entry - the entry
   */
  told (key: string, entry: DigestEntry): void {
    if (!isLater(entry, this.known.get(key))) return
    this.known.set(key, entry)
    this.source.handler.changed([this.rowOf(key, entry)])
  }

  /** The digest could not be read. */
  failed (...failure: Parameters<DigestSource<unknown>['handler']['failed']>): void {
    this.source.handler.failed(...failure)
  }

  /** Ends the feed of the table. */
  stop (): void {
    this.stopFeed?.()
    this.stopFeed = undefined
  }

  /** A row that is not there any more was deleted after the version that is known. */
  private replaced (rows: ReadonlyArray<FeedRow<T>>): void {
    const present = new Set(rows.map(({ key }) => key))
    const missing = [...this.known].filter(([key]) => !present.has(key))
    this.known = new Map(missing.map(([key, { version }]) => [key, { version, stage: 'gone' }]))
    for (const row of rows) this.known.set(row.key, this.entryOf(row))
  }

  /** A row that cannot be decoded any more must not be told as it was before. */
  private discard (key: string): void {
    const known = this.known.get(key)
    if (known !== undefined) this.known.set(key, { version: known.version, stage: 'gone' })
  }

  private staged (key: string, entry: DigestEntry): DigestEntry {
    if (entry.stage === 'gone') return entry
    const stage = this.source.stageOf(key)
    return stage === 'gone' ? { version: entry.version, stage } : { ...entry, stage }
  }

  private entryOf ({ value, version }: FeedRow<T>): DigestEntry {
    return value === null ? { version, stage: 'gone' } : { version, stage: 'present', value: this.source.encode(value) }
  }

  private rowOf (key: string, { version, stage, value }: DigestEntry): FeedRow<T> {
    return { key, version, value: stage === 'gone' ? null : this.source.decode(value, stage === 'late') }
  }
}
