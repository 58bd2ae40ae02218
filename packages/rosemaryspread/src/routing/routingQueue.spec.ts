/**
 * Requests that find no capacity must wait in fair order, and be refused as soon as they would miss their deadline.
 */
import { expect } from 'chai'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, failureOf } from '@rosemaryspread/decisions/codes/failure.js'
import type { AdmittedCompletion } from '../completion/completionAdmission.js'
import { admittedCompletion } from './admittedCompletion.fixture.js'
import { RouteQueues, type RouteAttempt } from './routingQueue.js'

const FREE: RouteAttempt = { kind: 'routed', routed: { choice: { runner: 'r', address: 'r' }, runnersToSeal: [], run: { streamOpened: () => {}, leaving: () => {}, firstToken: () => {}, ended: () => {} } } }
const FULL: RouteAttempt = { kind: 'full', refusal: { failure: new Failure('overloaded', 'full', { ran: 'no' }), lookupRunners: [] } }
const NONE: RouteAttempt = { kind: 'refused', refusal: { failure: new Failure('noRunner', 'none', { ran: 'no' }), lookupRunners: [] } }

/** Queues in front of one model with a scripted runner. */
class QueueUnderTest {
  now: Instant = { mono: 0, wall: 0 }
  runner: RouteAttempt = FREE
  readonly ended: string[] = []
  readonly queues = new RouteQueues({
    clock: { now: () => this.now },
    tryRoute: () => this.runner,
    serviceMs: () => 100,
    slotsOf: () => 64,
    vms: () => 1
  })

  ask (admitted: AdmittedCompletion, callerGone = new AbortController().signal): void {
    this.queues.route(admitted, callerGone)
      .then(routed => {
        const failure = failureOf(routed as never)
        this.ended.push(failure === undefined ? `${admitted.requestId} routed` : describeRefusal(admitted.requestId, routed.extract() as never))
      })
      .catch(() => {})
  }

  /** Lets pending promises resolve. */
  async flushPromises (): Promise<void> {
    await new Promise(resolve => setImmediate(resolve))
  }
}

function describeRefusal (id: string, { failure }: { failure: Failure }): string {
  return `${id} ${failure.code} ${failure.ran}`
}

interface QueueCase {
  readonly name: string
  readonly act: (test: QueueUnderTest) => void
  readonly ended: readonly string[]
}

const cases: readonly QueueCase[] = [
  { name: 'routes at once while there is capacity', act: test => { test.ask(admittedCompletion('a')) }, ended: ['a routed'] },
  { name: 'refuses at once if no runner is usable', act: test => { test.runner = NONE; test.ask(admittedCompletion('a')) }, ended: ['a noRunner no'] },
  {
    name: 'queues requests while all runners are full, and routes them once there is capacity',
    act: test => {
      test.runner = FULL
      test.ask(admittedCompletion('a'))
      test.ask(admittedCompletion('b'))
      test.runner = FREE
      test.queues.tick()
    },
    ended: ['a routed', 'b routed']
  },
  {
    name: 'refuses a waiting request as soon as it would miss its deadline, not at the deadline',
    act: test => {
      test.runner = FULL
      test.ask(admittedCompletion('a', { deadlineMs: 1_000 }))
      test.now = { mono: 950, wall: 950 }
      test.queues.tick()
    },
    ended: ['a deadlineOutOfReach no']
  },
  {
    name: 'does not report a keyed request as not run, since an earlier attempt may have run',
    act: test => {
      test.runner = FULL
      test.ask(admittedCompletion('a', { deadlineMs: 1_000, keyed: true }))
      test.now = { mono: 950, wall: 950 }
      test.queues.tick()
    },
    ended: ['a deadlineOutOfReach unknown']
  },
  {
    name: 'refuses only the team that exceeds its limit',
    act: test => {
      test.runner = FULL
      test.ask(admittedCompletion('a', { team: 'greedy', maxInFlight: 1 }))
      test.ask(admittedCompletion('b', { team: 'greedy', maxInFlight: 1 }))
      test.ask(admittedCompletion('c', { team: 'other', maxInFlight: 1 }))
      test.runner = FREE
      test.queues.tick()
    },
    ended: ['b queueFull no', 'a routed', 'c routed']
  },
  {
    name: 'removes a request whose caller disconnected',
    act: test => {
      test.runner = FULL
      const caller = new AbortController()
      test.ask(admittedCompletion('a'), caller.signal)
      caller.abort()
    },
    ended: ['a callerGone no']
  }
]

describe('requests that wait for a runner', () => {
  for (const { name, act, ended } of cases) {
    it(name, async () => {
      const test = new QueueUnderTest()
      act(test)
      await test.flushPromises()
      expect(test.ended).to.have.members(ended)
      expect(test.queues.waiting).to.equal(0)
    })
  }

  it('routes the next request when one ends', async () => {
    const test = new QueueUnderTest()
    const all = Array.from({ length: 200 }, (_, index) => admittedCompletion(`r${index}`, { maxInFlight: 500 }))
    all.forEach(admitted => { test.ask(admitted) })
    await test.flushPromises()
    const atOnce = test.ended.length
    expect(test.queues.waiting).to.equal(all.length - atOnce)
    all.slice(0, 50).forEach(admitted => { test.queues.finish(admitted, 20) })
    await test.flushPromises()
    expect(test.ended).to.have.length(Math.min(all.length, atOnce + 50))
  })
})
