/**
 * Bindings of placement: the lease of the placement role and the driver that acts while it holds the lease.
 */
import type { Container } from 'inversify'
import { MEMBER_ROLES } from '@rosemaryspread/decisions/membership/memberRoles.js'
import { PlacementPlanner } from '@rosemaryspread/decisions/placement/placementPlanner.js'
import { LeaseDriver } from '../membership/leaseDriver.js'
import { PlacementDriver } from '../placement/placementDriver.js'
import { ids } from './serviceIds.js'

/** Needs the bindings of `bindBase` and `bindConfig`. A VM is a candidate for the lease only while the configuration enables placement. */
export function bindPlacement (container: Container): void {
  container.bind(ids.placementLease).toDynamicValue(ctx => {
    const config = ctx.get(ids.currentConfig)
    const members = ctx.get(ids.members)
    const work = ctx.get(ids.work)
    const isPlacementEnabled = (): boolean => config.current().map(current => current.config.limits.placement).orDefault(false)
    return new LeaseDriver({
      role: MEMBER_ROLES.placement,
      holder: ctx.get(ids.identity).holder,
      table: ctx.get(ids.table),
      clock: ctx.get(ids.clock),
      log: ctx.get(ids.log),
      isCandidate: () => isPlacementEnabled() && !work.draining && members.isCandidate(MEMBER_ROLES.placement)
    })
  }).inSingletonScope()

  container.bind(ids.placement).toDynamicValue(ctx => new PlacementDriver({
    planner: new PlacementPlanner(),
    lease: ctx.get(ids.placementLease),
    engines: ctx.get(ids.engines),
    config: ctx.get(ids.currentConfig),
    clock: ctx.get(ids.clock),
    log: ctx.get(ids.log)
  })).inSingletonScope()
}
