/**
 * Presence rows that VMs publish about themselves in the table `vms`; a change feed delivers them to all others.
 */
import * as z from 'zod'

/** Table of presence rows, keyed by the name of the VM. */
export const PRESENCE_TABLE = 'vms'

/** Row `vms/<vm>`. */
export const presenceRowSchema = z.object({
  vm: z.string(),
  holder: z.string(),
  domain: z.string(),
  region: z.string().optional(),
  /** IPv4:port for callers. */
  callers: z.string(),
  /** IPv4:port for other VMs; absent when the VM has no links. */
  peers: z.string().optional(),
  /** IPv4:port for connections that other VMs forward; absent while the VM accepts none. */
  forwarding: z.string().optional(),
  /** `starting` until it can serve, `leaving` once it was ordered to stop. */
  state: z.enum(['starting', 'serving', 'leaving']),
  /** Set while the VM is overloaded; absent otherwise. */
  isPressed: z.boolean().optional(),
  /** Services none of whose targets the VM can connect to; absent if there are none. */
  unreachable: z.array(z.string()).optional(),
  /** Set when a digest reports that the VM missed heartbeats; never written by the VM itself. */
  isLate: z.boolean().optional(),
  /** Heartbeat counter, so that every write is a change. */
  beat: z.number().int()
})
export type PresenceRow = z.infer<typeof presenceRowSchema>

/** The row without the heartbeat counter, and without `isLate`, which the stage of the digest entry expresses. */
export const digestedPresenceSchema = presenceRowSchema.omit({ beat: true, isLate: true })
