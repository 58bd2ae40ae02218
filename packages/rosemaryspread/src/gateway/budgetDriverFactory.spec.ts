/**
 * Guards against double spending after a suspension. Other VMs recover the tokens of a VM that has been
 * unresponsive for a minute, so a VM that resumes later must not use them before it has reached the table
 * again.
 */
import { expect } from 'chai'
import { Left } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { SteadyClock } from '../clock/steadyClock.js'
import { FixtureTable } from '../membership/membershipTable.fixture.js'
import { createBudgetDriver } from './budgetDriverFactory.js'

interface SuspensionCase {
  readonly name: string
  readonly suspendedMs: number
  readonly isUsable: boolean
}

const cases: readonly SuspensionCase[] = [
  { name: 'not suspended', suspendedMs: 0, isUsable: true },
  { name: 'suspended for five seconds', suspendedMs: 5_000, isUsable: true },
  { name: 'suspended beyond the expiry of its allotments', suspendedMs: 61_000, isUsable: false }
]

describe('budgets of a VM that was suspended', () => {
  const { now: realWall } = Date
  afterEach(() => { Date.now = realWall })

  for (const { name, suspendedMs, isUsable } of cases) {
    it(`${name}: its reserved tokens are ${isUsable ? 'usable' : 'not usable'}`, async () => {
      const budgets = createBudgetDriver({
        holder: 'vm1~a',
        domain: 'd',
        place: '127.0.0.1:1',
        store: new FixtureTable(),
        clock: new SteadyClock(),
        log: { write: () => {} },
        fleet: { members: () => [], peers: () => [], size: 1 },
        call: async () => Left(new Failure('peerUnreachable', 'there is no other VM', { ran: 'no' })),
        declared: () => ({ tokens: 100_000, version: 1 })
      })
      const ticking = setInterval(() => { budgets.tick() }, 10)
      const reserved = await budgets.reserve('team', 1_000, 1_000)
      clearInterval(ticking)
      Date.now = () => realWall() + suspendedMs
      expect(reserved.chain(reservation => budgets.confirm(reservation)).isRight(), JSON.stringify(reserved)).to.equal(isUsable)
    })
  }
})
