/**
 * Service identifiers of the gateway container; those shared with the VM of the public API come from
 * serviceIds.
 */
import type { ServiceIdentifier } from 'inversify'
import type { DrainLimit } from '@rosemaryspread/decisions/gateway/drainLimit.js'
import type { TargetBalancer } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import { ids } from '../compose/serviceIds.js'
import type { TableDigest } from '../digest/tableDigest.js'
import type { ConnectionForwarder } from '../forwarding/connectionForwarder.js'
import type { FleetLinks } from '../presence/fleetLinks.js'
import type { VmPresence } from '../presence/vmPresence.js'
import type { DirectClient } from '../paths/directClient.js'
import type { TargetPaths } from '../paths/targetPaths.js'
import type { CallQuarantine } from '../quarantine/callQuarantine.js'
import type { QuarantineSync } from '../quarantine/quarantineSync.js'
import type { RelayClient } from '../relay/relayClient.js'
import type { RelayingClient } from '../relay/relayingClient.js'
import type { RelayServer } from '../relay/relayServer.js'
import type { StreamRows } from '../streams/streamRows.js'
import type { StreamVersions } from '../streams/streamVersions.js'
import type { VersionRows } from '../streams/versionRows.js'
import type { IngressMonitor } from './ingressMonitor.js'
import type { AnswerBuffers } from './answerBuffers.js'
import type { ByteBudget } from './byteBudget.js'
import type { CallAdmission } from './callAdmission.js'
import type { CallPlaces } from './callPlaces.js'
import type { GatewayChooser } from './gatewayChooser.js'
import type { GatewayConfigHolder } from './gatewayConfigHolder.js'
import type { GatewayPipeline } from './gatewayPipeline.js'
import type { GatewayTargets } from './gatewayTargets.js'

function id<T> (name: string): ServiceIdentifier<T> {
  return Symbol.for(name) as ServiceIdentifier<T>
}

export const gatewayIds = {
  clock: ids.clock,
  random: ids.random,
  log: ids.log,
  metrics: ids.metrics,
  work: ids.work,
  clients: ids.clients,
  table: ids.table,
  budgets: ids.budgets,
  config: id<GatewayConfigHolder>('GatewayConfigHolder'),
  digest: id<TableDigest>('TableDigest'),
  presence: id<VmPresence>('VmPresence'),
  links: id<FleetLinks>('FleetLinks'),
  balancer: id<TargetBalancer>('TargetBalancer'),
  targets: id<GatewayTargets>('GatewayTargets'),
  quarantine: id<CallQuarantine>('CallQuarantine'),
  quarantineSync: id<QuarantineSync>('QuarantineSync'),
  drainLimit: id<DrainLimit>('DrainLimit'),
  answerBuffers: id<AnswerBuffers>('AnswerBuffers'),
  requestBodies: id<ByteBudget>('RequestBodies'),
  requestHeads: id<ByteBudget>('RequestHeads'),
  callPlaces: id<CallPlaces>('CallPlaces'),
  /** Bound only if the settings have a section `admission`. */
  admission: id<CallAdmission>('CallAdmission'),
  chooser: id<GatewayChooser>('GatewayChooser'),
  paths: id<TargetPaths>('TargetPaths'),
  directClient: id<DirectClient>('DirectClient'),
  relayClient: id<RelayClient>('RelayClient'),
  relayServer: id<RelayServer>('RelayServer'),
  targetClient: id<RelayingClient>('RelayingClient'),
  forwarder: id<ConnectionForwarder>('ConnectionForwarder'),
  ingressMonitor: id<IngressMonitor>('IngressMonitor'),
  streams: id<StreamVersions>('StreamVersions'),
  versionRows: id<VersionRows>('VersionRows'),
  streamRows: id<StreamRows>('StreamRows'),
  pipeline: id<GatewayPipeline>('GatewayPipeline')
}
