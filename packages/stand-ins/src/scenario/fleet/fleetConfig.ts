/**
 * Translates the `fleet` section of a scenario into the configuration, the settings of the VMs and
 * the API keys of the teams.
 */
import { createHash } from 'node:crypto'
import type { PatchOperation } from '../callers/testOperator.js'
import { operatorKeyHash } from '../callers/testOperator.js'
import type { FleetDefinition } from '../language/scenarioSchema.js'
import type { VmPorts } from './vmProcess.js'

const PEER_KEY = 'scenario-peer-key-0001'

/** Base URLs of the platform stand-ins. */
export interface PlatformUrls {
  readonly table: string
  readonly objects: string
  readonly weights: string
  readonly vmList: string
}

/** API key of a team. */
export function teamKey (team: string): string {
  return `scenario-key-of-${team}`
}

/** Patch that turns the empty configuration into that of the scenario. */
export function initialPatch (definition: FleetDefinition, addressOf: (runner: string) => string): readonly PatchOperation[] {
  const models = [...new Set(Object.values(definition.engines).flatMap(engine => engine.models))]
  const sections = {
    teams: mapValues(definition.teams, (team, name) => ({ displayName: name, keyHashes: [sha256(teamKey(name))], ...team })),
    models: Object.fromEntries(models.map(model => [model, { maxTokens: 1024 }])),
    runners: mapValues(definition.engines, ({ domain, models, slots, checksFencing }, name) =>
      ({ address: addressOf(name), domain, models, slots, checksFencing })),
    services: mapValues(definition.services, ({ runners, ...rest }) =>
      ({ ...rest, runners: mapValues(runners, (domain, name) => ({ address: addressOf(name), domain })) })),
    limits: definition.limits
  }
  return Object.entries(sections).map(([section, value]) => ({ op: 'add', path: `/${section}`, value }))
}

/** Settings of one VM; those of the scenario override the defaults. */
export function vmSettings (definition: FleetDefinition, vm: string, ports: VmPorts, platform: PlatformUrls): object {
  const loopback = (port: number): string => `127.0.0.1:${port}`
  return {
    vm,
    domain: definition.vms[vm],
    region: 'scenario',
    listen: { callers: loopback(ports.callers), operators: loopback(ports.operators), peers: loopback(ports.peers) },
    advertise: { peers: loopback(ports.link) },
    platform,
    peerKeys: [PEER_KEY],
    bootstrapOperatorKeyHash: operatorKeyHash,
    ...definition.settings
  }
}

function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

function mapValues<Value, Result> (record: Readonly<Record<string, Value>>, map: (value: Value, key: string) => Result): Record<string, Result> {
  return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, map(value, key)]))
}
