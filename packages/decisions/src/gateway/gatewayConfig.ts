/**
 * Configuration of the gateway: routes, services, teams with their prepaid tokens, and limits. It is published as a whole under a
 * version that only grows. The types are derived from the schemas.
 */
import * as z from 'zod'

const count = z.number().int().nonnegative()
const milliseconds = z.number().positive()

/** A service and the weight of its share of a route's requests. */
export const routeServiceSchema = z.object({ service: z.string(), weight: z.number().nonnegative() })
export type RouteService = z.infer<typeof routeServiceSchema>

/** Matches the requests with one host and path prefix. */
export const gatewayRouteSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string(),
  services: z.array(routeServiceSchema),
  /**
   * What may be executed again: `always` the request; `resume` its stream, after the last event relayed; `never` nothing, so that
   * a retry needs proof that the request was not executed.
   */
  repeat: z.enum(['always', 'resume', 'never']),
  /** Whether responses are event streams, relayed event by event. */
  streamed: z.boolean(),
  /** Time limit of the whole response. */
  timeoutMs: milliseconds,
  /** Latency objective of the response, or of its first event if it is streamed. */
  objectiveMs: milliseconds,
  /** Maximum targets tried for one request. */
  attempts: z.number().int().positive(),
  /** 0 is the most urgent. */
  priority: count,
  /** Whether requests are accepted without a key. */
  isOpen: z.boolean(),
  /** Whether requests with the same prompt parts are routed to the same target. */
  hasAffinity: z.boolean()
})
export type GatewayRoute = z.infer<typeof gatewayRouteSchema>

/** A group of targets that serve the same requests. */
export const gatewayServiceSchema = z.object({
  /** Maximum connections to one target, from all VMs together. */
  maxConnections: count.optional(),
  /** Maximum tokens in one event of a stream. */
  tokensPerEvent: z.number().int().positive().default(1),
  /** Requests per second that a target handles from all VMs together while it warms up; unbounded if absent. */
  warmUpPerS: z.number().positive().optional()
})
export type GatewayService = z.infer<typeof gatewayServiceSchema>

/** Keys, priority and prepaid tokens of a team. */
export const gatewayTeamSchema = z.object({
  /** Hex SHA-256 of each valid key. */
  keyHashes: z.array(z.string()),
  /** Overrides the priority of the route. */
  priority: count.optional(),
  /** Total tokens paid for; unlimited if absent. */
  prepaidTokens: count.optional()
})
export type GatewayTeam = z.infer<typeof gatewayTeamSchema>

/** Limits on callers' connections and requests, in bytes and milliseconds. */
export const gatewayLimitsSchema = z.object({
  headerBytes: count.default(16_384),
  bodyBytes: count.default(4_194_304),
  headersMs: milliseconds.default(3_000),
  /** Idle time after which a connection without a request is closed. */
  idleMs: milliseconds.default(15_000)
})
export type GatewayLimits = z.infer<typeof gatewayLimitsSchema>

export const gatewayConfigSchema = z.object({
  version: count,
  routes: z.array(gatewayRouteSchema),
  services: z.record(z.string(), gatewayServiceSchema),
  teams: z.record(z.string(), gatewayTeamSchema),
  limits: gatewayLimitsSchema.prefault({})
})
export type GatewayConfig = z.infer<typeof gatewayConfigSchema>
