/**
 * Finds the route of a request by its host and the longest matching path prefix.
 */
import type { GatewayConfig, GatewayRoute, RouteService } from './gatewayConfig.js'

/** Routes of one configuration, indexed by host and sorted by prefix length. */
export class RouteTable {
  private readonly byHost = new Map<string, GatewayRoute[]>()

  constructor (config: GatewayConfig) {
    for (const route of config.routes) {
      const routes = this.byHost.get(hostName(route.host)) ?? []
      routes.push(route)
      this.byHost.set(hostName(route.host), routes)
    }
    for (const routes of this.byHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length)
  }

  /**
   * The route of a request; undefined if none matches.
   * @param host - Host header, with or without a port
   * @param requestTarget - path with its query
   */
  find (host: string, requestTarget: string): GatewayRoute | undefined {
    const path = requestTarget.split('?', 1)[0] ?? requestTarget
    return this.byHost.get(hostName(host))?.find(route => path.startsWith(route.prefix))
  }
}

function hostName (host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase()
}

/**
 * Picks a service of a route at random, in proportion to the weights; undefined if no weight is positive.
 * @param random - a number in [0, 1)
 */
export function chooseService (services: readonly RouteService[], random: number): string | undefined {
  const total = services.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random * total
  for (const { service, weight } of services) {
    if (weight <= 0) continue
    if (remaining < weight) return service
    remaining -= weight
  }
  return undefined
}
