/**
 * Request handling under faults: answers are complete and belong to their request, each request is
 * billed once, and refusals report correctly whether it ran. Faulty clients show that the checks can fail.
 */
import { expect } from 'chai'
import { Left, Nothing, Right, type Either, type Maybe } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ResultName } from '@rosemaryspread/decisions/codes/resultCodes.js'
import { keyedRequestId } from '@rosemaryspread/decisions/request/requestIdentity.js'
import type { EngineRequest, EngineStream, RunRecord } from '@rosemaryspread/runners/engine/engineTypes.js'
import { FakeBudgets, FakeEngineClient, FakeEngines, FakeVm, ANSWER_PIECES, fullText, type EngineScript, type ReceivedAnswer } from './completionFakes.spec.js'

const ANSWER_COST_TOKENS = 5 + ANSWER_PIECES

function createFleet (Client: typeof FakeEngineClient = FakeEngineClient): { engines: FakeEngines, budgets: FakeBudgets, a: FakeVm, b: FakeVm } {
  const engines = new FakeEngines()
  const budgets = new FakeBudgets()
  const a = new FakeVm('a', new Client(engines, 'a'), budgets)
  const b = new FakeVm('b', new Client(engines, 'b'), budgets)
  return { engines, budgets, a, b }
}

/** Each piece contains the id of its request, so a piece of another request is detected. */
function expectComplete (seen: ReceivedAnswer): void {
  expect(seen.end).to.equal('whole')
  expect(seen.ends).to.equal(1)
  expect(seen.text).to.equal(fullText(seen.text.split('/')[0] ?? ''))
}

function expectRefused (seen: ReceivedAnswer, code: ResultName, ran: string): void {
  expect(seen.end).to.be.instanceOf(Failure)
  expect((seen.end as Failure).code).to.equal(code)
  expect((seen.end as Failure).ran).to.equal(ran)
  expect(seen.ends).to.equal(1)
}

interface SingleRequestCase {
  readonly name: string
  readonly scripts: Record<string, EngineScript>
  readonly refused?: readonly [code: ResultName, ran: string]
  readonly bills: readonly number[]
  readonly startedRuns: readonly string[]
}

const singleRequestCases: readonly SingleRequestCase[] = [
  { name: 'no fault', scripts: {}, bills: [ANSWER_COST_TOKENS], startedRuns: ['r1:finished'] },
  { name: 'an unreachable runner', scripts: { r1: { unreachableFrom: 'all' } }, bills: [ANSWER_COST_TOKENS], startedRuns: ['r2:finished'] },
  { name: 'all runners unreachable', scripts: { r1: { unreachableFrom: 'all' }, r2: { unreachableFrom: 'all' }, r3: { unreachableFrom: 'all' } }, refused: ['runnerUnreachable', 'no'], bills: [], startedRuns: [] },
  { name: 'a stream broken once', scripts: { r1: { cuts: [2] } }, bills: [ANSWER_COST_TOKENS], startedRuns: ['r1:finished'] },
  { name: 'a lost response to the submit, then only runners that refuse', scripts: { r1: { loseSubmit: true }, r2: { isLeaving: true }, r3: { isLeaving: true } }, refused: ['runnerRefused', 'unknown'], bills: [], startedRuns: ['r1:cancelled'] },
  { name: 'a stream that cannot be resumed before any piece, then only runners without a connection', scripts: { r1: { cuts: [0, 0, 0, 0] }, r2: { unreachableFrom: 'all' }, r3: { unreachableFrom: 'all' } }, refused: ['runnerUnreachable', 'unknown'], bills: [], startedRuns: ['r1:cancelled'] },
  { name: 'a resumed stream that overlaps', scripts: { r1: { cuts: [2], overlap: 1 } }, bills: [ANSWER_COST_TOKENS], startedRuns: ['r1:finished'] },
  { name: 'a stream that cannot be resumed after some pieces', scripts: { r1: { cuts: [2, 0, 0, 0] } }, refused: ['answerCut', 'yes'], bills: [0], startedRuns: ['r1:cancelled'] },
  { name: 'a stream that cannot be resumed before any piece', scripts: { r1: { cuts: [0, 0, 0, 0] } }, bills: [ANSWER_COST_TOKENS], startedRuns: ['r1:cancelled', 'r2:finished'] },
  { name: 'a lost response to the submit', scripts: { r1: { loseSubmit: true } }, bills: [ANSWER_COST_TOKENS], startedRuns: ['r1:cancelled', 'r2:finished'] },
  { name: 'a first piece that belongs to another request', scripts: { r1: { mixAt: 0 } }, bills: [ANSWER_COST_TOKENS], startedRuns: ['r1:cancelled', 'r2:finished'] },
  { name: 'a later piece that belongs to another request', scripts: { r1: { mixAt: 2 } }, refused: ['answerMixed', 'yes'], bills: [0], startedRuns: ['r1:cancelled'] },
  { name: 'a missing piece', scripts: { r1: { gapAt: 2 } }, refused: ['answerMixed', 'yes'], bills: [0], startedRuns: ['r1:cancelled'] },
  { name: 'reported usage above the cap', scripts: { r1: { report: 1_000_000 } }, bills: [5 + 8], startedRuns: ['r1:finished'] }
]

