/**
 * Cost of recovering the allotments of a terminated VM: calls to runners and to the table, by its
 * number of budgets and by the number of declared runners. No runner has a run of it.
 */
import { setImmediate } from 'node:timers/promises'
import { Left, Nothing, Right, type Either } from 'purify-ts'
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import type { RecoveryRunners } from 'rosemaryspread/budget/budgetRecoveryRuns.js'
import { MemoryTableStore } from '../../table/memoryTableStore.js'
import { TableState } from '../../table/tableState.js'
import { plannedScale } from './plannedScale.js'
import { CountingTable } from './countingTable.js'
import { createPoint, type CapacityProbe, type ProbePoint } from './probeTypes.js'

const BUDGETS = [10, 20, 40]
const RUNNERS = [12, 120, 600]
const FEW_BUDGETS = 10
const DOMAIN = 'quito-centro'
const TERMINATED_VM = 'quito-centro-a'
const BILLED_TOKENS = 1_024
const PAID_TOKENS = 1_000_000
const TICKS = 20
const TICK_MS = 500
const log = { write: () => {} }

/** Calls of one recovery. */
interface RecoveryCost {
  readonly runnerCalls: number
  readonly tableCalls: number
}

async function measureRecovery (budgets: number, runners: number): Promise<RecoveryCost> {
  let mono = 0
  const clock = { now: () => ({ mono, wall: mono }) }
  const state = new TableState(() => mono)
  const names = Array.from({ length: budgets }, (_, index) => `budget-${index}`)
  for (const budget of names) state.transact({ checks: [], writes: [{ table: budgetTables.budgets, key: budget, value: { budget, paid: PAID_TOKENS, spent: 0, allotted: 0 } }] })
  const unreachable = async (): Promise<Either<Failure, never>> => Left(new Failure('peerUnreachable', 'the fleet has no other VMs', { ran: 'no' }))
  const peers = { members: () => [], requestTransfer: unreachable, recall: unreachable, confirmNoTransfers: unreachable }
  const terminated = new BudgetDriver({ holder: `${TERMINATED_VM}~0123456789ab`, domain: DOMAIN, store: new MemoryTableStore(state), peers, clock, log })
  for (const budget of names) {
    const reserved = await terminated.reserve(budget, BILLED_TOKENS, TICK_MS)
    terminated.settle(reserved.unsafeCoerce(), { requestId: budget, budget, team: budget, tokens: BILLED_TOKENS, runner: 'runner-0' })
  }
  for (let tick = 0; tick < TICKS; tick++) {
    mono += TICK_MS
    terminated.tick()
    await setImmediate()
  }
  let runnerCalls = 0
  const idleRunners: RecoveryRunners = {
    engines: {
      listByHolder: async () => {
        runnerCalls++
        return Right([])
      },
      find: async () => Right(Nothing),
      cancel: async () => Left(new Failure('notFound', 'no such run', { ran: 'no' }))
    },
    declared: () => Array.from({ length: runners }, (_, index) => ({ runner: `runner-${index}`, address: `10.1.0.${index}:8000`, servesSince: {} }))
  }
  const table = new CountingTable(new MemoryTableStore(state))
  const recoverer = new BudgetDriver({ holder: 'quito-centro-b~0123456789ab', domain: DOMAIN, store: table, peers, clock, log, runners: idleRunners })
  await recoverer.recoverTerminated({ asOf: mono + TICK_MS, vms: [{ vm: TERMINATED_VM, state: 'gone' }] })
  const stillOpen = state.all(budgetTables.allotments).filter(({ value }) => (value as { state: string }).state === 'open')
  if (stillOpen.length > 0) throw new Error(`${stillOpen.length} allotments of the terminated VM are still open after recovery`)
  return { runnerCalls, tableCalls: table.counts.reads + table.counts.writes }
}

/** Calls of recovery by budgets and by runners. */
export const recoveryProbe: CapacityProbe = {
  name: 'recovery',
  isTimeSensitive: false,
  run: async () => {
    const points: ProbePoint[] = []
    for (const size of BUDGETS) {
      const { runnerCalls, tableCalls } = await measureRecovery(size, plannedScale.runners)
      const series = { role: 'entry VM', driver: 'budgets held by an ended VM, 600 runners', unit: '', at: plannedScale.teams }
      points.push(createPoint({ ...series, quantity: 'calls to runners to recover it' }, size, runnerCalls))
      points.push(createPoint({ ...series, role: 'table service', quantity: 'calls to recover it' }, size, tableCalls))
    }
    for (const size of RUNNERS) {
      const { runnerCalls } = await measureRecovery(FEW_BUDGETS, size)
      points.push(createPoint({ role: 'entry VM', driver: 'runners, 10 budgets held by an ended VM', quantity: 'calls to runners to recover it', unit: '', at: plannedScale.runners }, size, runnerCalls))
    }
    return points
  }
}
