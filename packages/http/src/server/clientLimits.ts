/**
 * Limits on the requests that clients send ahead: over HTTP/1.1 a client may send further requests before it has received the answer to the
 * first. The server keeps each of them until its turn has come, so that their number needs a limit.
 */
import * as z from 'zod'

const positiveInt = z.number().int().positive()

export const clientLimitsSchema = z.strictObject({
  /** Requests that one connection may have open besides the first; it is closed beyond them. */
  aheadPerConnection: positiveInt.default(32),
  /** Such requests of all connections of the process together. */
  aheadTotal: positiveInt.default(512)
})
export type ClientLimits = z.infer<typeof clientLimitsSchema>
