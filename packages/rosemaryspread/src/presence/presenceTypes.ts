/**
 * What VMs tell of themselves in the table `vms`, where a feed of changes carries it to all others.
 */
import * as z from 'zod'

/** Table of the presence rows; the key is the name of the VM. */
export const PRESENCE_TABLE = 'vms'

/** Row `vms/<vm>`. */
export const presenceRowSchema = z.object({
  vm: z.string(),
  holder: z.string(),
  domain: z.string(),
  region: z.string().optional(),
  /** IPv4:port for callers. */
  callers: z.string(),
  /** IPv4:port for other VMs; absent where a VM has no links. */
  peers: z.string().optional(),
  /** `starting` until it can serve, `leaving` once it was told to stop. */
  state: z.enum(['starting', 'serving', 'leaving']),
  /** Set while it has more to do than it can; absent otherwise. */
  isPressed: z.boolean().optional(),
  /** Set where a digest tells the row of a VM that missed heartbeats; never written by the VM itself. */
  isLate: z.boolean().optional(),
  /** Grows with each heartbeat, so that every write is a change. */
  beat: z.number().int()
})
export type PresenceRow = z.infer<typeof presenceRowSchema>

/** The same without what changes with each heartbeat, and without what the digest's stage says. */
export const digestedPresenceSchema = presenceRowSchema.omit({ beat: true, isLate: true })
