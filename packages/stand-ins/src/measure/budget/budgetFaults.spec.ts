/**
 * Pairs each fault with a faulty driver that violates an invariant under it, which shows that the
 * test can fail. The product holds all invariants under the same steps.
 */
import { expect } from 'chai'
import { Left, Right } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import type { TransferResponse, TransferRequest } from 'rosemaryspread/budget/budgetPeers.js'
import type { Row, TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { ChaosRun, productDriver, type ChaosStep, type DriverFactory, type Tally } from './budgetChaos.js'
import type { SpenderDeps } from './budgetVm.js'

/** The product with some of its dependencies replaced. */
function faultyDriver (override: (deps: SpenderDeps) => Partial<SpenderDeps>): DriverFactory {
  return (deps, policy, log) => productDriver({ ...deps, ...override(deps) }, policy, log)
}

/** A store that filters the rows read and drops the checks on segments. */
function filteredStore (store: TableStore, filter: (row: Row) => Row | null): TableStore {
  return {
    scan: async req => await store.scan(req),
    read: async keys => (await store.read(keys)).map(answer => ({ ...answer, rows: answer.rows.map(row => row === null ? null : filter(row)) })),
    transact: async tx => await store.transact({ ...tx, checks: tx.checks.filter(check => check.table !== budgetTables.segments) })
  }
}

/** Does not detect that a draw was already applied, so it draws again after a lost answer. */
const drawsAgain = faultyDriver(deps => ({
  store: filteredStore(deps.store, row => row.table === budgetTables.allotments ? { ...row, value: { ...row.value as object, lastDraw: undefined } } : row)
}))

/** Does not detect that a flush was already applied, so it settles again after a lost answer. */
const settlesAgain = faultyDriver(deps => ({ store: filteredStore(deps.store, row => row.table === budgetTables.segments ? null : row) }))

/** Measures its lease on the monotonic clock alone, which some hypervisors stop during a pause. */
const monotonicClockOnly = faultyDriver(deps => ({ clock: { now: () => ({ mono: deps.clock.now().mono, wall: 0 }) } }))

/** Recovers the full allotment of a terminated holder without querying the runners. */
const skipsRunners = faultyDriver(deps => ({ runners: { ...deps.runners, declared: () => [] } }))

/** The product while all runners are unreachable for two minutes. */
const unreachableRunners = faultyDriver(({ runners, clock }) => ({
  runners: {
    ...runners,
    engines: {
      ...runners.engines,
      listByHolder: async (address, holder) => clock.now().mono < 120_000
        ? Left(new Failure('runnerUnreachable', 'no answer', { ran: 'no' }))
        : await runners.engines.listByHolder(address, holder)
    }
  }
}))

/** Treats an unreachable runner as one without runs. */
const treatsUnreachableAsIdle = faultyDriver(deps => ({
  runners: { ...deps.runners, engines: { ...deps.runners.engines, listByHolder: async () => Right([]) } }
}))

/** Closes the allotment of a terminated holder without querying peers for unrecorded transfers. */
const skipsTransferCheck = faultyDriver(({ peers }) => ({
  peers: { members: () => peers.members(), requestTransfer: async (holder, request) => await peers.requestTransfer(holder, request), recall: async (holder, request) => await peers.recall(holder, request), confirmNoTransfers: async () => Right({ none: true }) }
}))

/** Answers a transfer request without subtracting the tokens first. */
class GrantsWithoutSubtracting extends BudgetDriver {
  override onTransferRequest (request: TransferRequest): TransferResponse {
    const { transferId, budget, to, atLeast: tokens } = request
    return { transfer: { transferId, budget, to, tokens, from: to === 'vm1~1' ? 'vm2~1' : 'vm1~1', validForMs: 40_000 } }
  }
}
const grantsWithoutSubtracting: DriverFactory = (deps, policy, log) => new GrantsWithoutSubtracting({ ...deps, policy, log })

const burst = (at: number, which: number, count: number, tokens: number): ChaosStep => ({ kind: 'burst', at, which, count, tokens })

const cases: ReadonlyArray<{ title: string, steps: readonly ChaosStep[], product?: DriverFactory, weak: DriverFactory, breaks: RegExp }> = [
  {
    title: 'answers of draws are lost',
    steps: [{ kind: 'lose', at: 1, lasts: 60, which: 0 }, burst(2, 0, 8, 500), burst(12, 1, 8, 500), burst(30, 2, 8, 400)],
    weak: drawsAgain,
    breaks: /stranded/
  },
  {
    title: 'answers of flushes are lost',
    steps: [{ kind: 'lose', at: 8, lasts: 60, which: 0 }, burst(2, 0, 8, 500), burst(12, 1, 8, 500), burst(30, 2, 8, 400)],
    weak: settlesAgain,
    breaks: /billed|stranded/
  },
  {
    title: 'a holder resumes after its expiry on a VM that stops the monotonic clock',
    steps: [burst(2, 2, 4, 900), { kind: 'replace', at: 16, lasts: 90, which: 2, stopsMono: true }, burst(107, 2, 4, 100), burst(107, 3, 4, 100), burst(107, 4, 4, 100)],
    weak: monotonicClockOnly,
    breaks: /not billed/
  },
  {
    title: 'a holder is killed with unbilled runs',
    steps: [burst(2, 0, 8, 900), { kind: 'kill', at: 5, which: 0 }],
    weak: skipsRunners,
    breaks: /not billed/
  },
  {
    title: 'a holder is killed and no runner answers for two minutes',
    steps: [burst(2, 0, 8, 900), { kind: 'kill', at: 5, which: 0 }],
    product: unreachableRunners,
    weak: treatsUnreachableAsIdle,
    breaks: /not billed/
  },
  {
    title: 'a granter is killed while the recipient is frozen with the transfer unrecorded',
    steps: [
      burst(2, 0, 1, 2000), { kind: 'outage', at: 20, lasts: 12, which: 0 }, burst(21, 4, 1, 3), burst(22, 1, 4, 200), burst(21, 6, 8, 150),
      burst(21, 2, 4, 150), burst(21, 0, 8, 150), { kind: 'kill', at: 30, which: 0 }, { kind: 'freeze', at: 31, lasts: 40, which: 1, stopsMono: false }
    ],
    weak: skipsTransferCheck,
    breaks: /not billed/
  },
  {
    title: 'tokens are transferred while the table is down',
    steps: [burst(2, 0, 4, 900), { kind: 'outage', at: 20, lasts: 30, which: 0 }, burst(21, 0, 12, 300), burst(23, 4, 12, 300), burst(25, 0, 12, 300)],
    weak: grantsWithoutSubtracting,
    breaks: /not billed/
  }
]

describe('budget faults', () => {
  for (const { title, steps, product, weak, breaks } of cases) {
    it(`${title}: the product holds its invariants, the faulty driver does not`, async () => {
      expect(await new ChaosRun(1, new Map(), product).run(steps)).to.deep.equal([])
      const violations = await new ChaosRun(1, new Map(), weak).run(steps)
      expect(violations.join('; ')).to.match(breaks)
    })
  }

  it('serves from tokens recalled from another domain, where a holder without peers refuses', async () => {
    const steps = [burst(2, 2, 4, 1900), burst(20, 0, 1, 3000)]
    const withoutMembers = faultyDriver(({ peers }) => ({ peers: { ...peers, members: () => [] } }))
    const [withPeers, withoutPeers]: readonly Tally[] = [new Map(), new Map()]
    await new ChaosRun(1, withPeers as Tally).run(steps)
    await new ChaosRun(1, withoutPeers as Tally, withoutMembers).run(steps)
    expect([withPeers?.get('admitted'), withoutPeers?.get('admitted')]).to.deep.equal([5, 4])
  })
})
