/**
 * Guards against two holders of one role, and against a late write of a previous holder.
 */
import { expect } from 'chai'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { defaultLeaseLimits } from '@rosemaryspread/decisions/lease/leaseTypes.js'
import { LeaseDriver } from './leaseDriver.js'
import { FixtureTable } from './membershipTable.fixture.js'

const ROLE = 'writer/quito'
const ROW = { table: 'config', key: 'x' }
const { durationMs, marginMs, pollMs } = defaultLeaseLimits
const TICKS_PER_POLL = 4

class ManualClock implements Clock {
  ms = 1_000
  now (): { mono: number, wall: number } {
    return { mono: this.ms, wall: this.ms }
  }
}

class Harness {
  readonly table = new FixtureTable()
  readonly clock = new ManualClock()
  readonly events: string[] = []
  readonly a = this.driver('a~1')
  readonly b = this.driver('b~1')

  driver (holder: string): LeaseDriver {
    const log = { write: (event: string) => this.events.push(`${holder} ${event}`) }
    return new LeaseDriver({ role: ROLE, holder, table: this.table, clock: this.clock, log, isCandidate: () => true })
  }

  advance (ms: number): void {
    this.clock.ms += ms
    this.table.now += ms
  }

  async tick (driver: LeaseDriver, times = TICKS_PER_POLL): Promise<void> {
    for (let i = 0; i < times; i += 1) {
      this.advance(pollMs / TICKS_PER_POLL)
      await driver.tick()
    }
  }
}

describe('lease driver', () => {
  it('acquires the role, excludes others, and frees it on release', async () => {
    const harness = new Harness()
    const { a, b } = harness
    await harness.tick(a)
    await harness.tick(b)
    expect([a.mayAct(), b.mayAct()]).deep.equal([true, false])
    expect([a.fencing().extract(), b.fencing().isLeft()]).deep.equal([1, true])
    await a.release()
    await a.release()
    expect(a.mayAct()).equal(false)
    await harness.tick(b)
    expect(b.fencing().extract()).equal(2)
    expect(harness.events).deep.equal(['a~1 leaseTaken', 'b~1 leaseTaken'])
  })

  it('fences a late write of the previous holder whose lease check was read before the takeover', async () => {
    const harness = new Harness()
    const { a, b, table } = harness
    await harness.tick(a)
    expect((await a.transact({ checks: [], writes: [{ ...ROW, value: 1 }] })).isRight()).equal(true)
    const check = a.leaseCheck().unsafeCoerce()
    harness.advance(durationMs + marginMs)
    await harness.tick(b)
    expect((await b.transact({ checks: [], writes: [{ ...ROW, value: 2 }] })).isRight()).equal(true)
    const late = await table.transact({ checks: [check], writes: [{ ...ROW, value: 3 }] })
    expect(late.isLeft(), 'late write is fenced').equal(true)
    const refused = await a.transact({ checks: [], writes: [{ ...ROW, value: 4 }] })
    expect(refused.swap().unsafeCoerce().code).equal('leaseLost')
    expect(table.find(ROW)?.value).equal(2)
  })

  it('a write of the previous holder without the lease check succeeds (counter-example)', async () => {
    const harness = new Harness()
    await harness.tick(harness.a)
    harness.advance(durationMs + marginMs)
    await harness.tick(harness.b)
    await harness.table.transact({ checks: [], writes: [{ ...ROW, value: 3 }] })
    expect(harness.table.find(ROW)?.value).equal(3)
  })

  it('reads the lease back when the response to its acquisition was lost', async () => {
    const harness = new Harness()
    harness.table.loseAnswers = 1
    await harness.tick(harness.a)
    expect(harness.a.mayAct()).equal(true)
    expect(harness.table.find({ table: 'leases', key: ROLE })?.version).equal(1)
  })

  it('does not hold the role while the table is down, and acquires it afterwards', async () => {
    const harness = new Harness()
    harness.table.down = true
    await harness.tick(harness.a)
    expect(harness.a.mayAct()).equal(false)
    harness.table.down = false
    await harness.tick(harness.a)
    expect(harness.a.mayAct()).equal(true)
  })

  it('does not overwrite a malformed lease row', async () => {
    const harness = new Harness()
    await harness.table.transact({ checks: [], writes: [{ table: 'leases', key: ROLE, value: { strange: true } }] })
    await harness.tick(harness.a, 2 * TICKS_PER_POLL)
    expect(harness.a.mayAct()).equal(false)
    expect(harness.table.find({ table: 'leases', key: ROLE })?.value).deep.equal({ strange: true })
  })
})
