/**
 * What the gateway of one VM must know before it can reach anything. The edge that starts it
 * decodes its settings file to this; one schema is the source of the types and the checks.
 */
import * as z from 'zod'

const milliseconds = z.number().nonnegative()

/** Settings of the gateway of one VM. */
export const gatewaySettingsSchema = z.object({
  /** Name of the VM; lasts over restarts. */
  vm: z.string().min(1),
  domain: z.string(),
  region: z.string(),
  /** IPv4:port for callers. */
  callers: z.string(),
  /** IPv4:port for other VMs of the fleet; without it this VM neither gives tokens to others nor asks for them. */
  peers: z.string().optional(),
  /** Repeats that all VMs together may add, see gatewayRetries. */
  retries: z.object({ ratio: z.number(), slack: z.number(), windowMs: milliseconds }),
  /** Time between the order to stop and the end of the process. */
  graceMs: milliseconds,
  /** Descriptors that the process may have open; absent: nothing bounds them. */
  descriptors: z.number().int().positive().nullish(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info')
})
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>
