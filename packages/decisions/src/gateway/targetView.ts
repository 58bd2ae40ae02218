/**
 * How a target stands in the digest of the register.
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
  startedAt: z.number().optional(),
  /** JSON has null for what was no number. */
  warmUpMs: z.number().nullish()
})

/**
 * Decodes a target; throws on what is none.
 * @param value - JSON value
 */
export function decodeTargetView (value: unknown): TargetView {
  const { startedAt, warmUpMs, ...rest } = viewSchema.parse(value)
  return {
    ...rest,
    ...(startedAt === undefined ? {} : { startedAt }),
    ...(warmUpMs === undefined ? {} : { warmUpMs: warmUpMs ?? NaN })
  }
}
