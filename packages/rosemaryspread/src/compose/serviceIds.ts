/**
 * Typed service identifiers of the container: the type of a binding and of its injection must match.
 */
import type { ServiceIdentifier } from 'inversify'
import type { AdminServer } from '@rosemaryspread/operators/admin/adminServer.js'
import type { CallerServer } from '@rosemaryspread/callers/api/callerServer.js'
import type { ApplicationService, CallerDirectory, CompletionService } from '@rosemaryspread/callers/completion/completionTypes.js'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { PollSchedule } from '@rosemaryspread/decisions/routing/pollSchedule.js'
import type { RetryDecider } from '@rosemaryspread/decisions/routing/retryBudget.js'
import type { RunnerRouter } from '@rosemaryspread/decisions/routing/runnerRouter.js'
import type { ClientGuard } from '@rosemaryspread/http/server/clientGuard.js'
import type { AdminService } from '@rosemaryspread/operators/admin/adminTypes.js'
import type { JsonRpcPeerClient } from '@rosemaryspread/peers/link/peerClient.js'
import type { PeerServer } from '@rosemaryspread/peers/link/linkTypes.js'
import type { ObjectStore } from '@rosemaryspread/infra/objects/objectTypes.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { VmList } from '@rosemaryspread/infra/vmList/vmListTypes.js'
import type { ApplicationClient } from '@rosemaryspread/runners/application/applicationTypes.js'
import type { EngineClient } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { BillArchive } from '../budget/billArchive.js'
import type { BudgetDriver } from '../budget/budgetDriver.js'
import type { OpenWork } from '../completion/completionDrain.js'
import type { CurrentConfig, RandomSource } from '../completion/completionPorts.js'
import type { UnsettledRuns } from '../completion/completionUnsettled.js'
import type { VersionHints } from '../config/configHints.js'
import type { ConfigPropagation } from '../config/configPropagation.js'
import type { ConfigStore } from '../config/configStore.js'
import type { KeyDirectory } from '../directory/keyDirectory.js'
import type { LeaseDriver } from '../membership/leaseDriver.js'
import type { FleetSize } from '../membership/fleetSize.js'
import type { MemberDriver } from '../membership/memberDriver.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import type { PlacementDriver } from '../placement/placementDriver.js'
import type { RunnerPoller } from '../routing/routingPoller.js'
import type { RoutingService } from '../routing/routingService.js'
import type { ClaimedServiceCalls } from '../service/serviceCalls.js'
import type { Settings } from '../settings/settingsSchema.js'
import type { VmIdentity } from './vmIdentity.js'

function serviceId<T> (name: string): ServiceIdentifier<T> {
  return Symbol.for(name) as ServiceIdentifier<T>
}

export const ids = {
  settings: serviceId<Settings>('Settings'),
  identity: serviceId<VmIdentity>('VmIdentity'),
  clock: serviceId<Clock>('Clock'),
  random: serviceId<RandomSource>('RandomSource'),
  log: serviceId<EventLog>('EventLog'),
  metrics: serviceId<Metrics>('Metrics'),
  work: serviceId<OpenWork>('OpenWork'),
  clients: serviceId<ClientGuard>('ClientGuard'),

  table: serviceId<TableStore>('TableStore'),
  objects: serviceId<ObjectStore>('ObjectStore'),
  vmList: serviceId<VmList>('VmList'),
  peerClient: serviceId<JsonRpcPeerClient>('PeerClient'),
  peerServer: serviceId<PeerServer>('PeerServer'),
  engines: serviceId<EngineClient>('EngineClient'),
  applications: serviceId<ApplicationClient>('ApplicationClient'),

  members: serviceId<MemberDriver>('MemberDriver'),
  fleetSize: serviceId<FleetSize>('FleetSize'),
  /** Called with the holder id of another process that runs under this VM's name. */
  onReplaced: serviceId<(by: string) => void>('OnReplaced'),
  versionHints: serviceId<VersionHints>('VersionHints'),
  configStore: serviceId<ConfigStore>('ConfigStore'),
  configPropagation: serviceId<ConfigPropagation>('ConfigPropagation'),
  currentConfig: serviceId<CurrentConfig>('CurrentConfig'),
  budgets: serviceId<BudgetDriver>('BudgetDriver'),
  billArchive: serviceId<BillArchive>('BillArchive'),
  unsettled: serviceId<UnsettledRuns>('UnsettledRuns'),

  router: serviceId<RunnerRouter>('RunnerRouter'),
  retries: serviceId<RetryDecider>('RetryDecider'),
  polls: serviceId<PollSchedule>('PollSchedule'),
  routing: serviceId<RoutingService>('RoutingService'),
  poller: serviceId<RunnerPoller>('RunnerPoller'),
  placementLease: serviceId<LeaseDriver>('PlacementLease'),
  placement: serviceId<PlacementDriver>('PlacementDriver'),
  completions: serviceId<CompletionService>('CompletionService'),
  serviceCalls: serviceId<ClaimedServiceCalls>('ServiceCalls'),
  services: serviceId<ApplicationService>('ApplicationService'),

  teamKeys: serviceId<KeyDirectory>('TeamKeys'),
  operatorKeys: serviceId<KeyDirectory>('OperatorKeys'),
  bootstrapKeys: serviceId<KeyDirectory>('BootstrapKeys'),
  directory: serviceId<CallerDirectory>('CallerDirectory'),
  admin: serviceId<AdminService>('AdminService'),
  callerServer: serviceId<CallerServer>('CallerServer'),
  adminServer: serviceId<AdminServer>('AdminServer')
}
