/**
 * Routing of requests by host and longest prefix, and the split between services.
 */
import { expect } from 'chai'
import { gatewayConfigSchema, type GatewayRoute } from './gatewayConfig.js'
import { chooseService, RouteTable } from './routeTable.js'

function route (name: string, host: string, prefix: string): GatewayRoute {
  return { name, host, prefix, services: [{ service: 's', weight: 1 }], repeat: 'never', streamed: false, timeoutMs: 1_000, objectiveMs: 100, attempts: 1, priority: 0, isOpen: false, hasAffinity: false }
}

const routes = [route('all', 'a.example', '/'), route('short', 'a.example', '/x/'), route('long', 'a.example', '/x/y/'), route('other', 'b.example', '/x/')]
const table = new RouteTable(gatewayConfigSchema.parse({ version: 1, routes, services: {}, teams: {} }))

describe('RouteTable', () => {
  const cases: ReadonlyArray<{ readonly host: string, readonly path: string, readonly found: string | undefined }> = [
    { host: 'a.example', path: '/x/y/z', found: 'long' },
    { host: 'a.example', path: '/x/yes', found: 'short' },
    { host: 'a.example', path: '/x', found: 'all' },
    { host: 'A.Example:8080', path: '/x/1?y=/x/y/', found: 'short' },
    { host: 'b.example', path: '/x/', found: 'other' },
    { host: 'b.example', path: '/y/', found: undefined },
    { host: 'c.example', path: '/x/', found: undefined },
    { host: '', path: '/x/', found: undefined }
  ]
  for (const { host, path, found } of cases) {
    it(`${host || 'no host'} ${path}: ${found ?? 'none'}`, () => {
      expect(table.find(host, path)?.name).to.equal(found)
    })
  }
})

describe('chooseService', () => {
  const services = [{ service: 'a', weight: 90 }, { service: 'none', weight: 0 }, { service: 'b', weight: 10 }]
  const cases: ReadonlyArray<{ readonly random: number, readonly chosen: string }> = [
    { random: 0, chosen: 'a' },
    { random: 0.899, chosen: 'a' },
    { random: 0.9, chosen: 'b' },
    { random: 0.999_999, chosen: 'b' }
  ]
  for (const { random, chosen } of cases) {
    it(`at ${random}: ${chosen}`, () => {
      expect(chooseService(services, random)).to.equal(chosen)
    })
  }

  it('returns no service if no weight is positive', () => {
    expect(chooseService([{ service: 'a', weight: 0 }], 0.5)).to.equal(undefined)
  })
})
