/** Creates guards of clients for specs. */
import { ClientGuard, type ClientMonitor } from './clientGuard.js'
import { clientLimitsSchema, type ClientLimits } from './clientLimits.js'

/** A guard with the default limits where none are given; its reports are dropped unless there is a monitor. */
export function createClientGuard (limits: Partial<ClientLimits> = {}, monitor: ClientMonitor = { closed: () => {} }): ClientGuard {
  return new ClientGuard(clientLimitsSchema.parse(limits), monitor)
}
