/**
 * Which segments may leave the table together. The numbers of a holder are cut into fixed blocks,
 * so that every VM that looks finds the same segments under the same name. A block is closed once
 * a segment of a later block exists: a holder writes one flush at a time, in the order of their
 * numbers. So the newest numbered segment always stays, by which a flush whose answer was lost
 * finds its own earlier effect, however late it is tried again.
 */
import { Just, Nothing, type Maybe } from 'purify-ts'
import { segmentKey } from './budgetKeys.js'
import { RUN_RETENTION_MS } from './recoveryRules.js'

/** Age, by the table's clock, after which a segment is archived; three times what runners remember. */
export const SEGMENT_ARCHIVE_MS = 3 * RUN_RETENTION_MS
/** Numbers in one block, so at most so many segments. */
export const BLOCK_SEGMENTS = 200

const NUMBERED = /^(.+)\/(\d{12})$/

/** A segment row as read. */
export interface SegmentAtVersion {
  readonly key: string
  readonly version: number
  readonly value?: unknown
  /** Table milliseconds of its writing. */
  readonly updatedAt: number
}

/** Segments that are archived together. */
export interface BillBlock {
  /** Name of the object. */
  readonly name: string
  /** What the object holds; the same for the same block. */
  readonly content: string
  readonly segments: readonly SegmentAtVersion[]
}

/** Holder and number of a segment; nothing for one that a recovery wrote. */
function numberOf (key: string): { readonly holder: string, readonly seq: number } | undefined {
  const [, holder, digits] = NUMBERED.exec(key) ?? []
  return holder === undefined ? undefined : { holder, seq: Number(digits) }
}

/**
 * Whether a segment is old enough to be archived.
 * @param segment - the segment
 * @param now - table milliseconds
 */
export function isArchivable (segment: SegmentAtVersion, now: number): boolean {
  return now - segment.updatedAt > SEGMENT_ARCHIVE_MS
}

/**
 * The block to archive next; nothing while it is open or not old enough.
 * @param segments - the oldest segments of one holder by key, at least one more than a block has
 * @param now - table milliseconds
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
