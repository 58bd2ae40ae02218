/**
 * Follows heartbeat tables at a cost that does not grow with the number of their rows: in a large fleet a few publishers follow
 * the tables and write a digest of the changes, and all other VMs read the digest. No VM depends on the publishers: when no
 * complete digest is confirmed for some seconds, each VM follows the tables itself.
 */
import { toFailure, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { digestEntrySchema, type DigestEntry } from '@rosemaryspread/decisions/digest/digestEntry.js'
import { MAX_VMS_WITHOUT_DIGEST, publisherRank } from '@rosemaryspread/decisions/digest/digestRank.js'
import { digestHeartbeatSchema, DigestTrust } from '@rosemaryspread/decisions/digest/digestTrust.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { FeedRow, TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { DigestedTable } from './digestedTable.js'
import { DigestPublisher } from './digestPublisher.js'
import { DIGEST_TABLE, type DigestSource } from './digestTypes.js'

/** Interval between two publishing passes. */
const PUBLISH_INTERVAL_MS = 250
/** Age of the last feed response up to which this VM may publish. */
const MAX_RESPONSE_AGE_MS = 2_000
const HEARTBEAT_PREFIX = 'beat/'

export interface TableDigestParts {
  readonly vm: string
  readonly table: TableStore
  readonly feed: TableFeed
  readonly clock: Clock
  readonly log: EventLog
  /** Names of the VMs present, this one included; empty until they are known. */
  vms (): readonly string[]
}

/** Reads the digest, and writes it when this VM is a publisher. */
export class TableDigest {
  private readonly tables: DigestedTable[] = []
  private readonly trust = new DigestTrust()
  private readonly publisher: DigestPublisher
  /** Entries of the digest, by digest key. */
  private published = new Map<string, DigestEntry>()
  private stopFeed: (() => void) | undefined
  private lastPassAt = -Infinity
  private isStopped = false

  constructor (private readonly parts: TableDigestParts) {
    this.publisher = new DigestPublisher({
      vm: parts.vm,
      table: parts.table,
      onWritten: (key, entry) => { this.applyEntry(key, entry) },
      onFailed: code => { parts.log.write('platformFault', { service: 'table', operation: 'digest', code }) }
    })
  }

  /** Follows a table, through its own feed at first. */
  follow<T> (source: DigestSource<T>): void {
    const table = new DigestedTable(source, () => this.mono)
    this.tables.push(table)
    table.followDirect()
  }

  /** Chooses between the feeds and the digest, and publishes changes that are due. Must be called several times a second. */
  tick (): void {
    if (this.isStopped || this.mono - this.lastPassAt < PUBLISH_INTERVAL_MS) return
    this.lastPassAt = this.mono
    const vms = this.parts.vms()
    if (vms.length <= MAX_VMS_WITHOUT_DIGEST) {
      this.stopDigest()
      return
    }
    this.stopFeed ??= this.subscribeDigest()
    const rank = publisherRank(this.parts.vm, vms)
    if (rank === undefined && this.trust.isTrusted(this.mono)) this.switchToDigest()
    else this.switchToDirect()
    if (rank !== undefined) this.publish(rank)
  }

  /** Ends all subscriptions; later ticks do nothing. */
  stop (): void {
    this.isStopped = true
    this.stopFeed?.()
    for (const table of this.tables) table.stop()
  }

  private publish (rank: number): void {
    const { mono } = this
    const observed = new Map(this.tables.flatMap(table => [...table.entries()].map(([key, entry]): [string, DigestEntry] => [`${table.name}/${key}`, entry])))
    const areFeedsHealthy = this.tables.every(({ lastResponseAt }) => mono - lastResponseAt <= MAX_RESPONSE_AGE_MS)
    this.publisher.tick({ mono, rank, observed, published: this.published, areFeedsHealthy, silenceMs: this.trust.silenceMs(mono) })
      .catch((err: unknown) => { this.parts.log.write('fault', { err: toFailure(err).message }) })
  }

  private stopDigest (): void {
    this.stopFeed?.()
    this.stopFeed = undefined
    this.trust.lost()
    this.switchToDirect()
  }

  private switchToDirect (): void {
    if (this.tables.every(({ isDirect }) => isDirect)) return
    for (const table of this.tables) table.followDirect()
    this.parts.log.write('digestFollowed', { isFollowed: false, entries: this.published.size })
  }

  private switchToDigest (): void {
    if (!this.tables.some(({ isDirect }) => isDirect)) return
    for (const table of this.tables) table.followDigest(this.publishedEntriesOf(table))
    this.parts.log.write('digestFollowed', { isFollowed: true, entries: this.published.size })
  }

  private subscribeDigest (): () => void {
    return this.parts.feed.follow(DIGEST_TABLE, {
      replaced: rows => {
        this.published = new Map()
        for (const row of rows) if (!row.key.startsWith(HEARTBEAT_PREFIX)) this.applyRow(row)
        this.deliverPublished()
      },
      changed: rows => { for (const row of rows) this.applyRow(row) },
      failed: failure => { this.reportReadFailure(failure) },
      undecodable: key => { this.handleUndecodable(key) }
    })
  }

  /** An entry that cannot be decoded counts as unpublished, so that a publisher writes it again. */
  private applyRow ({ key, value }: FeedRow): void {
    if (key.startsWith(HEARTBEAT_PREFIX)) this.applyHeartbeat(key, value)
    else if (value === null) this.applyEntry(key, undefined)
    else {
      const entry = digestEntrySchema.safeParse(value)
      if (entry.success && this.isDecodable(key, entry.data)) this.applyEntry(key, entry.data)
      else {
        this.published.delete(key)
        this.handleUndecodable(key)
      }
    }
  }

  private applyHeartbeat (key: string, value: unknown): void {
    const heartbeat = digestHeartbeatSchema.safeParse(value)
    if (heartbeat.success) this.trust.recordHeartbeat(heartbeat.data, this.mono)
    else if (value !== null) this.handleUndecodable(key)
  }

  private applyEntry (key: string, entry: DigestEntry | undefined): void {
    if (entry === undefined) this.published.delete(key)
    else this.published.set(key, entry)
    const table = this.tableOf(key)
    if (entry !== undefined && table?.isDirect === false) table.applyEntry(rowKeyOf(table, key), entry)
  }

  private isDecodable (key: string, entry: DigestEntry): boolean {
    return this.tableOf(key)?.isDecodable(entry) ?? true
  }

  private tableOf (key: string): DigestedTable | undefined {
    return this.tables.find(({ name }) => key.startsWith(`${name}/`))
  }

  private deliverPublished (): void {
    for (const table of this.tables) if (!table.isDirect) table.followDigest(this.publishedEntriesOf(table))
  }

  private publishedEntriesOf (table: DigestedTable): ReadonlyMap<string, DigestEntry> {
    const entries = [...this.published].filter(([key]) => this.tableOf(key) === table)
    return new Map(entries.map(([key, entry]) => [rowKeyOf(table, key), entry]))
  }

  private reportReadFailure (failure: Failure): void {
    for (const table of this.tables) if (!table.isDirect) table.failed(failure)
  }

  private handleUndecodable (key: string): void {
    this.trust.lost()
    this.parts.log.write('platformFault', { service: 'digest', operation: 'decode', code: key })
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}

function rowKeyOf ({ name }: DigestedTable, key: string): string {
  return key.slice(name.length + 1)
}
