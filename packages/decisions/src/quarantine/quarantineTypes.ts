/**
 * Updates that VMs exchange about requests during which targets terminated. One schema defines the types, the table rows and the
 * messages between VMs. A request is identified by a digest of the content that makes a repeat the same request.
 */
import * as z from 'zod'

/** Table whose rows a change feed distributes to all VMs. */
export const QUARANTINE_TABLE = 'quarantine'

/** Digests per row: more than a target has open calls from one VM, and 12 KB of the 64 KB that a row may have. */
export const MAX_DIGESTS = 500
/** Ends per row, and therefore also per request. */
export const MAX_ENDS = 50
/** Parts of prompts per row, at some 40 bytes each. */
export const MAX_PARTS = 500
const MAX_CHARACTERS = 200

const digestSchema = z.string().min(1).max(MAX_CHARACTERS)

/** The termination of one process of a target. */
export const targetEndSchema = z.object({
  target: z.string().max(MAX_CHARACTERS),
  /** Failure domain of the target. */
  domain: z.string().max(MAX_CHARACTERS),
  /** Start of the process in Unix milliseconds, which distinguishes processes with the same id; absent when unknown. */
  startedAt: z.number().optional(),
  /** Wall time in milliseconds at which its calls broke off. */
  at: z.number()
})
export type TargetEnd = z.infer<typeof targetEndSchema>

/** A VM saw targets terminate while requests were in progress there. */
export const endReportSchema = z.object({
  kind: z.literal('ended'),
  ends: z.array(targetEndSchema).min(1).max(MAX_ENDS),
  digests: z.array(digestSchema).max(MAX_DIGESTS),
  /** Digests of the parts of their prompts that other requests may have too, each with the indices of the requests in `digests`. */
  parts: z.array(z.tuple([digestSchema, z.array(z.number().int().nonnegative()).max(MAX_DIGESTS)])).max(MAX_PARTS).optional()
})
export type EndReport = z.infer<typeof endReportSchema>

/** A request, or each one with a part of a prompt, is no longer forwarded. */
export const verdictSchema = z.object({
  kind: z.literal('quarantined'),
  digest: digestSchema,
  ends: z.array(targetEndSchema).max(MAX_ENDS),
  /** How often it has been quarantined, including this time. */
  level: z.number().int().positive()
})
export type Verdict = z.infer<typeof verdictSchema>

/** Ends that no longer count for a request, because it was answered since or an operator lifted the suspicion. */
export const clearanceSchema = z.object({
  kind: z.literal('cleared'),
  digest: digestSchema,
  /** Process keys, see {@link processKey}. */
  processes: z.array(z.string()).max(MAX_ENDS)
})
export type Clearance = z.infer<typeof clearanceSchema>

export const quarantineUpdateSchema = z.discriminatedUnion('kind', [endReportSchema, verdictSchema, clearanceSchema])
export type QuarantineUpdate = z.infer<typeof quarantineUpdateSchema>

/** `suspected` once a target terminated during the request, `quarantined` when it is no longer forwarded. */
export type RequestStanding = 'clear' | 'suspected' | 'quarantined'

/** A request or a part of prompts under suspicion, as shown to operators. */
export interface SuspectView {
  readonly digest: string
  readonly standing: RequestStanding
  readonly ends: readonly TargetEnd[]
  readonly level: number
  /** Milliseconds until the quarantine expires; absent when there is none. */
  readonly leftMs?: number
}

/** Key that identifies a terminated process of a target. */
export function processKey ({ target, startedAt }: Pick<TargetEnd, 'target' | 'startedAt'>): string {
  return `${target}@${startedAt ?? ''}`
}
