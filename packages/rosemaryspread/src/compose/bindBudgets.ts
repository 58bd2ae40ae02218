/**
 * Bindings of the budget driver and the bill archive.
 */
import type { Container } from 'inversify'
import { defaultBudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import { BillArchive } from '../budget/billArchive.js'
import { BudgetDriver } from '../budget/budgetDriver.js'
import { BudgetPeerCalls } from '../budget/budgetPeerCalls.js'
import type { DeclaredRunner } from '../budget/budgetRecoveryRuns.js'
import type { CurrentConfig } from '../completion/completionPorts.js'
import { ids } from './serviceIds.js'

/** Needs the bindings of `bindBase` and `bindConfig`. */
export function bindBudgets (container: Container): void {
  container.bind(ids.budgets).toDynamicValue(ctx => {
    const { holder, domain, place } = ctx.get(ids.identity)
    const { flushMs } = ctx.get(ids.settings).budgets
    const members = ctx.get(ids.members)
    return new BudgetDriver({
      holder,
      domain,
      place,
      policy: { ...defaultBudgetPolicy, flushMs },
      store: ctx.get(ids.table),
      peers: new BudgetPeerCalls({ client: ctx.get(ids.peerClient), holder, members: () => members.members() }),
      clock: ctx.get(ids.clock),
      log: ctx.get(ids.log),
      runners: {
        engines: ctx.get(ids.engines),
        declared: () => declaredRunners(ctx.get(ids.currentConfig))
      }
    })
  }).inSingletonScope()
  container.bind(ids.billArchive).toDynamicValue(ctx => new BillArchive({
    store: ctx.get(ids.table),
    objects: ctx.get(ids.objects),
    log: ctx.get(ids.log)
  })).inSingletonScope()
}

function declaredRunners (current: CurrentConfig): readonly DeclaredRunner[] {
  const runners = current.current().extractNullable()?.config.runners ?? {}
  return Object.entries(runners).map(([runner, { address, servesSince }]) => ({ runner, address, servesSince }))
}
