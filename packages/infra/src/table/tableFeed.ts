/**
 * A feed of the changes of one table, for stores that offer one. It takes the place of polls and
 * of messages between VMs: whoever writes a row is heard by all who follow its table.
 */
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'

/** A row as the feed tells it; `value` is null when the row was deleted. */
export interface FeedRow<T = unknown> {
  readonly key: string
  readonly value: T | null
  readonly version: number
}

/** Takes what the feed tells. */
export interface FeedHandler<T = unknown> {
  /** The whole table, read at the start and after a gap. */
  replaced (rows: ReadonlyArray<FeedRow<T>>): void
  /** Rows that changed since, in order. */
  changed (rows: ReadonlyArray<FeedRow<T>>): void
  /** The store could not be reached, or what it told could not be taken; the feed goes on trying. */
  failed (failure: Failure): void
  /** The store answered, also where nothing changed. */
  answered? (): void
  /** A row was left out because its value cannot be decoded. */
  undecodable? (key: string, err: unknown): void
}

/** How a table is followed: `often` written tables are read in steps, `seldom` written ones wait long and tell at once. */
export type FeedPace = 'often' | 'seldom'

/** Feeds of the tables of a store. */
export interface TableFeed {
  /**
   * Follows a table until the answer is called.
   * @param table - name of the table
   * @param handler - takes what the feed tells
   * @param pace - how often the table is written; `often` unless given
   */
  follow (table: string, handler: FeedHandler, pace?: FeedPace): () => void
}
