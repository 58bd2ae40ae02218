/**
 * Notifications between VMs that a target refused a request for want of room, so that all of them send it less.
 */
import * as z from 'zod'
import type { PeerMethodHandler } from '@rosemaryspread/peers/link/linkTypes.js'

/** Method name on the links between VMs. */
export const REFUSED_METHOD = 'targets.refused'

const refusedNotificationSchema = z.object({ target: z.string(), service: z.string() })
export type RefusedNotification = z.infer<typeof refusedNotificationSchema>

/** Link method that receives notifications of other VMs. */
export function refusedMethod (onRefused: (notification: RefusedNotification) => void): PeerMethodHandler {
  return async params => { onRefused(refusedNotificationSchema.parse(params)) }
}
