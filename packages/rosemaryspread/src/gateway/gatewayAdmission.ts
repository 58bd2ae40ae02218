/** Admission of a call before tokens are reserved or anything is sent: route, key, team and deadline. */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { GatewayConfig } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import { chooseService, type RouteTable } from '@rosemaryspread/decisions/gateway/routeTable.js'
import type { KeyDirectory } from '../directory/keyDirectory.js'
import type { AdmittedCall } from './callTypes.js'
import type { GatewayCall } from './gatewayTypes.js'

/** Retry-After when the route has no service. */
const NO_SERVICE_RETRY_MS = 1_000

/** A configuration with its lookup tables. */
export interface PreparedConfig {
  readonly config: GatewayConfig
  readonly routes: RouteTable
  readonly keys: KeyDirectory
}

/**
 * Admits or refuses a call.
 * @param random - in [0, 1); chooses among the services of a route
 */
export function admitCall (call: GatewayCall, prepared: PreparedConfig, random: number): Either<Failure, AdmittedCall> {
  const { config, routes, keys } = prepared
  const route = routes.find(call.host, call.path)
  if (route === undefined) return Left(new Failure('notFound', 'no route for this host and path', { ran: 'no' }))
  const team = call.key === undefined ? undefined : keys.ownerOf(call.key)
  if (team === undefined && !route.isOpen) return Left(new Failure('unauthorized', 'the key is missing or belongs to no team', { ran: 'no' }))
  const service = chooseService(route.services, random)
  if (service === undefined) return Left(new Failure('noRunner', 'the route has no service', { ran: 'no', retryAfterMs: NO_SERVICE_RETRY_MS }))
  const { tokensPerEvent = 1, warmUpPerS } = config.services[service] ?? {}
  const teamConfig = team === undefined ? undefined : config.teams[team]
  const promptParts = call.promptParts.slice(0, -1)
  const sharedPromptParts = route.hasAffinity ? promptParts : []
  const waitMs = Math.min(call.timeoutMs ?? route.timeoutMs, route.timeoutMs)
  return Right({
    call,
    route: { ...route, retriesFailures: true },
    service,
    team,
    isPrepaid: teamConfig?.prepaidTokens !== undefined && call.promptTokens + call.maxTokens > 0,
    priority: teamConfig?.priority ?? route.priority,
    tokensPerEvent,
    ...(warmUpPerS === undefined ? {} : { warmUpPerS }),
    promptParts: promptParts.map(({ id }) => id),
    sharedParts: sharedPromptParts.map(({ id }) => id),
    sharedTokens: sharedPromptParts.reduce((sum, { tokens }) => sum + tokens, 0),
    deadline: call.receivedAt.mono + waitMs
  })
}
