/**
 * One table of heartbeats as one VM follows it: by its own feed, or by the digest. Goes from one to the other
 * without taking back what it told.
 */
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { isLater, type DigestEntry, type DigestStage } from '@rosemaryspread/decisions/digest/digestEntry.js'
import type { FeedRow } from '@rosemaryspread/infra/table/tableFeed.js'
import type { DigestSource } from './digestTypes.js'

/** What this VM knows of a row. */
interface Known<T> {
  readonly version: number
  readonly stage: DigestStage
  /** Absent when the row is gone. */
  readonly value?: T
}

/** One table. */
export class DigestedTable<T = unknown> {
  /** When the table's own feed was answered last, in monotonic milliseconds. */
  heardAt = -Infinity
  private stopFeed: (() => void) | undefined
  /** What this VM knows, by key. */
  private known = new Map<string, Known<T>>()

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

  /** What this VM would tell, with the stage of each owner. */
  entries (): ReadonlyMap<string, DigestEntry> {
    return new Map([...this.known].map(([key, known]) => [key, this.entryOf(key, known)]))
  }

  /**
   * Whether the value of an entry is of a kind that this VM knows.
   * @param entry - the entry
   */
  isDecodable (entry: DigestEntry): boolean {
    try {
      this.knownOf(entry)
      return true
    } catch {
      return false
    }
  }

  /** Follows the table itself. */
  followDirect (): void {
    if (this.isDirect) return
    const { handler } = this.source
    handler.vouched?.(false)
    this.stopFeed = this.source.follow({
      ...handler,
      answered: () => { this.heardAt = this.mono() },
      replaced: rows => {
        this.replaced(rows)
        handler.replaced(rows)
      },
      changed: rows => {
        for (const row of rows) this.known.set(row.key, seen(row))
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
    handler.vouched?.(true)
    for (const [key, entry] of told) if (isLater(entry, this.known.get(key))) this.known.set(key, this.knownOf(entry))
    handler.replaced([...this.known].map(([key, known]) => rowOf(key, known)).filter(({ value }) => value !== null))
  }

  /**
   * Takes an entry that the digest tells; one that is older than what is known is left out.
   * @param key - key of the row
   * @param entry - the entry
   */
  told (key: string, entry: DigestEntry): void {
    if (!isLater(entry, this.known.get(key))) return
    const known = this.knownOf(entry)
    this.known.set(key, known)
    this.source.handler.changed([rowOf(key, known)])
  }

  /**
   * Takes that the digest could not be read.
   * @param failure - why
   */
  failed (failure: Failure): void {
    this.source.handler.failed(failure)
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
    for (const row of rows) this.known.set(row.key, seen(row))
  }

  /** A row that cannot be decoded any more must not be told as it was before. */
  private discard (key: string): void {
    const known = this.known.get(key)
    if (known !== undefined) this.known.set(key, { version: known.version, stage: 'gone' })
  }

  private entryOf (key: string, { version, stage, value }: Known<T>): DigestEntry {
    const present = stage === 'gone' ? stage : this.source.stageOf(key)
    return present === 'gone' || value === undefined ? { version, stage: 'gone' } : { version, stage: present, value: this.source.encode(value) }
  }

  private knownOf ({ version, stage, value }: DigestEntry): Known<T> {
    return stage === 'gone' ? { version, stage } : { version, stage, value: this.source.decode(value, stage === 'late') }
  }
}

function seen<T> ({ value, version }: FeedRow<T>): Known<T> {
  return value === null ? { version, stage: 'gone' } : { version, stage: 'present', value }
}

function rowOf<T> (key: string, { version, value }: Known<T>): FeedRow<T> {
  return { key, version, value: value ?? null }
}