describe('one completion', () => {
  for (const { name, scripts, refused, bills, startedRuns } of singleRequestCases) {
    it(`ends with correct answer, bills and reservations for ${name}`, async () => {
      const { engines, budgets, a } = createFleet()
      Object.entries(scripts).forEach(([address, script]) => engines.scripts.set(address, script))
      const seen = await a.ask()
      if (refused === undefined) expectComplete(seen)
      else expectRefused(seen, ...refused)
      await a.unsettled.retryAll()
      expect(budgets.bills.map(({ tokens }) => tokens)).to.deep.equal(bills)
      expect(engines.startedRuns()).to.deep.equal(startedRuns)
      expect(budgets.open, 'reservations left open').to.equal(0)
      expect(a.routing.open, 'runs left counted').to.equal(0)
    })
  }

  const refusals = [
    { name: 'a draining VM', arrange: (vm: FakeVm) => { vm.work.draining = true }, code: 'draining' as const },
    { name: 'a spent budget', arrange: (vm: FakeVm) => { vm.budgets.refuse = new Failure('budgetSpent', 'spent', { ran: 'no' }) }, code: 'budgetSpent' as const },
    { name: 'an allotment that expired while the VM was paused', arrange: (vm: FakeVm) => { vm.budgets.confirmFailure = new Failure('allotmentClosed', 'expired', { ran: 'no' }) }, code: 'allotmentClosed' as const }
  ]
  for (const { name, arrange, code } of refusals) {
    it(`is refused without dispatch for ${name}`, async () => {
      const { engines, budgets, a } = createFleet()
      arrange(a)
      expectRefused(await a.ask(), code, 'no')
      expect(engines.startedRuns()).to.deep.equal([])
      expect(budgets.open).to.equal(0)
    })
  }

  it('is cancelled and billed for the generated tokens when its caller disconnects', async () => {
    const { engines, budgets, a } = createFleet()
    const caller = new AbortController()
    engines.scripts.set('r1', { hold: new Promise(resolve => setImmediate(resolve)) })
    await a.ask({ gone: caller.signal, onPiece: () => { caller.abort() } })
    expect(engines.startedRuns()).to.deep.equal(['r1:cancelled'])
    expect(budgets.bills).to.have.length(1)
  })

  it('is cancelled and fails with deadlineExceeded at its deadline', async () => {
    const { engines, a } = createFleet()
    engines.scripts.set('r1', { hold: new Promise(resolve => setTimeout(resolve, 40)) })
    expectRefused(await a.ask({ timeoutMs: 10 }), 'deadlineExceeded', 'yes')
    expect(engines.startedRuns()).to.deep.equal(['r1:cancelled'])
  })
})

