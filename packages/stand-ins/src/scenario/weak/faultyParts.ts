/**
 * Faulty parts by name. Each removes one protection of the product; docs/PROOFS.md lists the promise
 * that breaks without it and the scenario that shows it. None is shipped with the product.
 */
import { Left, Right } from 'purify-ts'
import type { Container } from 'inversify'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ConfigDecider } from '@rosemaryspread/decisions/config/configDecider.js'
import { CURRENT_TABLE, PATCH_TABLE, VERSION_TABLE } from '@rosemaryspread/decisions/config/configRows.js'
import type { FleetConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { Reservation } from 'rosemaryspread/budget/budgetPort.js'
import { ids } from 'rosemaryspread/compose/serviceIds.js'
import { ConfigStore } from 'rosemaryspread/config/configStore.js'
import { ForgetfulConfigDecider, StuckConfigDecider } from './faultyConfig.js'
import { allRunsAreOurs, cutIsWhole } from './faultyEngines.js'
import { overrideMembers } from './overrideMembers.js'

/** Binds a faulty part in the container of one VM. */
export type FaultyPart = (container: Container) => void

/** Drops the checks of transactions on the given tables. */
function dropChecksOf (tables: readonly string[]): FaultyPart {
  return container => overrideMembers(container, ids.table, (table): Partial<TableStore> => ({
    transact: async tx => await table.transact({ ...tx, checks: tx.checks.filter(check => !tables.includes(check.table)) })
  }))
}

/** Admits requests that the budget refuses. */
function admitsAll (container: Container): void {
  overrideMembers(container, ids.budgets, budgets => {
    const invented = new Set<string>()
    return {
      reserve: async (budget, tokens, giveUpAfterMs) => {
        const reserved = await budgets.reserve(budget, tokens, giveUpAfterMs)
        if (reserved.isRight()) return reserved
        const reservation: Reservation = { reservationId: `invented${invented.size}`, budget, tokens }
        invented.add(reservation.reservationId)
        return Right(reservation)
      },
      confirm: reservation => invented.has(reservation.reservationId) ? Right(undefined) : budgets.confirm(reservation),
      settle: (reservation, bill) => { if (!invented.has(reservation.reservationId)) budgets.settle(reservation, bill) }
    }
  })
}

/** Reports a call whose answer was lost as not run. */
function lostIsNotRun (container: Container): void {
  overrideMembers(container, ids.applications, applications => ({
    call: async (address, call) => (await applications.call(address, call))
      .chainLeft(({ code, message }) => Left(new Failure(code, message, { ran: 'no' })))
  }))
}

/** Continues to use runners that the configuration marks as leaving. */
function ignoresLeaving (container: Container): void {
  overrideMembers(container, ids.routing, routing => ({ configure: config => { routing.configure(allActive(config)) } }))
}

function allActive (config: FleetConfig): FleetConfig {
  const runners = Object.entries(config.runners).map(([name, runner]) => [name, { ...runner, state: 'active' as const }] as const)
  return { ...config, runners: Object.fromEntries(runners) }
}

/** Replaces the decider of the configuration version in force. */
function useConfigDecider (container: Container, decider: ConfigDecider): void {
  const deps = {
    table: container.get(ids.table),
    objects: container.get(ids.objects),
    clock: container.get(ids.clock),
    log: container.get(ids.log),
    random: () => container.get(ids.random).next(),
    timers: {
      after: (ms: number, fn: () => void) => {
        const timer = setTimeout(fn, ms)
        return () => { clearTimeout(timer) }
      }
    }
  }
  container.rebind(ids.configStore).toConstantValue(new ConfigStore(deps, decider))
}

/** Continues to act in a role under the first fencing number it acquired. */
function staleLease (container: Container): void {
  overrideMembers(container, ids.placementLease, lease => {
    let firstFencing: number | undefined
    return {
      mayAct: () => firstFencing !== undefined,
      fencing: () => {
        const current = lease.fencing().ifRight(fencing => { firstFencing ??= fencing })
        return firstFencing === undefined ? current : Right(firstFencing)
      }
    }
  })
}

/** Faulty parts by name; `abruptStop` is implemented by the entry point. */
export const faultyParts: Readonly<Record<string, FaultyPart>> = {
  uncheckedClaims: dropChecksOf(['claims']),
  uncheckedVersions: dropChecksOf([CURRENT_TABLE, VERSION_TABLE, PATCH_TABLE]),
  admitsAll,
  lostIsNotRun,
  ignoresLeaving,
  staleLease,
  forgetsVersion: container => useConfigDecider(container, new ForgetfulConfigDecider()),
  stuckVersion: container => useConfigDecider(container, new StuckConfigDecider()),
  cutIsWhole: container => overrideMembers(container, ids.engines, cutIsWhole),
  allRunsAreOurs: container => overrideMembers(container, ids.engines, allRunsAreOurs),
  noRecovery: container => overrideMembers(container, ids.budgets, () => ({ recoverTerminated: async () => {} })),
  abruptStop: () => {}
}
