/**
 * A process terminates abruptly while the targets store no record of runs: its successor on the VM recovers only the tokens
 * that the last report of the terminated process did not allow it to use, and nothing is overspent.
 */
import { expect } from 'chai'
import { Right } from 'purify-ts'
import { BudgetDriver } from 'rosemaryspread/budget/budgetDriver.js'
import { AssumedSpentRuns } from 'rosemaryspread/budget/assumedSpentRuns.js'
import type { BudgetPeers } from 'rosemaryspread/budget/budgetPeers.js'
import { gatewayBudgetPolicy } from 'rosemaryspread/gateway/gatewayBudgetPolicy.js'
import { MemoryTableStore } from '../table/memoryTableStore.js'
import { TableState } from '../table/tableState.js'

const TICK_MS = 50
const PAID_TOKENS = 1_000_000
const REQUEST_TOKENS = 1_000

const noPeers: BudgetPeers = {
  members: () => [],
  requestTransfer: async () => Right({}),
  recall: async () => Right({ returned: 0 }),
  confirmNoTransfers: async () => Right({ none: true })
}

/** One VM and the successive processes on it. */
class VmHarness {
  mono = 0
  private readonly state = new TableState(() => this.mono)
  readonly store = new MemoryTableStore(this.state)

  createProcess (token: string, startedAt = this.mono): BudgetDriver {
    return new BudgetDriver({
      holder: `vm1~${token}`,
      domain: 'd',
      place: '10.0.0.1:80',
      processStartedAt: startedAt,
      store: this.store,
      peers: noPeers,
      policy: gatewayBudgetPolicy,
      clock: { now: () => ({ mono: this.mono, wall: this.mono }) },
      log: { write: () => {} },
      unbilledRuns: new AssumedSpentRuns(),
      declared: () => ({ tokens: PAID_TOKENS, version: 1 })
    })
  }

  async advance (ms: number, driver: BudgetDriver): Promise<void> {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.mono += TICK_MS
      driver.tick()
      for (let i = 0; i < 4; i += 1) await new Promise(resolve => setImmediate(resolve))
    }
  }

  /** Starts the successor of a process that made requests; the store is unreachable from before its start. */
  async startSuccessorInOutage (requests: number): Promise<BudgetDriver> {
    const first = this.createProcess('a')
    await this.advance(200, first)
    await this.sendRequests(first, requests)
    this.store.outage = true
    return this.createProcess('b')
  }

  /** Makes requests one after another; returns the tokens of those admitted, none of which is billed. */
  async sendRequests (driver: BudgetDriver, requests: number): Promise<number> {
    let used = 0
    for (let i = 0; i < requests; i += 1) {
      const pending = driver.reserve('b', REQUEST_TOKENS, 100)
      await this.advance(TICK_MS, driver)
      if (i % 2 === 0) await this.advance(TICK_MS, driver)
      const reserved = await Promise.race([pending, Promise.resolve(undefined)])
      if (reserved?.isRight() === true) used += REQUEST_TOKENS
    }
    return used
  }
}

interface TerminationCase {
  readonly name: string
  readonly requests: number
  /** Requests made while the store is unreachable, before the process terminates. */
  readonly requestsInOutage: number
}

const cases: readonly TerminationCase[] = [
  { name: 'at once', requests: 1, requestsInOutage: 0 },
  { name: 'under load', requests: 60, requestsInOutage: 0 },
  { name: 'under load after the store became unreachable', requests: 40, requestsInOutage: 40 }
]

describe('recovery without records of runs', () => {
  for (const { name, requests, requestsInOutage: outageRequests } of cases) {
    it(`overspends nothing and returns most of the allotment of a VM that terminated ${name}`, async () => {
      const harness = new VmHarness()
      const first = harness.createProcess('a')
      await harness.advance(200, first)
      let used = await harness.sendRequests(first, requests)
      harness.store.outage = true
      used += await harness.sendRequests(first, outageRequests)
      harness.store.outage = false
      const second = harness.createProcess('b')
      await harness.advance(1_000, second)
      const allottedBefore = (await second.show('b')).map(({ allotted }) => allotted).orDefault(0)
      await second.recoverTerminated()
      const shown = (await second.show('b')).unsafeCoerce()
      expect(used).to.be.greaterThan(0)
      expect(shown.spent).to.be.at.least(used)
      expect(shown.allotted).to.equal(0)
      expect(shown.spent).to.be.at.most(Math.max(allottedBefore / 2 + used, used * 3 + 8 * REQUEST_TOKENS))
    })
  }

  it('bills no more if its successor reaches the store late', async () => {
    const spentAfter = async (outageMs: number): Promise<number> => {
      const harness = new VmHarness()
      const second = await harness.startSuccessorInOutage(30)
      await harness.advance(outageMs, second)
      harness.store.outage = false
      await harness.advance(1_000, second)
      await second.recoverTerminated()
      return (await second.show('b')).unsafeCoerce().spent
    }
    expect(await spentAfter(6_000)).to.equal(await spentAfter(0))
  })

  it('reports whether a successor recovered the allotment of its VM', async () => {
    const harness = new VmHarness()
    const second = await harness.startSuccessorInOutage(10)
    const during = await second.recoverPredecessors()
    harness.store.outage = false
    const after = await second.recoverPredecessors()
    expect([during, after, (await second.show('b')).unsafeCoerce().allotted]).to.deep.equal([false, true, 0])
  })
})