describe('a runner that refuses a completion because it is leaving', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly script: EngineScript, readonly reported: readonly string[] }> = [
    { name: 'is reported to routing', script: { isLeaving: true }, reported: ['r1'] },
    { name: 'is not confused with an unreachable runner', script: { unreachableFrom: 'all' }, reported: [] }
  ]
  for (const { name, script, reported } of cases) {
    it(name, async () => {
      const { engines, a } = createFleet()
      engines.scripts.set('r1', script)
      expectComplete(await a.ask())
      expect([a.routing.reportedLeaving, engines.startedRuns()]).to.deep.equal([reported, ['r2:finished']])
    })
  }
})

describe('log lines of one completion', () => {
  const id = 'f00d'
  const failed = (runner: string, code: ResultName, ran: string, retried: boolean): object => ({ request: id, runner, code, ran, retried })
  const down = { unreachableFrom: 'all' as const }
  const attempts: ReadonlyArray<{ readonly name: string, readonly scripts: Record<string, EngineScript>, readonly lines: readonly object[] }> = [
    { name: 'no fault', scripts: {}, lines: [] },
    { name: 'an unreachable runner', scripts: { r1: down }, lines: [failed('r1', 'runnerUnreachable', 'no', true)] },
    { name: 'a stream that cannot be resumed before any piece', scripts: { r1: { cuts: [0, 0, 0, 0] } }, lines: [failed('r1', 'answerCut', 'yes', true)] },
    { name: 'a stream that cannot be resumed after some pieces', scripts: { r1: { cuts: [2, 0, 0, 0] } }, lines: [failed('r1', 'answerCut', 'yes', false)] }
  ]
  for (const { name, scripts, lines } of attempts) {
    it(`name each failed attempt with ${name}`, async () => {
      const { engines, a } = createFleet()
      Object.entries(scripts).forEach(([address, script]) => engines.scripts.set(address, script))
      await a.ask({ requestId: id })
      const seen = a.lines.filter(({ event }) => event === 'attemptFailed')
      expect(seen.map(({ request, runner, code, ran, retried }) => ({ request, runner, code, ran, retried }))).to.deep.equal(lines)
    })
  }

  it('name the request id sent by the caller when refused before admission', async () => {
    const { a } = createFleet()
    a.work.draining = true
    await a.ask({ requestId: id })
    expect(a.lines.map(({ event, request }) => ({ event, request }))).to.deep.equal([{ event: 'requestRefused', request: id }])
  })
})

