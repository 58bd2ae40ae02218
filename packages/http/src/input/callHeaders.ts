/**
 * Validates the request headers of a call: idempotency key, timeout and budget.
 */
import type { IncomingHttpHeaders } from 'node:http'
import * as z from 'zod'
import { validate, type Validated } from './inputChecks.js'

const maxTimeoutMs = 3_600_000
const timeoutMessage = `use a whole number of milliseconds from 1 to ${maxTimeoutMs}`

/** The keys appear in error messages. */
const callHeadersSchema = z.object({
  'header Idempotency-Key': z.string()
    .regex(/^[\x20-\x7e]{1,256}$/, 'use 1 to 256 printable ASCII characters')
    .optional(),
  'header X-Timeout-Ms': z.string()
    .regex(/^[0-9]{1,7}$/, timeoutMessage)
    .transform(Number)
    .refine((ms) => ms >= 1 && ms <= maxTimeoutMs, timeoutMessage)
    .optional(),
  'header X-Budget': z.string()
    .regex(/^[a-z0-9][a-z0-9._-]{0,62}(:[a-z0-9][a-z0-9._-]{0,62})?$/, 'use the budget of the team, or a part of it as budget:part')
    .optional()
})

export interface CallHeaders {
  readonly idempotencyKey?: string
  readonly timeoutMs?: number
  /** Budget of the team, or a share of it as `budget:part`. */
  readonly budget?: string
}

export function parseCallHeaders (headers: IncomingHttpHeaders): Validated<CallHeaders> {
  const raw = {
    'header Idempotency-Key': headers['idempotency-key'],
    'header X-Timeout-Ms': headers['x-timeout-ms'],
    'header X-Budget': headers['x-budget']
  }
  return validate(callHeadersSchema, raw, 'headers').map((values) => {
    const key = values['header Idempotency-Key']
    const timeoutMs = values['header X-Timeout-Ms']
    const budget = values['header X-Budget']
    return {
      ...(key === undefined ? {} : { idempotencyKey: key }),
      ...(timeoutMs === undefined ? {} : { timeoutMs }),
      ...(budget === undefined ? {} : { budget })
    }
  })
}
