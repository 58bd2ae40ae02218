/**
 * Entries of a digest, each with the state of one row of a heartbeat table. A few VMs follow such a table and publish to the
 * digest only what changes beyond heartbeats; all other VMs read the digest.
 */
import * as z from 'zod'

/** Stages of the owner of a row, in order. */
const stages = ['present', 'late', 'gone'] as const

export const digestEntrySchema = z.object({
  /** Version of the row in its table. */
  version: z.number().int(),
  /** `late` while heartbeats are missing, `gone` once the row was deleted or its owner is considered terminated. */
  stage: z.enum(stages),
  /** Value of the row without the fields that change with each heartbeat; absent if `gone`. */
  value: z.unknown().optional()
})
export type DigestEntry = z.infer<typeof digestEntrySchema>
export type DigestStage = DigestEntry['stage']

/** Version and stage of a row, without its value. */
type RowState = Pick<DigestEntry, 'version' | 'stage'>

/**
 * Whether an entry is newer than another of the same row: publishers see a table at different times, and the slower one must not
 * revert what the other published.
 * @param current - absent if there is no entry
 */
export function isLater (next: RowState, current: RowState | undefined): boolean {
  if (current === undefined) return true
  if (next.version !== current.version) return next.version > current.version
  return stages.indexOf(next.stage) > stages.indexOf(current.stage)
}

/**
 * Whether an entry has to be published: it is newer than the published one and differs from it in stage or value.
 * @param next - the row as this VM sees it
 * @param published - the published entry; absent if there is none
 */
export function needsPublishing (next: DigestEntry, published: DigestEntry | undefined): boolean {
  if (published === undefined) return next.stage !== 'gone'
  return isLater(next, published) && (next.stage !== published.stage || JSON.stringify(next.value) !== JSON.stringify(published.value))
}