describe('a keyed completion', () => {
  const id = keyedRequestId('desk', 'k')

  const repeats = [
    { name: 'the same VM afterwards', at: 'a' as const, believedDown: [] },
    { name: 'another VM afterwards', at: 'b' as const, believedDown: [] },
    { name: 'another VM that believes the runner down', at: 'b' as const, believedDown: ['r1'] },
    { name: 'another VM that believes all runners down', at: 'b' as const, believedDown: ['r1', 'r2', 'r3'] },
    { name: 'another VM that believes two runners down', at: 'b' as const, believedDown: ['r1', 'r2'] }
  ]
  for (const { name, at, believedDown } of repeats) {
    it(`is answered completely again, with one run and one bill, by ${name}`, async () => {
      const both = createFleet()
      expectComplete(await both.a.ask({ key: 'k' }))
      both[at].routing.believedDown = believedDown
      const again = await both[at].ask({ key: 'k' })
      expectComplete(again)
      expect(again.text).to.equal(fullText(id))
      expect(both.engines.startedRuns()).to.deep.equal(['r1:finished'])
      expect(both.budgets.bills.map(({ tokens }) => tokens)).to.deep.equal([ANSWER_COST_TOKENS])
    })
  }

  const refusals = [
    { name: 'no runner is believed up', scripts: {}, ran: 'no' },
    { name: 'the first runner is unreachable', scripts: { r1: { unreachableFrom: 'all' as const } }, ran: 'unknown' }
  ]
  const unseenRuns: ReadonlyArray<{ readonly name: string, readonly unreachable: readonly string[], readonly refusal?: Failure, readonly code: ResultName }> = [
    { name: 'no runner can be reached', unreachable: ['r1', 'r2', 'r3'], code: 'runnerUnreachable' },
    { name: 'its runner cannot be reached and the budget is spent', unreachable: ['r1'], refusal: new Failure('budgetSpent', 'spent', { ran: 'no' }), code: 'budgetSpent' }
  ]
  for (const { name, unreachable, refusal, code } of unseenRuns) {
    it(`that ran isn't refused with ran=no when ${name}`, async () => {
      const { engines, budgets, a, b } = createFleet()
      expectComplete(await a.ask({ key: 'k' }))
      unreachable.forEach(address => engines.scripts.set(address, { unreachableFrom: 'all' }))
      budgets.refuse = refusal
      expectRefused(await b.ask({ key: 'k' }), code, 'unknown')
      expect(engines.startedRuns()).to.deep.equal(['r1:finished'])
    })
  }

  for (const { name, vm } of [{ name: 'finished run of another VM', vm: 'b' as const }, { name: 'run in progress at the same VM', vm: 'a' as const }]) {
    it(`that cannot join the ${name} isn't refused with ran=no`, async () => {
      const fleet = createFleet(UnjoinableClient)
      fleet.engines.scripts.set('r1', { hold: new Promise(resolve => setTimeout(resolve, 50)) })
      const first = fleet.a.ask({ key: 'k' })
      if (vm === 'b') await first
      else await new Promise(resolve => setTimeout(resolve, 10))
      expectRefused(await fleet[vm].ask({ key: 'k' }), 'runnerUnreachable', 'unknown')
      expectComplete(await first)
      expect(fleet.engines.startedRuns()).to.deep.equal(['r1:finished'])
    })
  }

  for (const { name, scripts, ran } of refusals) {
    it(`that never ran is refused with ran=${ran} when ${name}`, async () => {
      const { engines, a } = createFleet()
      Object.entries(scripts).forEach(([address, script]) => engines.scripts.set(address, script))
      a.routing.believedDown = ['r1', 'r2', 'r3']
      expectRefused(await a.ask({ key: 'k' }), 'noRunner', ran)
      expect(engines.startedRuns()).to.deep.equal([])
    })
  }

  const races = [
    { name: 'at one VM', vms: ['a', 'a', 'a'] as const },
    { name: 'at two VMs', vms: ['a', 'b'] as const },
    { name: 'at two VMs, several times', vms: ['a', 'b', 'b', 'a'] as const }
  ]
  for (const { name, vms } of races) {
    it(`sent concurrently ${name} runs and is billed once`, async () => {
      const both = createFleet()
      both.engines.scripts.set('r1', { hold: new Promise(resolve => setTimeout(resolve, 10)) })
      const all = await Promise.all(vms.map(async vm => await both[vm].ask({ key: 'k' })))
      all.forEach(seen => { expect(seen.text).to.equal(fullText(id)) })
      expect(both.engines.startedRuns()).to.deep.equal(['r1:finished'])
      expect(both.budgets.bills).to.have.length(1)
      expect(both.budgets.open).to.equal(0)
    })
  }

  const otherBodies = [
    { name: 'later at the same VM', at: 'a' as const, parallel: false },
    { name: 'later at another VM', at: 'b' as const, parallel: false },
    { name: 'concurrently at the same VM', at: 'a' as const, parallel: true }
  ]
  for (const { name, at, parallel } of otherBodies) {
    it(`sent with a different body ${name} fails with keyReused and does not run`, async () => {
      const both = createFleet()
      both.engines.scripts.set('r1', { hold: new Promise(resolve => setTimeout(resolve, 10)) })
      const first = both.a.ask({ key: 'k' })
      if (!parallel) await first
      expectRefused(await both[at].ask({ key: 'k', text: 'other' }), 'keyReused', 'no')
      expectComplete(await first)
      expect(both.engines.startedRuns()).to.deep.equal(['r1:finished'])
    })
  }

  it('keeps running when its caller disconnects, and a repeat is answered completely with one bill', async () => {
    const { engines, budgets, a, b } = createFleet()
    const caller = new AbortController()
    await a.ask({ key: 'k', gone: caller.signal, onPiece: () => { caller.abort() } })
    expectComplete(await b.ask({ key: 'k' }))
    expect(engines.startedRuns()).to.deep.equal(['r1:finished'])
    expect(budgets.bills.map(({ tokens }) => tokens)).to.deep.equal([ANSWER_COST_TOKENS])
  })

  const unsealedCases = [
    { name: 'after a run there', first: true },
    { name: 'without a run there', first: false }
  ]
  for (const { name, first } of unsealedCases) {
    it(`is billed once although its first runner cannot be sealed, ${name}`, async () => {
      const { engines, budgets, a, b } = createFleet()
      if (first) expectComplete(await a.ask({ key: 'k' }))
      engines.scripts.set('r1', { unreachableFrom: ['b'] })
      expectComplete(await b.ask({ key: 'k' }))
      expect(b.unsettled.size, 'unsettled until the first runner can be queried').to.equal(1)
      engines.scripts.delete('r1')
      await b.unsettled.retryAll()
      expect(b.unsettled.size).to.equal(0)
      expect(budgets.bills.filter(({ requestId }) => requestId === id)).to.have.length(1)
      expect(budgets.open).to.equal(0)
    })
  }
})

