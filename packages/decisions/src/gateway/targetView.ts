/**
 * Decodes targets as stored in the digest of the register.
 */
import * as z from 'zod'
import type { TargetView } from './targetSet.js'

const viewSchema = z.object({
  id: z.string(),
  service: z.string(),
  address: z.string(),
  domain: z.string(),
  slots: z.number(),
  isLeaving: z.boolean(),
  version: z.string().optional(),
  startedAt: z.number().optional(),
  /** null replaces a number that JSON cannot represent, such as NaN. */
  warmUpMs: z.number().nullish()
})

/** @throws if `value` is not a target */
export function decodeTargetView (value: unknown): TargetView {
  const { version, startedAt, warmUpMs, ...rest } = viewSchema.parse(value)
  return {
    ...rest,
    ...(version === undefined ? {} : { version }),
    ...(startedAt === undefined ? {} : { startedAt }),
    ...(warmUpMs === undefined ? {} : { warmUpMs: warmUpMs ?? NaN })
  }
}
