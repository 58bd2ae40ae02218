/**
 * Settings that the gateway of one VM needs before it can connect to anything. The process that starts it
 * decodes its settings file to this schema, which defines both the type and the validation.
 */
import * as z from 'zod'
import { grantPolicySchema } from '@rosemaryspread/decisions/budget/grantPolicy.js'
import { clientLimitsSchema } from '@rosemaryspread/http/server/clientLimits.js'

const IPV4_PORT = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/
const milliseconds = z.number().nonnegative()
/** Memory of the smallest machine, in megabytes. */
const DEFAULT_MEMORY_MB = 200
const DEFAULT_ANSWER_BUFFER_BYTES = 32 * 1024 * 1024

export const gatewaySettingsSchema = z.object({
  /** Name of the VM; stable over restarts. */
  vm: z.string().min(1),
  domain: z.string(),
  region: z.string(),
  /** Listen address for callers, IPv4:port. */
  callers: z.string(),
  /** Listen address for other VMs, IPv4:port; without it this VM neither grants tokens to others nor requests them. */
  peers: z.string().optional(),
  /** Forwarding of connections while this VM is overloaded; absent: it serves all itself and accepts none of other VMs. */
  forwarding: z.object({
    /** Listen address for connections that other VMs forward, IPv4:port. */
    listen: z.string().regex(IPV4_PORT, 'use IPv4:port'),
    /** Least number of VMs present with which connections are forwarded. */
    minVms: z.number().int().positive().default(1)
  }).optional(),
  /** Retries that all VMs together may add, see gatewayRetries. */
  retries: z.object({ ratio: z.number(), slack: z.number(), windowMs: milliseconds }),
  /** What becomes of tokens granted by other VMs, and who gets scarce ones, see grantPolicy; absent: unused ones are kept, and requests are served as they arrive. */
  grants: grantPolicySchema.optional(),
  /** Time between the order to stop and the end of the process. */
  graceMs: milliseconds,
  /** What a stopping VM does with requests that it may not be able to answer before its end, see drainLimit. */
  lateRequests: z.enum(['refuse', 'serve']).default('refuse'),
  /** Order and refusal of calls under load, see callAdmission; absent: calls are sent whatever the load. */
  admission: z.object({
    /** How the limit of the calls in flight follows the load. */
    limit: z.enum(['aimd', 'gradient']).default('aimd')
  }).optional(),
  /** Bytes of answers that are not streamed and are buffered at the same time, for all calls together. */
  answerBufferBytes: z.number().int().positive().default(DEFAULT_ANSWER_BUFFER_BYTES),
  /** Megabytes that the process may use, from which the bound of request bodies follows; a template without a value leaves `undefined`. */
  memoryMb: z.preprocess(value => value === 'undefined' || value === null ? undefined : value, z.number().positive().default(DEFAULT_MEMORY_MB)),
  /** Whether requests are refused whose bodies exceed this bound together. */
  boundsBodies: z.boolean().default(true),
  /** Whether requests are refused whose heads exceed a share of the heap together. */
  boundsHeads: z.boolean().default(true),
  /** Whether the store keeps which software versions began streams; if not, streams that no VM knows are refused. */
  storesVersions: z.boolean().default(true),
  /** What clients may send ahead, see clientLimits. */
  clients: clientLimitsSchema.prefault({}),
  /** Descriptors that the process may open; absent for no limit. */
  descriptors: z.number().int().positive().nullish(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info')
})
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>
