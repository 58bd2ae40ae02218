/**
 * Dependency injection bindings of the gateway. The caller supplies the ports to the platform and to the
 * targets.
 */
import { randomBytes } from 'node:crypto'
import { getHeapStatistics } from 'node:v8'
import type { Container } from 'inversify'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { BYTES_PER_MEGABYTE, requestBodyBound, requestHeadBound } from '@rosemaryspread/decisions/gateway/memoryPlan.js'
import { planDescriptors } from '@rosemaryspread/decisions/gateway/descriptorPlan.js'
import { DrainLimit } from '@rosemaryspread/decisions/gateway/drainLimit.js'
import { TargetBalancer } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import { holderOf } from '@rosemaryspread/decisions/names/nameTypes.js'
import type { TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { OpenWork } from '../completion/completionDrain.js'
import { SystemRandom } from '../completion/completionSystem.js'
import { ConnectionForwarder } from '../forwarding/connectionForwarder.js'
import { bindClients } from '../clients/bindClients.js'
import { BunyanEventLog } from '../log/logger.js'
import { MetricsRecorder } from '../metrics/metricsRecorder.js'
import { FleetLinks, MAX_NOTIFIED_PEERS } from '../presence/fleetLinks.js'
import { TableDigest } from '../digest/tableDigest.js'
import { VmPresence } from '../presence/vmPresence.js'
import { DirectClient } from '../paths/directClient.js'
import { TargetPaths } from '../paths/targetPaths.js'
import { CallQuarantine } from '../quarantine/callQuarantine.js'
import { QuarantineSync } from '../quarantine/quarantineSync.js'
import { TargetEndDetector } from '../quarantine/targetEndDetector.js'
import { RelayClient } from '../relay/relayClient.js'
import { RelayingClient } from '../relay/relayingClient.js'
import { RelayServer } from '../relay/relayServer.js'
import { noStreamRows, StreamRows } from '../streams/streamRows.js'
import { StreamVersions } from '../streams/streamVersions.js'
import { VersionRows } from '../streams/versionRows.js'
import { createBudgetDriver } from './budgetDriverFactory.js'
import { AnswerBuffers } from './answerBuffers.js'
import { ByteBudget } from './byteBudget.js'
import type { ConnectionLiveness } from './connectionLiveness.js'
import { CallAdmission } from './callAdmission.js'
import { CallDispatch } from './callDispatch.js'
import { CallPlaces } from './callPlaces.js'
import { CallReport } from './callReport.js'
import { GatewayChooser } from './gatewayChooser.js'
import { GatewayConfigHolder } from './gatewayConfigHolder.js'
import { gatewayIds as ids } from './gatewayIds.js'
import { GatewayPipeline } from './gatewayPipeline.js'
import { GatewayRetries } from './gatewayRetries.js'
import type { GatewaySettings } from './gatewaySettings.js'
import { GatewayTargets } from './gatewayTargets.js'
import { REFUSED_METHOD } from './refusedNotifications.js'
import { WorkNotifications } from './workNotifications.js'
import type { TargetClient, TargetProbe } from './callTypes.js'

const INCARNATION_BYTES = 6

/** Ports to the platform and to the targets. */
export interface GatewayPorts {
  readonly table: TableStore
  readonly feed: TableFeed
  readonly client: TargetClient & TargetProbe
  readonly clock: Clock
  readonly liveness: ConnectionLiveness
}

export function bindGateway (container: Container, settings: GatewaySettings, ports: GatewayPorts): void {
  const holder = holderOf(settings.vm, randomBytes(INCARNATION_BYTES).toString('hex'))
  bindBase(container, settings, ports, holder)
  bindMemory(container, settings)
  bindFleet(container, settings, ports, holder)
  if (settings.forwarding !== undefined) bindForwarding(container, settings.vm, settings.forwarding)
  bindBudgets(container, settings, ports, holder)
  bindTargetClients(container, ports)
  bindQuarantine(container, settings, ports)
  bindStreams(container, settings, ports, holder)
  bindAdmission(container, settings)
  bindPipeline(container, settings)
}

function bindBase (container: Container, { vm, domain, logLevel, clients }: GatewaySettings, { clock }: GatewayPorts, holder: string): void {
  container.bind(ids.clock).toConstantValue(clock)
  container.bind(ids.random).toConstantValue(new SystemRandom())
  container.bind(ids.log).toConstantValue(new BunyanEventLog({ vm, domain, holder, level: logLevel }))
  container.bind(ids.metrics).toConstantValue(new MetricsRecorder())
  container.bind(ids.work).toConstantValue(new OpenWork())
  bindClients(container, clients)
  container.bind(ids.drainLimit).toConstantValue(new DrainLimit())
  container.bind(ids.config).toResolvedValue(log => new GatewayConfigHolder(log), [ids.log]).inSingletonScope()
}

function bindMemory (container: Container, { descriptors, memoryMb, answerBufferBytes, boundsBodies, boundsHeads }: GatewaySettings): void {
  const bound = boundsBodies ? requestBodyBound({ grantedBytes: memoryMb * BYTES_PER_MEGABYTE, answerBytes: answerBufferBytes }) : Infinity
  container.bind(ids.answerBuffers).toConstantValue(new AnswerBuffers(answerBufferBytes))
  container.bind(ids.callPlaces).toConstantValue(new CallPlaces(planDescriptors(descriptors ?? undefined).targets))
  container.bind(ids.requestHeads).toConstantValue(new ByteBudget(boundsHeads ? requestHeadBound(getHeapStatistics().heap_size_limit) : Infinity))
  container.bind(ids.requestBodies).toConstantValue(new ByteBudget(bound))
}

function bindFleet (container: Container, { vm, domain, region, callers, peers, forwarding, descriptors }: GatewaySettings, { table, feed, liveness: connectionLiveness }: GatewayPorts, holder: string): void {
  container.bind(ids.table).toConstantValue(table)
  container.bind(ids.digest).toResolvedValue((clock, log) =>
    new TableDigest({ vm, table, feed, clock, log, vms: () => container.get(ids.presence).names }), [ids.clock, ids.log]).inSingletonScope()
  container.bind(ids.presence).toResolvedValue((clock, log, digest) => new VmPresence({
    self: { vm, holder, domain, region, callers, peers, forwarding: forwarding?.listen },
    table,
    feed,
    digest,
    clock,
    log,
    onJoined: other => { container.get(ids.budgets).holderJoined(other) }
  }), [ids.clock, ids.log, ids.digest]).inSingletonScope()
  container.bind(ids.links).toResolvedValue((clock, random, log) =>
    new FleetLinks({ holder, address: peers, table, clock, log, connections: planDescriptors(descriptors ?? undefined).peers, random: () => random.next(), onUnresponsive: since => { connectionLiveness.reportUnresponsive('peers', since) } }), [ids.clock, ids.random, ids.log]).inSingletonScope()
  container.bind(ids.balancer).toConstantValue(new TargetBalancer())
  container.bind(ids.targets).toResolvedValue((clock, balancer, log) =>
    new GatewayTargets({ clock, balancer, log }), [ids.clock, ids.balancer, ids.log]).inSingletonScope()
}

function bindForwarding (container: Container, vm: string, { minVms }: NonNullable<GatewaySettings['forwarding']>): void {
  container.bind(ids.forwarder).toResolvedValue((clock, log, metrics, work, random, presence, load) => new ConnectionForwarder({
    vm,
    clock,
    log,
    metrics,
    load,
    work,
    random: () => random.next(),
    peers: () => presence.size >= minVms ? presence.forwardingPeers() : []
  }), [ids.clock, ids.log, ids.metrics, ids.work, ids.random, ids.presence, ids.ingressMonitor]).inSingletonScope()
}

function bindBudgets (container: Container, { domain, callers, grants }: GatewaySettings, { table }: GatewayPorts, holder: string): void {
  container.bind(ids.budgets).toResolvedValue((presence, config, clock, log, metrics, links) => createBudgetDriver({
    holder,
    domain,
    place: callers,
    grants,
    store: table,
    clock,
    log,
    metrics,
    fleet: presence,
    call: async (address, method, params, timeoutMs, onLate) => await links.call(address, method, params, timeoutMs, onLate),
    declared: team => config.declaredPaid(team)
  }), [ids.presence, ids.config, ids.clock, ids.log, ids.metrics, ids.links]).inSingletonScope()
}

function bindTargetClients (container: Container, { client }: GatewayPorts): void {
  container.bind(ids.paths).toResolvedValue((clock, log, random, targets, balancer) => new TargetPaths({
    clock,
    log,
    random,
    probe: client,
    targets: service => targets.serving(service),
    services: () => targets.services,
    onChanged: service => { balancer.forgetFailures(targets.serving(service).map(({ id }) => id)) }
  }), [ids.clock, ids.log, ids.random, ids.targets, ids.balancer]).inSingletonScope()
  container.bind(ids.directClient).toResolvedValue((clock, log, paths) =>
    new DirectClient({ client, paths, clock, log }), [ids.clock, ids.log, ids.paths]).inSingletonScope()
  container.bind(ids.relayServer).toResolvedValue((direct, probe, work, bodies, metrics) =>
    new RelayServer({ client: direct, probe, work, bodies, metrics }), [ids.directClient, ids.paths, ids.work, ids.requestBodies, ids.metrics]).inSingletonScope()
  container.bind(ids.relayClient).toResolvedValue((clock, log, metrics, random, presence, links) => new RelayClient({
    clock,
    log,
    metrics,
    random,
    peers: service => presence.servingPeers().filter(({ unreachable }) => !unreachable.includes(service)),
    call: async (address, method, params, timeoutMs) => await links.call(address, method, params, timeoutMs),
    notify: (address, method, params) => { links.notify(address, method, params) }
  }), [ids.clock, ids.log, ids.metrics, ids.random, ids.presence, ids.links]).inSingletonScope()
  container.bind(ids.targetClient).toResolvedValue((clock, direct, paths, relay) =>
    new RelayingClient({ clock, direct, probe: paths, relay, paths }), [ids.clock, ids.directClient, ids.paths, ids.relayClient]).inSingletonScope()
}

function bindQuarantine (container: Container, { vm }: GatewaySettings, { table, feed }: GatewayPorts): void {
  container.bind(ids.quarantineSync).toResolvedValue((clock, log, random, presence, links): QuarantineSync => new QuarantineSync({
    vm,
    table,
    feed,
    clock,
    log,
    random: () => random.next(),
    peers: () => presence.peers(),
    notify: (address, method, params) => { links.notify(address, method, params) },
    onUpdate: update => { container.get(ids.quarantine).receive(update) }
  }), [ids.clock, ids.log, ids.random, ids.presence, ids.links]).inSingletonScope()
  container.bind(ids.quarantine).toResolvedValue((clock, log, metrics, share, probe) =>
    new CallQuarantine({ clock, log, metrics, share, endDetector: new TargetEndDetector({ clock, probe }) }), [ids.clock, ids.log, ids.metrics, ids.quarantineSync, ids.targetClient]).inSingletonScope()
}

function bindStreams (container: Container, { storesVersions }: GatewaySettings, { table }: GatewayPorts, holder: string): void {
  container.bind(ids.versionRows).toResolvedValue((clock, log, random, config, targets, presence) => new VersionRows({
    table,
    clock,
    log,
    random: () => random.next(),
    vms: () => presence.size,
    services: () => storesVersions ? config.resumableServices : [],
    lifetimeMs: () => config.streamLifetimeMs,
    listed: (service, spanMs) => targets.listedVersions(service, spanMs)
  }), [ids.clock, ids.log, ids.random, ids.config, ids.targets, ids.presence]).inSingletonScope()
  container.bind(ids.streamRows).toResolvedValue((clock, log, random, config, presence) => new StreamRows({
    table,
    clock,
    log,
    holder,
    random: () => random.next(),
    vms: () => presence.size,
    lifetimeMs: () => config.streamLifetimeMs,
    onRead: (key, version) => { container.get(ids.streams).receive(key, version) }
  }), [ids.clock, ids.log, ids.random, ids.config, ids.presence]).inSingletonScope()
  container.bind(ids.streams).toResolvedValue((clock, log, config, targets, presence, links, versionRows, streamRows): StreamVersions => new StreamVersions({
    clock,
    log,
    stored: storesVersions ? streamRows : noStreamRows,
    lifetimeMs: () => config.streamLifetimeMs,
    versions: (service, spanMs, maxAgeMs) => targets.versions(service, spanMs, versionRows.cached(service, maxAgeMs)),
    confirmedVersions: async (service, spanMs) => targets.versions(service, spanMs, await versionRows.read(service)),
    peers: () => presence.peers(),
    call: async (address, method, params, timeoutMs) => await links.call(address, method, params, timeoutMs),
    notify: (address, method, params) => { links.notify(address, method, params) }
  }), [ids.clock, ids.log, ids.config, ids.targets, ids.presence, ids.links, ids.versionRows, ids.streamRows]).inSingletonScope()
}

function bindAdmission (container: Container, { admission }: GatewaySettings): void {
  if (admission === undefined) return
  container.bind(ids.admission).toResolvedValue((clock, random, log, metrics) => new CallAdmission({
    clock,
    random,
    log,
    metrics,
    settings: admission,
    busyRatio: () => container.get(ids.ingressMonitor).busyRatio
  }), [ids.clock, ids.random, ids.log, ids.metrics]).inSingletonScope()
}

function bindPipeline (container: Container, { vm, retries }: GatewaySettings): void {
  container.bind(ids.chooser).toDynamicValue(context => {
    const log = context.get(ids.log)
    const presence = context.get(ids.presence)
    const clock = context.get(ids.clock)
    const links = context.get(ids.links)
    const paths = context.get(ids.paths)
    const relay = context.get(ids.relayClient)
    const notifications = new WorkNotifications({
      clock,
      peers: () => presence.peers(),
      notify: (address, method, params) => { links.notify(address, method, params) }
    })
    return new GatewayChooser({
      targets: context.get(ids.targets),
      balancer: context.get(ids.balancer),
      clock,
      log,
      random: context.get(ids.random),
      vm,
      isUnreachable: service => paths.isLost(service) && !relay.canRelay(service),
      vms: () => presence.names,
      notifyPeers: notification => { notifications.notifyPeers(notification) },
      notifyRefused: notification => {
        for (const { address } of presence.peers().slice(0, MAX_NOTIFIED_PEERS)) links.notify(address, REFUSED_METHOD, notification)
      }
    })
  }).inSingletonScope()
  container.bind(ids.pipeline).toDynamicValue(context => {
    const log = context.get(ids.log)
    const metrics = context.get(ids.metrics)
    const presence = context.get(ids.presence)
    const clock = context.get(ids.clock)
    const random = context.get(ids.random)
    const drainLimit = context.get(ids.drainLimit)
    const report = new CallReport(log, metrics)
    const dispatch = new CallDispatch({
      clock,
      budgets: context.get(ids.budgets),
      chooser: context.get(ids.chooser),
      retries: new GatewayRetries(retries, () => presence.size),
      client: context.get(ids.targetClient),
      metrics,
      report,
      drainLimit,
      streams: context.get(ids.streams),
      ...(container.isBound(ids.admission) ? { admission: context.get(ids.admission) } : {}),
      buffers: context.get(ids.answerBuffers),
      guard: context.get(ids.quarantine)
    })
    return new GatewayPipeline({ clock, random, config: context.get(ids.config), work: context.get(ids.work), drainLimit, dispatch, log, report })
  }).inSingletonScope()
}
