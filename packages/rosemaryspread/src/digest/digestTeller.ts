/**
 * Publishes the digest: the changes that one publisher VM observes and the digest lacks. The first
 * publisher writes at once, the others only what has been missing for a while.
 */
import { needsPublishing, type DigestEntry } from '@rosemaryspread/decisions/digest/digestEntry.js'
import { DIGEST_HEARTBEAT_MS } from '@rosemaryspread/decisions/digest/digestTrust.js'
import type { RowWrite, TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { DIGEST_TABLE } from './digestTypes.js'

/** Delay after which the second publisher writes what the first omitted; the third waits twice as long. */
const STAND_BY_MS = 400
/** Limit of entries in one transaction, besides the heartbeat. */
const MOST_WRITTEN = 90
/** Milliseconds for which the digest retains the entry of a removed row. */
const KEEP_GONE_MS = 60_000
/** Milliseconds after which an entry without a row counts as removed; until then another publisher may have read a new row first. */
const UNSEEN_MS = 2_000

export interface DigestTellerParts {
  readonly vm: string
  readonly table: TableStore
  /** Called for each entry that was written; undefined when it was deleted. */
  written (key: string, entry: DigestEntry | undefined): void
  failed (code: string): void
}

/** Input of one publishing pass. Times are monotonic milliseconds. */
export interface DigestSight {
  readonly mono: number
  /** Rank among the publishers, 0 for the first. */
  readonly rank: number
  /** Entries of the rows that this VM reads, by digest key. */
  readonly seen: ReadonlyMap<string, DigestEntry>
  /** Entries in the digest. */
  readonly told: ReadonlyMap<string, DigestEntry>
  /** Whether the feeds of all tables responded recently. */
  readonly isInTouch: boolean
  /** Milliseconds since a heartbeat of any publisher was received. */
  readonly silentMs: number
}

export class DigestTeller {
  private beat = 0
  private beatAt = -Infinity
  private isWriting = false
  /** Time since which the digest has lacked a change, by digest key. */
  private readonly leftOutSince = new Map<string, number>()
  private readonly goneSince = new Map<string, number>()
  private readonly unseenSince = new Map<string, number>()

  constructor (private readonly parts: DigestTellerParts) {}

  /** Writes the changes that are due. Must be called several times a second. */
  async tick (sight: DigestSight): Promise<void> {
    if (this.isWriting || !sight.isInTouch) return
    const news = this.newsOf(sight)
    const due = news.filter(([key]) => this.isDue(key, sight)).slice(0, MOST_WRITTEN)
    const forgotten = this.forgotten(sight)
    const isBeating = this.isBeatDue(sight)
    if (due.length === 0 && forgotten.length === 0 && !isBeating) return
    const writes = [
      ...due.map(([key, entry]): RowWrite => ({ table: DIGEST_TABLE, key, value: entry })),
      ...forgotten.map((key): RowWrite => ({ table: DIGEST_TABLE, key, value: null })),
      ...(isBeating ? [this.nextBeat(sight.mono, due.length === news.length)] : [])
    ]
    await this.write(writes, due, forgotten)
  }

  private async write (writes: readonly RowWrite[], due: ReadonlyArray<readonly [string, DigestEntry]>, forgotten: readonly string[]): Promise<void> {
    this.isWriting = true
    const written = await this.parts.table.transact({ checks: [], writes: [...writes] })
    this.isWriting = false
    written.caseOf({
      Left: ({ code }) => { this.parts.failed(code) },
      Right: () => {
        for (const [key, entry] of due) this.parts.written(key, entry)
        for (const key of forgotten) this.parts.written(key, undefined)
      }
    })
  }

  private newsOf (sight: DigestSight): ReadonlyArray<readonly [string, DigestEntry]> {
    const { seen, told, mono } = sight
    const news = [...[...seen].filter(([key, entry]) => needsPublishing(entry, told.get(key))), ...this.unseen(sight)]
    noteSince(this.leftOutSince, news.map(([key]) => key), mono)
    return news
  }

  /** Entries whose rows were removed while no VM published; nothing else would correct them. */
  private unseen ({ seen, told, mono }: DigestSight): ReadonlyArray<readonly [string, DigestEntry]> {
    const entries = [...told].filter(([key, { stage }]) => stage !== 'gone' && !seen.has(key))
    noteSince(this.unseenSince, entries.map(([key]) => key), mono)
    return entries
      .filter(([key]) => mono - (this.unseenSince.get(key) ?? mono) >= UNSEEN_MS)
      .map(([key, { version }]) => [key, { version, stage: 'gone' }])
  }

  private isDue (key: string, { rank, mono }: DigestSight): boolean {
    return mono - (this.leftOutSince.get(key) ?? mono) >= rank * STAND_BY_MS
  }

  /** Entries of removed rows whose retention has expired. */
  private forgotten ({ told, rank, mono }: DigestSight): readonly string[] {
    const gone = [...told].filter(([, { stage }]) => stage === 'gone').map(([key]) => key)
    noteSince(this.goneSince, gone, mono)
    if (rank !== 0) return []
    return gone.filter(key => mono - (this.goneSince.get(key) ?? mono) >= KEEP_GONE_MS).slice(0, MOST_WRITTEN)
  }

  private isBeatDue ({ rank, mono, silentMs }: DigestSight): boolean {
    if (mono - this.beatAt < DIGEST_HEARTBEAT_MS) return false
    return rank === 0 || silentMs >= DIGEST_HEARTBEAT_MS + rank * STAND_BY_MS
  }

  private nextBeat (mono: number, isComplete: boolean): RowWrite {
    this.beatAt = mono
    this.beat += 1
    return { table: DIGEST_TABLE, key: `beat/${this.parts.vm}`, value: { beat: this.beat, isComplete } }
  }
}

/** Records the time at which each key was first present, and drops the keys that no longer are. */
function noteSince (since: Map<string, number>, keys: readonly string[], mono: number): void {
  const present = new Set(keys)
  for (const key of since.keys()) if (!present.has(key)) since.delete(key)
  for (const key of present) if (!since.has(key)) since.set(key, mono)
}
