/**
 * Publishes the digest: the changes that one publisher VM observes and the digest lacks. The first
 * publisher writes at once, the others only what has been missing for a while.
 */
import { needsPublishing, type DigestEntry } from '@rosemaryspread/decisions/digest/digestEntry.js'
import { DIGEST_HEARTBEAT_MS } from '@rosemaryspread/decisions/digest/digestTrust.js'
import type { RowWrite, TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { DIGEST_TABLE } from './digestTypes.js'

/** Delay after which the second publisher writes what the first omitted; the third waits twice as long. */
const STANDBY_DELAY_MS = 400
/** Limit of entries in one transaction, besides the heartbeat. */
const MAX_ENTRIES_PER_WRITE = 90
/** Milliseconds for which the digest retains the entry of a removed row. */
const REMOVED_RETENTION_MS = 60_000
/** Milliseconds after which an entry without a row counts as removed; until then another publisher may have read a new row first. */
const MISSING_ROW_TIMEOUT_MS = 2_000

export interface DigestPublisherParts {
  readonly vm: string
  readonly table: TableStore
  /** Called for each entry that was written; undefined when it was deleted. */
  onWritten (key: string, entry: DigestEntry | undefined): void
  /** Called with the result code of a write that failed; the changes stay due. */
  onFailed (code: string): void
}

/** Input of one publishing pass. Times are monotonic milliseconds. */
export interface DigestState {
  readonly mono: number
  /** Rank among the publishers, 0 for the first. */
  readonly rank: number
  /** Entries of the rows that this VM reads, by digest key. */
  readonly observed: ReadonlyMap<string, DigestEntry>
  /** Entries in the digest. */
  readonly published: ReadonlyMap<string, DigestEntry>
  /** Whether the feeds of all tables responded recently. */
  readonly areFeedsHealthy: boolean
  /** Milliseconds since a heartbeat of any publisher was received. */
  readonly silenceMs: number
}

/** Publisher of one VM; it writes only while {@link tick} is called, that is while the VM ranks among the publishers. */
export class DigestPublisher {
  private beat = 0
  private lastHeartbeatAt = -Infinity
  private isWriting = false
  /** Time since which the digest has lacked a change, by digest key. */
  private readonly omittedSince = new Map<string, number>()
  private readonly removedSince = new Map<string, number>()
  private readonly missingSince = new Map<string, number>()

  constructor (private readonly parts: DigestPublisherParts) {}

  /** Writes the changes that are due. Must be called several times a second. */
  async tick (state: DigestState): Promise<void> {
    if (this.isWriting || !state.areFeedsHealthy) return
    const changes = this.findChanges(state)
    const due = changes.filter(([key]) => this.isDue(key, state)).slice(0, MAX_ENTRIES_PER_WRITE)
    const expired = this.expiredKeys(state)
    const writesHeartbeat = this.isHeartbeatDue(state)
    if (due.length === 0 && expired.length === 0 && !writesHeartbeat) return
    const writes = [
      ...due.map(([key, entry]): RowWrite => ({ table: DIGEST_TABLE, key, value: entry })),
      ...expired.map((key): RowWrite => ({ table: DIGEST_TABLE, key, value: null })),
      ...(writesHeartbeat ? [this.nextHeartbeat(state.mono, due.length === changes.length)] : [])
    ]
    await this.write(writes, due, expired)
  }

  private async write (writes: readonly RowWrite[], due: ReadonlyArray<readonly [string, DigestEntry]>, expired: readonly string[]): Promise<void> {
    this.isWriting = true
    const written = await this.parts.table.transact({ checks: [], writes: [...writes] })
    this.isWriting = false
    written.caseOf({
      Left: ({ code }) => { this.parts.onFailed(code) },
      Right: () => {
        for (const [key, entry] of due) this.parts.onWritten(key, entry)
        for (const key of expired) this.parts.onWritten(key, undefined)
      }
    })
  }

  private findChanges (state: DigestState): ReadonlyArray<readonly [string, DigestEntry]> {
    const { observed, published, mono } = state
    const changes = [...[...observed].filter(([key, entry]) => needsPublishing(entry, published.get(key))), ...this.missingRows(state)]
    trackFirstSeen(this.omittedSince, changes.map(([key]) => key), mono)
    return changes
  }

  /** Entries whose rows were removed while no VM published; nothing else would correct them. */
  private missingRows ({ observed, published, mono }: DigestState): ReadonlyArray<readonly [string, DigestEntry]> {
    const entries = [...published].filter(([key, { stage }]) => stage !== 'gone' && !observed.has(key))
    trackFirstSeen(this.missingSince, entries.map(([key]) => key), mono)
    return entries
      .filter(([key]) => mono - (this.missingSince.get(key) ?? mono) >= MISSING_ROW_TIMEOUT_MS)
      .map(([key, { version }]) => [key, { version, stage: 'gone' }])
  }

  private isDue (key: string, { rank, mono }: DigestState): boolean {
    return mono - (this.omittedSince.get(key) ?? mono) >= rank * STANDBY_DELAY_MS
  }

  /** Entries of removed rows whose retention has expired. */
  private expiredKeys ({ published, rank, mono }: DigestState): readonly string[] {
    const removed = [...published].filter(([, { stage }]) => stage === 'gone').map(([key]) => key)
    trackFirstSeen(this.removedSince, removed, mono)
    if (rank !== 0) return []
    return removed.filter(key => mono - (this.removedSince.get(key) ?? mono) >= REMOVED_RETENTION_MS).slice(0, MAX_ENTRIES_PER_WRITE)
  }

  private isHeartbeatDue ({ rank, mono, silenceMs }: DigestState): boolean {
    if (mono - this.lastHeartbeatAt < DIGEST_HEARTBEAT_MS) return false
    return rank === 0 || silenceMs >= DIGEST_HEARTBEAT_MS + rank * STANDBY_DELAY_MS
  }

  private nextHeartbeat (mono: number, isComplete: boolean): RowWrite {
    this.lastHeartbeatAt = mono
    this.beat += 1
    return { table: DIGEST_TABLE, key: `beat/${this.parts.vm}`, value: { beat: this.beat, isComplete } }
  }
}

/** Records the time at which each key was first present, and drops the keys that no longer are. */
function trackFirstSeen (since: Map<string, number>, keys: readonly string[], mono: number): void {
  const present = new Set(keys)
  for (const key of since.keys()) if (!present.has(key)) since.delete(key)
  for (const key of present) if (!since.has(key)) since.set(key, mono)
}
