/**
 * Recovery bills a run of a terminated holder at most once, and not at all if another holder ran the same request at an
 * earlier runner.
 */
import { expect } from 'chai'
import { Just, Left, Nothing, Right } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { keyedRank } from '@rosemaryspread/decisions/routing/keyedOrder.js'
import type { RunRecord } from '@rosemaryspread/runners/engine/engineTypes.js'
import { RecoveryRuns, type RecoveryRunners } from 'rosemaryspread/budget/budgetRecoveryRuns.js'
import { MemoryTableStore } from '../table/memoryTableStore.js'

const ID = 'request-1'
const TERMINATED_HOLDER = 'a~1'
const [first, second] = ['r1', 'r2'].sort((a, b) => keyedRank(ID, b, 0, 0) - keyedRank(ID, a, 0, 0)) as [string, string]

function createRun (holder: string, state: RunRecord['state'] = 'finished'): RunRecord {
  return { requestId: ID, digest: 'd', holder, team: 't', budget: 'b', model: 'm', state, promptTokens: 1, completionTokens: 2 }
}

interface RunCase {
  readonly name: string
  readonly runs: Readonly<Record<string, RunRecord>>
  /** Runner that lists its runs, but does not answer queries for a single run. */
  readonly unresponsive?: string
  readonly billed: number | 'pending'
}

const cases: readonly RunCase[] = [
  { name: 'the only run', runs: { [second]: createRun(TERMINATED_HOLDER) }, billed: 1 },
  { name: 'a run whose earlier runner is sealed', runs: { [first]: createRun('', 'sealed'), [second]: createRun(TERMINATED_HOLDER) }, billed: 1 },
  { name: 'a run that another holder made at an earlier runner', runs: { [first]: createRun('b~1'), [second]: createRun(TERMINATED_HOLDER) }, billed: 0 },
  { name: 'a run that another holder made at a later runner', runs: { [first]: createRun(TERMINATED_HOLDER), [second]: createRun('b~1') }, billed: 1 },
  { name: 'two runs of the terminated holder', runs: { [first]: createRun(TERMINATED_HOLDER), [second]: createRun(TERMINATED_HOLDER) }, billed: 1 },
  { name: 'a run whose earlier runner does not answer', runs: { [second]: createRun(TERMINATED_HOLDER) }, unresponsive: first, billed: 'pending' }
]

function createRunners ({ runs, unresponsive: unresponsiveRunner }: RunCase): RecoveryRunners {
  return {
    declared: () => [first, second].map(runner => ({ runner, address: runner, servesSince: { m: 0 } })),
    engines: {
      listByHolder: async (address, holder) => Right([runs[address]].filter(run => run?.holder === holder) as RunRecord[]),
      find: async address => {
        if (address === unresponsiveRunner) return Left(new Failure('runnerUnreachable', 'no answer', { ran: 'no' }))
        const run = runs[address]
        return Right(run === undefined ? Nothing : Just(run))
      },
      cancel: async () => Left(new Failure('notFound', 'none', { ran: 'no' }))
    }
  }
}

describe('recovery of runs', () => {
  for (const test of cases) {
    it(`bills ${test.billed} for ${test.name}`, async () => {
      const runs = new RecoveryRuns(new MemoryTableStore(), createRunners(test))
      const unbilled = await runs.unbilled('b', [{ holder: TERMINATED_HOLDER, lastSeq: undefined, mayCancel: false }], 1_000)
      expect(unbilled.caseOf<number | 'pending'>({ Left: () => 'pending', Right: bills => bills.length })).to.equal(test.billed)
    })
  }
})
