/**
 * Bindings of request handling: routing, completions, service calls, and the caller and admin APIs.
 */
import type { Container } from 'inversify'
import { CallerServer } from '@rosemaryspread/callers/api/callerServer.js'
import { PollSchedule } from '@rosemaryspread/decisions/routing/pollSchedule.js'
import { RetryBudget } from '@rosemaryspread/decisions/routing/retryBudget.js'
import { RunnerRouter } from '@rosemaryspread/decisions/routing/runnerRouter.js'
import { httpLimitsSchema } from '@rosemaryspread/http/server/httpLimits.js'
import { AdminServer } from '@rosemaryspread/operators/admin/adminServer.js'
import { FleetAdminService } from '../admin/adminService.js'
import { toVmAnswers } from '../admin/adminMembers.js'
import { RoutedCompletionService } from '../completion/completionService.js'
import { UnsettledRuns } from '../completion/completionUnsettled.js'
import { ConfiguredDirectory } from '../directory/callerDirectory.js'
import { KeyDirectory } from '../directory/keyDirectory.js'
import { RunnerPoller } from '../routing/routingPoller.js'
import { RoutingService } from '../routing/routingService.js'
import { BackgroundWrites } from '../service/serviceBackground.js'
import { ClaimedServiceCalls } from '../service/serviceCalls.js'
import { ClaimStore } from '../service/serviceClaim.js'
import { ids } from './serviceIds.js'

/** Needs the bindings of `bindBase`, `bindConfig` and `bindBudgets`. */
export function bindServing (container: Container): void {
  bindRouting(container)
  bindCompletions(container)
  bindServiceCalls(container)
  bindDirectories(container)
  bindServers(container)
}

function bindRouting (container: Container): void {
  container.bind(ids.retries).toConstantValue(new RetryBudget())
  container.bind(ids.router).toResolvedValue(({ vm, domain }) => new RunnerRouter(vm, domain), [ids.identity]).inSingletonScope()
  container.bind(ids.routing).toResolvedValue((decider, retries, polls, clock, random, log, fleet) =>
    new RoutingService({ decider, retries, polls, clock, random, log, vms: () => fleet.live() }),
  [ids.router, ids.retries, ids.polls, ids.clock, ids.random, ids.log, ids.fleetSize]).inSingletonScope()
  container.bind(ids.polls).toResolvedValue(({ runners }) => new PollSchedule(runners.loadPollMs), [ids.settings]).inSingletonScope()
  container.bind(ids.poller).toResolvedValue((decider, schedule, engines, clock, fleet) =>
    new RunnerPoller({ decider, schedule, engines, clock, watched: () => decider.watched(), vms: () => fleet.live() }),
  [ids.router, ids.polls, ids.engines, ids.clock, ids.fleetSize]).inSingletonScope()
}

function bindCompletions (container: Container): void {
  container.bind(ids.unsettled).toResolvedValue((engines, budgets, identity, config) =>
    new UnsettledRuns(engines, budgets, identity.holder, runner =>
      config.current().map(({ config: { runners } }) => runner in runners).orDefault(true)),
  [ids.engines, ids.budgets, ids.identity, ids.currentConfig]).inSingletonScope()

  container.bind(ids.completions).toDynamicValue(ctx => new RoutedCompletionService({
    holder: ctx.get(ids.identity).holder,
    clock: ctx.get(ids.clock),
    random: ctx.get(ids.random),
    config: ctx.get(ids.currentConfig),
    work: ctx.get(ids.work),
    budgets: ctx.get(ids.budgets),
    routing: ctx.get(ids.routing),
    engines: ctx.get(ids.engines),
    unsettled: ctx.get(ids.unsettled),
    log: ctx.get(ids.log),
    metrics: ctx.get(ids.metrics),
    reserveTimeoutMs: ctx.get(ids.settings).budgets.reserveTimeoutMs
  })).inSingletonScope()
}

function bindServiceCalls (container: Container): void {
  container.bind(ids.serviceCalls).toDynamicValue(ctx => {
    const claims = new ClaimStore(ctx.get(ids.table))
    const work = ctx.get(ids.work)
    const log = ctx.get(ids.log)
    const { holder, domain } = ctx.get(ids.identity)
    return new ClaimedServiceCalls({
      holder,
      domain,
      clock: ctx.get(ids.clock),
      random: ctx.get(ids.random),
      config: ctx.get(ids.currentConfig),
      work,
      claims,
      background: new BackgroundWrites(claims, work, log),
      runners: ctx.get(ids.applications),
      log,
      metrics: ctx.get(ids.metrics)
    })
  }).inSingletonScope()
  container.bind(ids.services).toResolvedValue(calls => calls, [ids.serviceCalls]).inSingletonScope()
}

function bindDirectories (container: Container): void {
  container.bind(ids.teamKeys).toConstantValue(new KeyDirectory())
  container.bind(ids.operatorKeys).toConstantValue(new KeyDirectory())
  container.bind(ids.bootstrapKeys).toResolvedValue(({ bootstrapOperatorKeyHash: hash }) => {
    const keys = new KeyDirectory()
    keys.replace(hash === undefined ? [] : [['bootstrap', [hash]]])
    return keys
  }, [ids.settings]).inSingletonScope()

  container.bind(ids.directory).toDynamicValue(ctx => {
    const members = ctx.get(ids.members)
    return new ConfiguredDirectory({
      config: ctx.get(ids.currentConfig),
      work: ctx.get(ids.work),
      keys: ctx.get(ids.teamKeys),
      budgets: ctx.get(ids.budgets),
      metrics: ctx.get(ids.metrics),
      addresses: team => members.addresses(0, team).addresses
    })
  }).inSingletonScope()

  container.bind(ids.admin).toDynamicValue(ctx => {
    const members = ctx.get(ids.members)
    const routing = ctx.get(ids.routing)
    const calls = ctx.get(ids.serviceCalls)
    const budgets = ctx.get(ids.budgets)
    return new FleetAdminService({
      current: ctx.get(ids.currentConfig),
      config: ctx.get(ids.configStore),
      budgets: {
        show: async budget => await budgets.show(budget),
        topUp: async (budget, req) => await budgets.topUp({ ...req, budget })
      },
      keys: ctx.get(ids.operatorKeys),
      bootstrapKeys: ctx.get(ids.bootstrapKeys),
      vms: () => toVmAnswers(members.members()),
      addresses: () => members.addresses(0).addresses,
      runnerStates: () => routing.states(),
      serviceInFlight: runner => calls.inFlight(runner)
    })
  }).inSingletonScope()
}

function bindServers (container: Container): void {
  container.bind(ids.callerServer).toDynamicValue(ctx => new CallerServer({
    completions: ctx.get(ids.completions),
    services: ctx.get(ids.services),
    directory: ctx.get(ids.directory),
    log: ctx.get(ids.log),
    clients: ctx.get(ids.clients),
    limits: httpLimitsSchema.parse({ bodyBytes: ctx.get(ids.settings).maxBodyBytes })
  })).inSingletonScope()
  container.bind(ids.adminServer).toDynamicValue(ctx => new AdminServer({
    service: ctx.get(ids.admin),
    log: ctx.get(ids.log),
    clients: ctx.get(ids.clients),
    limits: httpLimitsSchema.parse({ bodyBytes: ctx.get(ids.settings).maxBodyBytes })
  })).inSingletonScope()
}
