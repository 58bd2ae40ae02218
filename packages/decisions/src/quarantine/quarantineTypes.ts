/**
 * What VMs tell each other of requests under which targets ended. One schema is the source of the types, of the rows in the table
 * and of the messages over links. A request is named by a digest of what makes it the same when it comes again.
 */
import * as z from 'zod'

/** Table of the rows, which a feed carries to all VMs. */
export const QUARANTINE_TABLE = 'quarantine'

/** Digests in one row at most: more calls than a target has open from one VM, and 12 KB of the 64 KB that a row may have. */
export const MOST_DIGESTS = 500
/** Ends in one row at most, and so those that are remembered of a request. */
export const MOST_ENDS = 50
const MOST_CHARACTERS = 200

const digestSchema = z.string().min(1).max(MOST_CHARACTERS)

/** The end of one process of a target. */
export const targetEndSchema = z.object({
  target: z.string().max(MOST_CHARACTERS),
  /** Failure domain of the target. */
  domain: z.string().max(MOST_CHARACTERS),
  /** Unix milliseconds of the start of the process; tells processes under one id apart, absent where it is not known. */
  startedAt: z.number().optional(),
  /** Wall-clock milliseconds at which its calls broke. */
  at: z.number()
})
export type TargetEnd = z.infer<typeof targetEndSchema>

/** A VM saw targets end while requests were open there. */
export const endReportSchema = z.object({
  kind: z.literal('ended'),
  ends: z.array(targetEndSchema).min(1).max(MOST_ENDS),
  digests: z.array(digestSchema).max(MOST_DIGESTS)
})
export type EndReport = z.infer<typeof endReportSchema>

/** A request is not sent on any more. */
export const verdictSchema = z.object({
  kind: z.literal('quarantined'),
  digest: digestSchema,
  ends: z.array(targetEndSchema).max(MOST_ENDS),
  /** How often it was quarantined, this time included. */
  level: z.number().int().positive()
})
export type Verdict = z.infer<typeof verdictSchema>

/** Ends that do not count for a request: it was answered since, or an operator says so. */
export const clearanceSchema = z.object({
  kind: z.literal('cleared'),
  digest: digestSchema,
  /** Names of the processes, see {@link processOf}. */
  processes: z.array(z.string()).max(MOST_ENDS)
})
export type Clearance = z.infer<typeof clearanceSchema>

/** All that is told. */
export const quarantineNewsSchema = z.discriminatedUnion('kind', [endReportSchema, verdictSchema, clearanceSchema])
export type QuarantineNews = z.infer<typeof quarantineNewsSchema>

/** How a request stands: `suspected` once a target ended under it, `quarantined` when it is not sent on any more. */
export type Standing = 'clear' | 'suspected' | 'quarantined'

/** A request as operators see it. */
export interface SuspectView {
  readonly digest: string
  readonly standing: Standing
  readonly ends: readonly TargetEnd[]
  readonly level: number
  /** Milliseconds until the quarantine ends by itself; absent where there is none. */
  readonly leftMs?: number
}

/**
 * Name of the process of a target that ended.
 * @param end - the end
 */
export function processOf ({ target, startedAt }: Pick<TargetEnd, 'target' | 'startedAt'>): string {
  return `${target}@${startedAt ?? ''}`
}
