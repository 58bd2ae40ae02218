/**
 * Writes the digest: what one VM that passes tables on sees and the digest does not say. The first of
 * these VMs writes at once, the others only what it left out for a while.
 */
import { needsPublishing, type DigestEntry } from '@rosemaryspread/decisions/digest/digestEntry.js'
import { DIGEST_HEARTBEAT_MS } from '@rosemaryspread/decisions/digest/digestTrust.js'
import type { RowWrite, TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { DIGEST_TABLE } from './digestTypes.js'

/** Milliseconds after which the second of the VMs writes what the first left out, the third after twice as many. */
const STAND_BY_MS = 400
/** Entries of one transaction, besides the beat. */
const MOST_WRITTEN = 90
/** Milliseconds for which the digest keeps an entry of a row that is gone. */
const KEEP_GONE_MS = 60_000
/** Milliseconds after which an entry whose row this VM does not see counts as gone: another VM may have seen a new row first. */
const UNSEEN_MS = 2_000

/** What the teller works with. */
export interface DigestTellerParts {
  readonly vm: string
  readonly table: TableStore
  /** Told of entries that were written. */
  written (key: string, entry: DigestEntry | undefined): void
  failed (code: string): void
}

/** What is to be told at one moment. Times are monotonic milliseconds. */
export interface DigestSight {
  readonly mono: number
  /** Place among the VMs that pass tables on. */
  readonly rank: number
  /** What this VM sees, by key of the digest. */
  readonly seen: ReadonlyMap<string, DigestEntry>
  /** What the digest says. */
  readonly told: ReadonlyMap<string, DigestEntry>
  /** Whether this VM is in touch with all tables. */
  readonly isInTouch: boolean
  /** Milliseconds since a beat of any VM was heard. */
  readonly silentMs: number
}

/** Writes the digest of one VM. */
export class DigestTeller {
  private beat = 0
  private beatAt = -Infinity
  private isWriting = false
  /** Since when an entry has been left out. */
  private readonly leftOutSince = new Map<string, number>()
  private readonly goneSince = new Map<string, number>()
  private readonly unseenSince = new Map<string, number>()

  constructor (private readonly parts: DigestTellerParts) {}

  /**
   * Writes what is due; to be called several times a second.
   * @param sight - what this VM sees and what is told
   */
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

  /** Entries of rows that went while nobody passed the table on; nobody else would take them back. */
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

  /** Entries of rows that have been gone for long. */
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

/** Keeps since when each of some keys has been among them. */
function noteSince (since: Map<string, number>, keys: readonly string[], mono: number): void {
  const present = new Set(keys)
  for (const key of since.keys()) if (!present.has(key)) since.delete(key)
  for (const key of present) if (!since.has(key)) since.set(key, mono)
}
