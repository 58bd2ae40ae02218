/**
 * Translates the `fleet` section of a scenario into the configuration, the settings of the VMs and
 * the API keys of the teams.
 */
import { createHash } from 'node:crypto'
import type { PatchOperation } from '../callers/testOperator.js'
import { operatorKeyHash } from '../callers/testOperator.js'
import type { FleetHead } from '../language/scenarioSchema.js'
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
export function firstPatch (head: FleetHead, addressOf: (runner: string) => string): readonly PatchOperation[] {
  const models = [...new Set(Object.values(head.engines).flatMap(engine => engine.models))]
  const sections = {
    teams: mapValues(head.teams, (team, name) => ({ displayName: name, keyHashes: [hash(teamKey(name))], ...team })),
    models: Object.fromEntries(models.map(model => [model, { maxTokens: 1024 }])),
    runners: mapValues(head.engines, ({ domain, models, slots, checksFencing }, name) =>
      ({ address: addressOf(name), domain, models, slots, checksFencing })),
    services: mapValues(head.services, ({ runners, ...rest }) =>
      ({ ...rest, runners: mapValues(runners, (domain, name) => ({ address: addressOf(name), domain })) })),
    limits: head.limits
  }
  return Object.entries(sections).map(([section, value]) => ({ op: 'add', path: `/${section}`, value }))
}

/** Settings of one VM; those of the scenario override the defaults. */
export function vmSettings (head: FleetHead, vm: string, ports: VmPorts, platform: PlatformUrls): object {
  const local = (port: number): string => `127.0.0.1:${port}`
  return {
    vm,
    domain: head.vms[vm],
    region: 'scenario',
    listen: { callers: local(ports.callers), operators: local(ports.operators), peers: local(ports.peers) },
    advertise: { peers: local(ports.link) },
    platform,
    peerKeys: [PEER_KEY],
    bootstrapOperatorKeyHash: operatorKeyHash,
    ...head.settings
  }
}

function hash (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

function mapValues<Value, Result> (record: Readonly<Record<string, Value>>, map: (value: Value, key: string) => Result): Record<string, Result> {
  return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, map(value, key)]))
}
