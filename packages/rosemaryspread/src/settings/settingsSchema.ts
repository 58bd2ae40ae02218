/**
 * Schema of the settings of one VM, which it needs before it can reach other services; types and defaults are
 * inferred from it. docs/SETTINGS.md describes each setting.
 */
import { isIPv4 } from 'node:net'
import * as z from 'zod'
import { defaultBudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import { clientLimitsSchema } from '@rosemaryspread/http/server/clientLimits.js'

const MAX_PORT = 65_535
const ipPort = z.string().refine(isIpPort, 'use IPv4:port, such as 10.0.0.4:7000')
const baseUrl = z.url({ protocol: /^https?$/, error: 'use an http or https URL' })
const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use 1 to 63 of a-z 0-9 -')
const milliseconds = z.number().int().positive()

/** Settings of one VM; times in milliseconds, sizes in bytes. */
export const settingsSchema = z.strictObject({
  /** Name of the VM; the same across restarts. */
  vm: name,
  /** Failure domain of the VM. */
  domain: name,
  region: name,
  listen: z.strictObject({ callers: ipPort, operators: ipPort, peers: ipPort }),
  /** Addresses advertised to other VMs and callers, where they differ from those listened on. */
  advertise: z.strictObject({ callers: ipPort.optional(), operators: ipPort.optional(), peers: ipPort.optional() }).prefault({}),
  platform: z.strictObject({
    table: baseUrl,
    objects: baseUrl,
    weights: baseUrl,
    vmList: baseUrl,
    timeoutMs: milliseconds.max(60_000).default(2_000)
  }),
  /** Fleet keys of at least 16 characters; the first signs, all are accepted. */
  peerKeys: z.array(z.string().min(16, 'use at least 16 characters')).min(1).max(4),
  /** Hex SHA-256 of the key of the first operator, valid while the configuration has no operator. */
  bootstrapOperatorKeyHash: z.string().regex(/^[0-9a-f]{64}$/, 'use a hex SHA-256').optional(),
  runners: z.strictObject({
    connectTimeoutMs: milliseconds.max(60_000).default(1_000),
    firstTokenTimeoutMs: milliseconds.max(600_000).default(20_000),
    betweenTokensTimeoutMs: milliseconds.max(600_000).default(10_000),
    loadPollMs: milliseconds.max(60_000).default(500)
  }).prefault({}),
  budgets: z.strictObject({
    flushMs: milliseconds.max(60_000).default(defaultBudgetPolicy.flushMs),
    reserveTimeoutMs: milliseconds.max(60_000).default(3_000)
  }).prefault({}),
  config: z.strictObject({ pollMs: milliseconds.max(10_000).default(1_500) }).prefault({}),
  /** How long a stopping VM still refuses requests of callers that have not noticed the shutdown yet. */
  drainLingerMs: milliseconds.max(60_000).default(1_000),
  drainTimeoutMs: milliseconds.max(3_600_000).default(120_000),
  /** What clients may send ahead, see clientLimits. */
  clients: clientLimitsSchema.prefault({}),
  maxBodyBytes: z.number().int().positive().max(64 * 1024 * 1024).default(4 * 1024 * 1024),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info')
})

export type Settings = z.infer<typeof settingsSchema>

function isIpPort (text: string): boolean {
  const [, host = '', port = ''] = /^([\d.]+):(\d{1,5})$/.exec(text) ?? []
  return isIPv4(host) && Number(port) <= MAX_PORT
}