describe('a keyed completion whose runners become reachable again', () => {
  const doubleRuns: ReadonlyArray<{ readonly name: string, readonly run: (fleet: ReturnType<typeof createFleet>) => Promise<void> }> = [
    {
      name: 'after its first submit was lost and another VM ran it at that runner',
      run: async ({ engines, a, b }) => {
        engines.scripts.set('r1', { resetSubmit: true })
        expectComplete(await a.ask({ key: 'k' }))
        expectComplete(await b.ask({ key: 'k' }))
      }
    },
    {
      name: 'after the same VM ran it twice',
      run: async ({ engines, a }) => {
        expectComplete(await a.ask({ key: 'k' }))
        engines.scripts.set('r1', { unreachableFrom: ['a'] })
        expectComplete(await a.ask({ key: 'k' }))
      }
    }
  ]
  for (const { name, run } of doubleRuns) {
    it(`is billed once ${name}`, async () => {
      const both = createFleet()
      await run(both)
      both.engines.scripts.clear()
      await both.a.unsettled.retryAll()
      await both.b.unsettled.retryAll()
      expect(both.budgets.bills).to.have.length(1)
      expect(both.budgets.open).to.equal(0)
    })
  }
})

/** Cannot connect again to an engine where a run was found. */
class UnjoinableClient extends FakeEngineClient {
  override async resume (): Promise<Either<Failure, EngineStream>> {
    return Left(new Failure('runnerUnreachable', 'no connection', { ran: 'no' }))
  }
}

/** Reports runners as sealed without sealing them. */
class UnsealedClient extends FakeEngineClient {
  override async seal (): Promise<Either<Failure, Maybe<RunRecord>>> {
    return Right(Nothing)
  }
}

/** Omits the holder that started a run. */
class AnonymousClient extends FakeEngineClient {
  override async submit (address: string, req: EngineRequest): Promise<Either<Failure, EngineStream>> {
    return (await super.submit(address, req)).map(stream => ({ ...stream, holder: '' }))
  }
}

describe('with faulty engine clients', () => {
  it('a repeat runs and is billed twice if runners are not sealed', async () => {
    const { engines, budgets, a, b } = createFleet(UnsealedClient)
    await a.ask({ key: 'k' })
    b.routing.believedDown = ['r1']
    await b.ask({ key: 'k' })
    expect(engines.startedRuns()).to.have.length(2)
    expect(budgets.bills).to.have.length(2)
  })

  it('two VMs bill the same run if its stream names no holder', async () => {
    const { engines, budgets, a, b } = createFleet(AnonymousClient)
    engines.scripts.set('r1', { hold: new Promise(resolve => setTimeout(resolve, 10)) })
    await Promise.all([a.ask({ key: 'k' }), b.ask({ key: 'k' })])
    expect(engines.startedRuns()).to.have.length(1)
    expect(budgets.bills).to.have.length(2)
  })
})
