/**
 * What a digest says of one row of a table of heartbeats. A few VMs follow such a table themselves and
 * write into the digest only what changed beside the heartbeats; all others read the digest.
 */
import * as z from 'zod'

/** Stages of the owner of a row, from the first to the last. */
const stages = ['present', 'late', 'gone'] as const

/** One entry. */
export const digestEntrySchema = z.object({
  /** Version of the row in its table. */
  version: z.number().int(),
  /** `late` while heartbeats are missing, `gone` once the row was deleted or its owner counts as ended. */
  stage: z.enum(stages),
  /** Value of the row without what changes with each heartbeat; absent when it is gone. */
  value: z.unknown().optional()
})
export type DigestEntry = z.infer<typeof digestEntrySchema>
export type DigestStage = DigestEntry['stage']

/** Where a row stands, whatever its value. */
type RowState = Pick<DigestEntry, 'version' | 'stage'>

/**
 * Whether an entry is later than another of the same row: two VMs that pass a table on see it at different times,
 * and the slower one must not take back what the other told.
 * @param next - the entry that may be later
 * @param known - the other; absent when there is none
 */
export function isLater (next: RowState, known: RowState | undefined): boolean {
  if (known === undefined) return true
  if (next.version !== known.version) return next.version > known.version
  return stages.indexOf(next.stage) > stages.indexOf(known.stage)
}

/**
 * Whether an entry has to be told: it is later than what is told, and says something else.
 * @param next - what a VM sees
 * @param told - what the digest says; absent when it says nothing
 */
export function isNews (next: DigestEntry, told: DigestEntry | undefined): boolean {
  if (told === undefined) return next.stage !== 'gone'
  return isLater(next, told) && (next.stage !== told.stage || JSON.stringify(next.value) !== JSON.stringify(told.value))
}
