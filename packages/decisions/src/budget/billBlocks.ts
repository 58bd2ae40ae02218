/**
 * Selects segments to archive together. The sequence numbers of a holder are divided into fixed blocks, so that every VM derives
 * the same object. A block is closed once a segment of a later block exists, because a holder writes its flushes one at a time
 * in sequence. The newest numbered segment thus always remains in the table, so that a retried flush finds its earlier effect.
 */
import { Just, Nothing, type Maybe } from 'purify-ts'
import { segmentKey } from './budgetKeys.js'
import { RUN_RETENTION_MS } from './recoveryRules.js'

/** Age, by the table clock, after which a segment is archived: three times the retention of runs. */
export const SEGMENT_ARCHIVE_MS = 3 * RUN_RETENTION_MS
/** Sequence numbers, and so maximum segments, in a block. */
export const BLOCK_SEGMENTS = 200

const NUMBERED = /^(.+)\/(\d{12})$/

export interface SegmentAtVersion {
  readonly key: string
  readonly version: number
  readonly value?: unknown
  /** Table clock in milliseconds at the write. */
  readonly updatedAt: number
}

export interface BillBlock {
  /** Object name. */
  readonly name: string
  /** Object content; deterministic for a block. */
  readonly content: string
  readonly segments: readonly SegmentAtVersion[]
}

/** Holder and sequence number of a segment; undefined for one written by a recovery. */
function numberOf (key: string): { readonly holder: string, readonly seq: number } | undefined {
  const [, holder, digits] = NUMBERED.exec(key) ?? []
  return holder === undefined ? undefined : { holder, seq: Number(digits) }
}

/**
 * Whether a segment is old enough to be archived.
 * @param now - table clock in milliseconds
 */
export function isArchivable (segment: SegmentAtVersion, now: number): boolean {
  return now - segment.updatedAt > SEGMENT_ARCHIVE_MS
}

/**
 * The next block to archive; nothing while it is open or not old enough.
 * @param segments - oldest segments of one holder by key, at least one more than a block contains
 * @param now - table clock in milliseconds
 */
export function nextBlock (segments: readonly SegmentAtVersion[], now: number): Maybe<BillBlock> {
  const numbered = segments.flatMap(segment => {
    const number = numberOf(segment.key)
    return number === undefined ? [] : [{ segment, ...number }]
  })
  const oldest = numbered[0]
  if (oldest === undefined) return Nothing
  const first = oldest.seq - oldest.seq % BLOCK_SEGMENTS
  const last = first + BLOCK_SEGMENTS - 1
  const block = numbered.filter(({ seq }) => seq <= last).map(({ segment }) => segment)
  const isClosed = numbered.length > block.length
  if (!isClosed || !block.every(segment => isArchivable(segment, now))) return Nothing
  return Just({ name: nameOf(oldest.holder, first, last), content: contentOf(block), segments: block })
}

function nameOf (holder: string, first: number, last: number): string {
  const digits = (seq: number): string => segmentKey(holder, seq).slice(holder.length + 1)
  return `bills/${holder}/${digits(first)}-${digits(last)}.json`
}

function contentOf (block: readonly SegmentAtVersion[]): string {
  return `${JSON.stringify({ segments: block.map(({ key, updatedAt, value }) => ({ key, updatedAt, segment: value })) })}\n`
}
