/**
 * Bindings of membership and the versioned configuration.
 */
import { Maybe } from 'purify-ts'
import type { Container } from 'inversify'
import { ConfigPropagation } from '../config/configPropagation.js'
import { VersionHints } from '../config/configHints.js'
import { ConfigStore } from '../config/configStore.js'
import { defaultPropagationSettings, type ConfigTimers } from '../config/configTypes.js'
import { FleetSize } from '../membership/fleetSize.js'
import { MemberDriver } from '../membership/memberDriver.js'
import { ids } from './serviceIds.js'

const systemTimers: ConfigTimers = {
  after: (ms, fn) => {
    const timer = setTimeout(fn, ms)
    return () => { clearTimeout(timer) }
  }
}

/** Needs the bindings of `bindBase`. */
export function bindConfig (container: Container): void {
  container.bind(ids.configStore).toResolvedValue((table, objects, clock, log, random) =>
    new ConfigStore({ table, objects, clock, log, timers: systemTimers, random: () => random.next() }),
  [ids.table, ids.objects, ids.clock, ids.log, ids.random]).inSingletonScope()

  container.bind(ids.currentConfig).toResolvedValue(store => ({
    current: () => Maybe.fromNullable(store.inForce)
  }), [ids.configStore]).inSingletonScope()

  container.bind(ids.members).toDynamicValue(ctx => {
    const { place: _, ...identity } = ctx.get(ids.identity)
    const store = ctx.get(ids.configStore)
    const work = ctx.get(ids.work)
    const random = ctx.get(ids.random)
    return new MemberDriver({
      self: { ...identity, state: 'live', configVersion: null, capacity: 1 },
      table: ctx.get(ids.table),
      vmList: ctx.get(ids.vmList),
      client: ctx.get(ids.peerClient),
      server: ctx.get(ids.peerServer),
      clock: ctx.get(ids.clock),
      log: ctx.get(ids.log),
      random: () => random.next(),
      status: () => ({ configVersion: store.inForce?.version ?? null, openRequests: work.openCount() }),
      onReplaced: ctx.get(ids.onReplaced),
      onConfigVersion: version => { ctx.get(ids.versionHints).onAdvertised(version) }
    })
  }).inSingletonScope()

  container.bind(ids.versionHints).toResolvedValue((store, clock) =>
    new VersionHints(clock, () => store.inForce?.version), [ids.configStore, ids.clock]).inSingletonScope()

  container.bind(ids.fleetSize).toResolvedValue((clock, members) =>
    new FleetSize(clock, () => members.members()), [ids.clock, ids.members]).inSingletonScope()

  container.bind(ids.configPropagation).toDynamicValue(ctx => {
    const settings = ctx.get(ids.settings)
    const { vm, peers } = ctx.get(ids.identity)
    const members = ctx.get(ids.members)
    const client = ctx.get(ids.peerClient)
    const random = ctx.get(ids.random)
    return new ConfigPropagation({
      store: ctx.get(ids.configStore),
      peers: {
        addresses: () => members.members()
          .filter(member => member.vm !== vm && member.state !== 'gone')
          .map(member => member.peers),
        call: async (address, method, params, timeoutMs) => await client.call(address, method, params, timeoutMs)
      },
      address: peers,
      timers: systemTimers,
      random: () => random.next(),
      log: ctx.get(ids.log),
      settings: { ...defaultPropagationSettings, pollMs: settings.config.pollMs }
    })
  }).inSingletonScope()
}
