/**
 * The configuration of the gateway: which requests go to which service, who may send them, and
 * what each team has paid for. It is handed in whole by whoever owns it, under a version that only
 * grows. One schema is the source of the types.
 */
import * as z from 'zod'

const count = z.number().int().nonnegative()
const milliseconds = z.number().positive()

/** A service that gets a part of the requests of a route. */
export const routeServiceSchema = z.object({ service: z.string(), weight: z.number().nonnegative() })
export type RouteService = z.infer<typeof routeServiceSchema>

/** Requests with one host and path prefix. */
export const gatewayRouteSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string(),
  services: z.array(routeServiceSchema),
  /**
   * What may run again: `always` the request; `resume` its stream, from the last event relayed;
   * `never` nothing, so that a repeat needs proof that nothing ran.
   */
  repeat: z.enum(['always', 'resume', 'never']),
  /** Whether answers are event streams, relayed event by event. */
  streamed: z.boolean(),
  /** Longest time that a caller is kept waiting for the whole answer. */
  timeoutMs: milliseconds,
  /** Time to the answer, or to its first event, within which it is of full use. */
  objectiveMs: milliseconds,
  /** Targets that one request may be sent to. */
  attempts: z.number().int().positive(),
  /** 0 is the most urgent. */
  priority: count,
  /** Whether requests need no key. */
  isOpen: z.boolean(),
  /** Whether requests with the same prompt parts should meet at the same target. */
  hasAffinity: z.boolean()
})
export type GatewayRoute = z.infer<typeof gatewayRouteSchema>

/** A group of targets that serve the same requests. */
export const gatewayServiceSchema = z.object({
  /** Connections that one target accepts from all VMs together. */
  maxConnections: count.optional(),
  /** Tokens that one event of a stream holds at most. */
  tokensPerEvent: z.number().int().positive().default(1),
  /** Requests a second that a target bears from all VMs together while it warms up; absent where nothing bounds them. */
  warmUpPerS: z.number().positive().optional()
})
export type GatewayService = z.infer<typeof gatewayServiceSchema>

/** A team as the gateway sees it. */
export const gatewayTeamSchema = z.object({
  /** Hex SHA-256 of each valid key. */
  keyHashes: z.array(z.string()),
  /** Goes before the priority of the route. */
  priority: count.optional(),
  /** Tokens paid for in all; no limit when absent. */
  prepaidTokens: count.optional()
})
export type GatewayTeam = z.infer<typeof gatewayTeamSchema>

/** Bounds on what callers may send; bytes and milliseconds as the names say. */
export const gatewayLimitsSchema = z.object({
  headerBytes: count.default(16_384),
  bodyBytes: count.default(4_194_304),
  headersMs: milliseconds.default(3_000),
  /** Time for which a connection without a request is kept. */
  idleMs: milliseconds.default(15_000)
})
export type GatewayLimits = z.infer<typeof gatewayLimitsSchema>

/** The whole configuration. */
export const gatewayConfigSchema = z.object({
  version: count,
  routes: z.array(gatewayRouteSchema),
  services: z.record(z.string(), gatewayServiceSchema),
  teams: z.record(z.string(), gatewayTeamSchema),
  limits: gatewayLimitsSchema.prefault({})
})
export type GatewayConfig = z.infer<typeof gatewayConfigSchema>
