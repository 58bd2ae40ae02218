/**
 * What the digest needs of a table that it passes on, and of who follows it.
 */
import type { DigestStage } from '@rosemaryspread/decisions/digest/digestEntry.js'
import type { FeedHandler } from '@rosemaryspread/infra/table/tableFeed.js'

/** Table of the digest; keys are `<table>/<key of the row>` and `beat/<vm>`. */
export const DIGEST_TABLE = 'digests'

/** Takes what a table tells, by its own feed or by the digest. */
export interface DigestHandler<T> extends FeedHandler<T> {
  /**
   * Takes whether rows are told by the digest from now on: then their silence says nothing, and one whose owner missed
   * heartbeats is told as late.
   * @param isVouched - whether they are
   */
  vouched? (isVouched: boolean): void
}

/** A table of heartbeats. */
export interface DigestSource<T> {
  /** Name in the keys of the digest. */
  readonly name: string
  readonly handler: DigestHandler<T>
  /**
   * Follows the table itself.
   * @param handler - takes what it tells
   * @returns ends that
   */
  follow (handler: FeedHandler<T>): () => void
  /**
   * The value of a row without what changes with each heartbeat; a JSON value.
   * @param value - the value
   */
  encode (value: T): unknown
  /**
   * The value of a row from the digest; throws on one that does not fit.
   * @param value - the JSON value
   * @param isLate - whether heartbeats of its owner are missing
   */
  decode (value: unknown, isLate: boolean): T
  /**
   * How the owner of a row is doing, as this VM sees it.
   * @param key - key of the row
   */
  stageOf (key: string): DigestStage
}
