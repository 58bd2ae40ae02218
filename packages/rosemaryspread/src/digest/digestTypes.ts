/**
 * Interfaces between the digest, the tables it covers and the handlers that follow them.
 */
import type { DigestStage } from '@rosemaryspread/decisions/digest/digestEntry.js'
import type { FeedHandler } from '@rosemaryspread/infra/table/tableFeed.js'

/** Table of the digest; keys are `<table>/<key of the row>` and `beat/<vm>`. */
export const DIGEST_TABLE = 'digests'

/** Receives the rows of a table, from its own feed or from the digest. */
export interface DigestHandler<T> extends FeedHandler<T> {
  /**
   * Called when the source of the rows changes. The digest omits heartbeats, so an unchanged row says nothing about its
   * owner; a row whose owner missed heartbeats is delivered as late.
   */
  sourceChanged? (isDigest: boolean): void
}

/** A table of heartbeats. */
export interface DigestSource<T> {
  /** Prefix of its keys in the digest. */
  readonly name: string
  readonly handler: DigestHandler<T>
  /** Subscribes to the feed of the table; the returned function ends the subscription. */
  follow (handler: FeedHandler<T>): () => void
  /** The value of a row as JSON, without the fields that change with each heartbeat. */
  encode (value: T): unknown
  /**
   * Decodes the value of a row from the digest; throws when it is malformed.
   * @param isLate - whether heartbeats of its owner are missing
   */
  decode (value: unknown, isLate: boolean): T
  /** Stage of the owner of a row as observed by this VM. */
  stageOf (key: string): DigestStage
}
