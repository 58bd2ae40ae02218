/**
 * Interface of change feeds, for table stores that offer them. A feed replaces polling and messages
 * between VMs: every write reaches all subscribers of the table.
 */
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** A row of the feed; `value` is null for a deleted row. */
export interface FeedRow<T = unknown> {
  readonly key: string
  readonly value: T | null
  readonly version: number
}

export interface FeedHandler<T = unknown> {
  /** All rows of the table, at the start and after a gap. */
  replaced (rows: ReadonlyArray<FeedRow<T>>): void
  /** Rows changed since the previous call, in order. */
  changed (rows: ReadonlyArray<FeedRow<T>>): void
  /** The store could not be reached or its response was invalid; the feed retries. */
  failed (failure: Failure): void
  /** The store responded, with or without changes. */
  answered? (): void
  /** A row was skipped because its value cannot be decoded. */
  undecodable? (key: string, err: unknown): void
}

/** How often a table is written: `often` reads in batches at intervals, `seldom` uses long polls that return at once on a change. */
export type WriteFrequency = 'often' | 'seldom'

export interface TableFeed {
  /**
   * Subscribes to a table; the returned function unsubscribes.
   * @param writeFrequency - defaults to `often`
   */
  follow (table: string, handler: FeedHandler, writeFrequency?: WriteFrequency): () => void
}
