/**
 * Guards against orders sent after the lease was lost: it must be checked right before each order.
 */
import { expect } from 'chai'
import { Just, Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { fleetConfigSchema } from '@rosemaryspread/decisions/config/configSchema.js'
import { PlacementPlanner } from '@rosemaryspread/decisions/placement/placementPlanner.js'
import type { EngineOrder, LoadReport } from '@rosemaryspread/runners/engine/engineTypes.js'
import { toOutcome, PlacementDriver, type PlacementLease } from './placementDriver.js'

const config = fleetConfigSchema.parse({
  models: { m: { version: '2' } },
  runners: { r1: { address: '127.0.0.1:1', domain: 'a', models: ['m'] }, r2: { address: '127.0.0.1:2', domain: 'b', models: ['m'], state: 'leaving' } }
})

class Harness {
  ms = 1_000
  fencing: number | undefined = 3
  /** Called while a report request is in flight. */
  onLoad: () => void = () => {}
  /** Called while an order is in flight. */
  onOrder: () => void = () => {}
  readonly orders: EngineOrder[] = []
  readonly events: string[] = []
  private readonly engines = {
    load: async (): Promise<Either<Failure, LoadReport>> => {
      this.onLoad()
      return Right({ asOf: this.ms, running: 0, waiting: 0, slots: 1, models: [], leaving: false })
    },
    order: async (_: string, order: EngineOrder): Promise<Either<Failure, void>> => {
      this.orders.push(order)
      this.onOrder()
      return Right(undefined)
    }
  }

  driver (lease: PlacementLease = this.lease): PlacementDriver {
    return new PlacementDriver({
      planner: new PlacementPlanner(),
      lease,
      engines: this.engines,
      config: { current: () => Just({ version: 1, config }) },
      clock: { now: () => ({ mono: this.ms, wall: this.ms }) },
      log: { write: event => { this.events.push(event) } }
    })
  }

  get lease (): PlacementLease {
    return {
      mayAct: () => this.fencing !== undefined,
      fencing: () => this.fencing === undefined ? Left(new Failure('leaseLost', '', { ran: 'no' })) : Right(this.fencing)
    }
  }

  async tick (driver: PlacementDriver, times = 3): Promise<void> {
    for (let i = 0; i < times; i += 1) {
      this.ms += 1_000
      await driver.tick()
      await driver.idle()
    }
  }

  get kinds (): readonly string[] {
    return this.orders.map(({ kind, fencing }) => `${kind} ${fencing}`)
  }
}

describe('placement driver', () => {
  it('announces its fencing number, then orders missing copies, and logs each order', async () => {
    const harness = new Harness()
    await harness.tick(harness.driver())
    expect(harness.kinds).to.deep.equal(['role 3', 'load 3'])
    expect(harness.events).to.deep.equal(['placed', 'placed'])
  })

  it('sends nothing without the lease', async () => {
    const harness = new Harness()
    harness.fencing = undefined
    await harness.tick(harness.driver())
    expect(harness.kinds).to.deep.equal([])
  })

  it('sends no order when the lease is lost during a wait for reports', async () => {
    const harness = new Harness()
    harness.onLoad = () => { harness.fencing = undefined }
    await harness.tick(harness.driver())
    expect(harness.kinds).to.deep.equal([])
  })

  it('sends an order under a lost lease if the lease is not checked after the wait (counter-example)', async () => {
    const harness = new Harness()
    harness.onLoad = () => { harness.fencing = undefined }
    await harness.tick(harness.driver({ ...harness.lease, mayAct: () => true, fencing: () => Right(3) }))
    expect(harness.kinds).to.include('load 3')
  })

  it('resumes under the same fencing number after the lease was briefly unconfirmed', async () => {
    const harness = new Harness()
    let isConfirmed = true
    const driver = harness.driver({ mayAct: () => isConfirmed, fencing: () => Right(3) })
    harness.onOrder = () => { isConfirmed = false }
    await harness.tick(driver, 1)
    expect(harness.kinds).to.deep.equal(['role 3'])
    harness.onOrder = () => {}
    isConfirmed = true
    await harness.tick(driver, 5)
    expect(harness.kinds).to.deep.equal(['role 3', 'load 3'])
  })

  it('repeats announcements and orders under a new fencing number', async () => {
    const harness = new Harness()
    const driver = harness.driver()
    await harness.tick(driver)
    harness.fencing = 5
    await harness.tick(driver)
    expect(harness.kinds).to.deep.equal(['role 3', 'load 3', 'role 5', 'load 5'])
    expect(new Set(harness.orders.map(({ orderId }) => orderId)).size).to.equal(4)
  })

  const outcomes: ReadonlyArray<readonly [string, Either<Failure, void>, object]> = [
    ['done', Right(undefined), { kind: 'done' }],
    ['old fencing number', Left(new Failure('leaseLost', '', { ran: 'no' })), { kind: 'oldFencing' }],
    ['no connection', Left(new Failure('runnerUnreachable', '', { ran: 'no' })), { kind: 'notSent' }],
    ['lost response', Left(new Failure('runnerUnreachable', '', { ran: 'unknown' })), { kind: 'unknown' }],
    ['weight store over its rate limit', Left(new Failure('runnerRefused', 'status 429', { ran: 'no', retryAfterMs: 7_000 })), { kind: 'refused', retryAfterMs: 7_000 }],
    ['no such weights', Left(new Failure('runnerRefused', 'status 404', { ran: 'no' })), { kind: 'refused' }],
    ['engine fault', Left(new Failure('runnerRefused', 'status 500', { ran: 'unknown' })), { kind: 'unknown' }]
  ]
  for (const [name, answer, outcome] of outcomes) {
    it(`maps to an outcome: ${name}`, () => {
      expect(toOutcome(answer)).to.deep.equal(outcome)
    })
  }
})
