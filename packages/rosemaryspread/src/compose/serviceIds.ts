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

function id<T> (name: string): ServiceIdentifier<T> {
  return Symbol.for(name) as ServiceIdentifier<T>
}

export const ids = {
  settings: id<Settings>('Settings'),
  identity: id<VmIdentity>('VmIdentity'),
  clock: id<Clock>('Clock'),
  random: id<RandomSource>('RandomSource'),
  log: id<EventLog>('EventLog'),
  metrics: id<Metrics>('Metrics'),
  work: id<OpenWork>('OpenWork'),

  table: id<TableStore>('TableStore'),
  objects: id<ObjectStore>('ObjectStore'),
  vmList: id<VmList>('VmList'),
  peerClient: id<JsonRpcPeerClient>('PeerClient'),
  peerServer: id<PeerServer>('PeerServer'),
  engines: id<EngineClient>('EngineClient'),
  applications: id<ApplicationClient>('ApplicationClient'),

  members: id<MemberDriver>('MemberDriver'),
  fleetSize: id<FleetSize>('FleetSize'),
  /** Called with the holder id of another process that runs under this VM's name. */
  onReplaced: id<(by: string) => void>('OnReplaced'),
  versionHints: id<VersionHints>('VersionHints'),
  configStore: id<ConfigStore>('ConfigStore'),
  configSpread: id<ConfigPropagation>('ConfigSpread'),
  currentConfig: id<CurrentConfig>('CurrentConfig'),
  budgets: id<BudgetDriver>('BudgetDriver'),
  billArchive: id<BillArchive>('BillArchive'),
  unsettled: id<UnsettledRuns>('UnsettledRuns'),

  router: id<RunnerRouter>('RunnerRouter'),
  retries: id<RetryDecider>('RetryDecider'),
  polls: id<PollSchedule>('PollSchedule'),
  routing: id<RoutingService>('RoutingService'),
  poller: id<RunnerPoller>('RunnerPoller'),
  placementLease: id<LeaseDriver>('PlacementLease'),
  placement: id<PlacementDriver>('PlacementDriver'),
  completions: id<CompletionService>('CompletionService'),
  serviceCalls: id<ClaimedServiceCalls>('ServiceCalls'),
  services: id<ApplicationService>('ApplicationService'),

  teamKeys: id<KeyDirectory>('TeamKeys'),
  operatorKeys: id<KeyDirectory>('OperatorKeys'),
  bootstrapKeys: id<KeyDirectory>('BootstrapKeys'),
  directory: id<CallerDirectory>('CallerDirectory'),
  admin: id<AdminService>('AdminService'),
  callerServer: id<CallerServer>('CallerServer'),
  adminServer: id<AdminServer>('AdminServer')
}
