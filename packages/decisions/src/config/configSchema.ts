/**
 * Schema of the fleet configuration, which operators patch; the types are inferred from it. Collections are
 * records keyed by id, so that patches from two operators touch different paths. Token amounts of budgets are not
 * part of it; they are stored in budget rows.
 */
import * as z from 'zod'

const id = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'use 1 to 63 of a-z 0-9 . _ -')
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'use IPv4:port')
const count = z.number().int().positive()

/** A team: its keys, what it may use, and its budget. */
export const teamSchema = z.strictObject({
  displayName: z.string().min(1).max(200),
  /** Hex SHA-256 of each valid key. */
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'use a hex SHA-256')).max(8).default([]),
  budget: id,
  models: z.array(id).default([]),
  services: z.array(id).default([]),
  /** Share of a contended queue relative to other teams. */
  weight: z.number().positive().max(1000).default(1),
  /** Requests that may wait or run at once on one VM. */
  maxInFlight: count.default(64)
})
export type TeamConfig = z.infer<typeof teamSchema>

/** A model, its version and its limits. */
export const modelSchema = z.strictObject({
  version: z.string().min(1).max(64).default('1'),
  adapters: z.array(id).default([]),
  /** Upper bound of tokens for one answer, used when the caller gives none. */
  maxTokens: count.max(1_000_000).default(1024),
  /** Desired copies, distributed over failure domains; one on every runner that declares the model when absent. */
  copies: count.max(1000).optional()
})
export type ModelConfig = z.infer<typeof modelSchema>

/** A model runner: one engine process on a target machine. */
export const runnerSchema = z.strictObject({
  address,
  domain: id,
  models: z.array(id).default([]),
  /** Wall milliseconds since which the runner serves each model; set by the system when a patch is accepted. */
  servesSince: z.record(id, z.number().int().nonnegative()).default({}),
  /** Requests that the engine decodes at once. */
  slots: count.max(4096).default(16),
  state: z.enum(['active', 'leaving']).default('active'),
  /** Whether the engine refuses orders with an old fencing number. */
  checksFencing: z.boolean().default(true),
  /** Role assigned by placement; the engine retains its current one when absent. */
  role: z.enum(['prefill', 'decode', 'both']).optional()
})
export type RunnerConfig = z.infer<typeof runnerSchema>

/** One application runner of a service. */
export const serviceRunnerSchema = z.strictObject({
  address,
  domain: id,
  state: z.enum(['active', 'leaving']).default('active'),
  maxInFlight: count.default(32)
})

/** A plain service behind application runners. */
export const serviceSchema = z.strictObject({
  runners: z.record(id, serviceRunnerSchema).default({}),
  /** Paths whose POST must not be retried; `*` at the end matches any rest. */
  notRepeatable: z.array(z.string().startsWith('/')).default(['/*']),
  timeoutMs: count.max(600_000).default(10_000)
})
export type ServiceConfig = z.infer<typeof serviceSchema>

export const operatorSchema = z.strictObject({
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'use a hex SHA-256')).max(8).default([]),
  role: z.enum(['admin', 'viewer']).default('admin')
})

/** Limits that apply on every VM. */
export const limitsSchema = z.strictObject({
  requestTimeoutMs: count.max(3_600_000).default(60_000),
  addressKeepMs: count.max(600_000).default(10_000),
  /** Whether placement loads and unloads models on runners; otherwise each runner retains its models. */
  placement: z.boolean().default(false)
})

export const fleetConfigSchema = z.strictObject({
  teams: z.record(id, teamSchema).default({}),
  models: z.record(id, modelSchema).default({}),
  runners: z.record(id, runnerSchema).default({}),
  services: z.record(id, serviceSchema).default({}),
  operators: z.record(id, operatorSchema).default({}),
  limits: limitsSchema.prefault({})
})
export type FleetConfig = z.infer<typeof fleetConfigSchema>

/** A configuration with its version number. */
export interface VersionedConfig {
  readonly version: number
  readonly config: FleetConfig
}
