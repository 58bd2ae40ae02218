/**
 * Guards against calls that are repeated where they must not be, answered more than once, or billed wrongly.
 */
import { expect } from 'chai'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { Bill } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import { DrainLimit } from '@rosemaryspread/decisions/gateway/drainLimit.js'
import { gatewayConfigSchema, type GatewayRoute } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import { TargetBalancer } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import type { BudgetPort, Reservation } from '../budget/budgetPort.js'
import { OpenWork } from '../completion/completionDrain.js'
import { MetricsRecorder } from '../metrics/metricsRecorder.js'
import { RelayClient } from '../relay/relayClient.js'
import { relayMethods } from '../relay/relayTypes.js'
import { GatewayConfigHolder } from './gatewayConfigHolder.js'
import { CallDispatch } from './callDispatch.js'
import { CallReport } from './callReport.js'
import type { AnswerHead, CallSink, TargetAnswer, TargetClient, TargetRequest } from './callTypes.js'
import { GatewayChooser } from './gatewayChooser.js'
import { GatewayPipeline } from './gatewayPipeline.js'
import { GatewayRetries } from './gatewayRetries.js'
import type { GatewayCall } from './gatewayTypes.js'

const OK: AnswerHead = { status: 200, headers: [] }
const FAILED: AnswerHead = { status: 500, headers: [] }
const silentLog = { write: () => {} }

/** Behavior of a fake target: chunks of an answer and an optional failure at its end, or a failure to answer. */
type Script = Failure | { readonly head: AnswerHead, readonly pieces: readonly string[], readonly end?: Failure }

class FakeClient implements TargetClient {
  readonly sent: TargetRequest[] = []

  constructor (private readonly scripts: Script[]) {}

  async send (req: TargetRequest, stop: AbortSignal): Promise<Either<Failure, TargetAnswer>> {
    this.sent.push(req)
    const script = this.scripts.shift()
    if (script === undefined) return await stopped(stop)
    if (script instanceof Failure) return Left(script)
    const { head, pieces, end } = script
    return Right({
      head,
      read: async onBytes => {
        for (const piece of pieces) await onBytes(Buffer.from(piece))
        return end === undefined ? Right(undefined) : Left(end)
      }
    })
  }
}

async function stopped (stop: AbortSignal): Promise<Either<Failure, TargetAnswer>> {
  await new Promise<void>(resolve => { stop.addEventListener('abort', () => { resolve() }) })
  return Left(new Failure('runnerUnreachable', 'stopped', { ran: 'unknown' }))
}

class FakeBudgets implements BudgetPort {
  readonly bills: Array<Bill | undefined> = []
  /** Results of the next confirmations; later ones succeed. */
  confirmations: Array<Either<Failure, void>> = []

  constructor (private readonly refusal?: Failure) {}

  async reserve (budget: string, tokens: number): Promise<Either<Failure, Reservation>> {
    return this.refusal === undefined ? Right({ reservationId: 'v', budget, tokens }) : Left(this.refusal)
  }

  confirm (): Either<Failure, void> { return this.confirmations.shift() ?? Right(undefined) }

  settle (_reservation: Reservation, bill?: Bill): void { this.bills.push(bill) }
}

class FakeSink implements CallSink {
  isStarted = false
  text = ''
  readonly ends: string[] = []

  whole ({ status }: AnswerHead, body: Buffer): void {
    this.isStarted = true
    this.text += body.toString()
    this.ends.push(`whole ${status}`)
  }

  head (): void { this.isStarted = true }

  chunk (bytes: Buffer): undefined { this.text += bytes.toString() }

  end (): void { this.ends.push('end') }

  cut (): void { this.ends.push('cut') }

  refuse ({ code, ran }: Failure): void { this.ends.push(`${code} ${ran}`) }
}

interface PipelineCase {
  readonly name: string
  readonly route?: Partial<GatewayRoute>
  readonly scripts: Script[]
  readonly refusal?: Failure
  readonly gone?: true
  /** How the sink was ended, exactly once. */
  readonly end: string
  readonly text?: string
  readonly sends: number
  /** Tokens billed; absent if the reservation is settled without a bill. */
  readonly billed?: number
}

const event = (id: number): string => `id: ${id}\ndata: x\n\n`
const notRun = new Failure('runnerRefused', 'full', { ran: 'no' })
const unreachable = new Failure('runnerUnreachable', 'no connection', { ran: 'no' })
const replaced = new Failure('targetReplaced', 'another process', { ran: 'no' })
const lost = new Failure('runnerUnreachable', 'reset', { ran: 'unknown' })
const cutShort = new Failure('answerCut', 'reset', { ran: 'yes' })
const stream = { streamed: true, repeat: 'never' } as const
const resumable = { streamed: true, repeat: 'resume' } as const

const cases: readonly PipelineCase[] = [
  { name: 'a complete answer', scripts: [{ head: OK, pieces: ['a', 'b'] }], end: 'whole 200', text: 'ab', sends: 1, billed: 100 },
  { name: 'a stream, which is billed by its events', route: stream, scripts: [{ head: OK, pieces: [event(1), event(2)] }], end: 'end', text: event(1) + event(2), sends: 1, billed: 106 },
  { name: 'a stream beyond its token limit, which is billed at the limit', route: stream, scripts: [{ head: OK, pieces: [1, 2, 3, 4, 5].map(event) }], end: 'end', sends: 1, billed: 110 },
  { name: 'a target that proves that it did not run the request', scripts: [notRun, { head: OK, pieces: ['a'] }], end: 'whole 200', sends: 2, billed: 100 },
  { name: 'such proofs from all targets that may be tried', scripts: [notRun, notRun], end: 'runnerRefused no', sends: 2 },
  { name: 'such a proof where only one target may be tried', route: { attempts: 1 }, scripts: [notRun], end: 'runnerRefused no', sends: 1 },
  { name: 'unreachable targets, which do not count as attempts', route: { attempts: 1 }, scripts: [unreachable, unreachable, { head: OK, pieces: [] }], end: 'whole 200', sends: 3, billed: 100 },
  { name: 'replaced targets, which do not count as attempts', route: { attempts: 1 }, scripts: [replaced, replaced, { head: OK, pieces: ['a'] }], end: 'whole 200', sends: 3, billed: 100 },
  { name: 'replaced targets only', route: { attempts: 1 }, scripts: [replaced, replaced, replaced, replaced], end: 'targetReplaced no', sends: 4 },
  { name: 'a lost call that must not be repeated', scripts: [lost], end: 'runnerUnreachable unknown', sends: 1 },
  { name: 'a lost call that may be repeated', route: { repeat: 'always' }, scripts: [lost, { head: OK, pieces: ['a'] }], end: 'whole 200', sends: 2, billed: 100 },
  { name: 'a lost call, then a proof that says nothing about the first attempt', route: { repeat: 'always' }, scripts: [lost, notRun], end: 'runnerUnreachable unknown', sends: 2 },
  { name: 'a server error of the target', scripts: [{ head: FAILED, pieces: ['sorry'] }], end: 'whole 500', text: 'sorry', sends: 1, billed: 100 },
  { name: 'a server error for a call that may be repeated', route: { repeat: 'always' }, scripts: [{ head: FAILED, pieces: [] }, { head: OK, pieces: ['a'] }], end: 'whole 200', text: 'a', sends: 2, billed: 100 },
  { name: 'a truncated answer to a call that may be repeated', route: { repeat: 'always' }, scripts: [{ head: OK, pieces: ['ha'], end: cutShort }, { head: OK, pieces: ['half'] }], end: 'whole 200', text: 'half', sends: 2, billed: 100 },
  { name: 'a stream truncated before its first event', route: stream, scripts: [{ head: OK, pieces: ['id: 1'], end: cutShort }], end: 'answerCut yes', text: '', sends: 1 },
  { name: 'a stream truncated after an event', route: stream, scripts: [{ head: OK, pieces: [event(1)], end: cutShort }], end: 'cut', text: event(1), sends: 1, billed: 103 },
  { name: 'a stream that ends within an event', route: stream, scripts: [{ head: OK, pieces: [`${event(1)}id: 2`] }], end: 'cut', text: event(1), sends: 1, billed: 103 },
  { name: 'a truncated stream that may be resumed', route: resumable, scripts: [{ head: OK, pieces: [`${event(1)}id: 2`], end: cutShort }, { head: OK, pieces: [event(2)] }], end: 'end', text: event(1) + event(2), sends: 2, billed: 106 },
  { name: 'a target that does not answer within the timeout of the route', route: { timeoutMs: 30 }, scripts: [], end: 'deadlineExceeded unknown', sends: 1 },
  { name: 'a caller that disconnected before anything was sent', route: stream, scripts: [], gone: true, end: 'callerGone unknown', sends: 0 },
  { name: 'an exhausted budget', scripts: [], refusal: new Failure('budgetSpent', 'spent', { ran: 'no' }), end: 'budgetSpent no', sends: 0 }
]

function callOf (gone: AbortSignal): GatewayCall {
  return {
    requestId: 'r', method: 'POST', host: 'h', path: '/p/x', key: undefined, headers: [], body: Buffer.alloc(0), timeoutMs: undefined, promptTokens: 100, maxTokens: 10, promptParts: [], receivedAt: { mono: performance.now(), wall: 0 }, gone
  }
}

function pipelineOf (client: TargetClient, budgets: BudgetPort, route: Partial<GatewayRoute>, drainLimit = new DrainLimit()): { readonly pipeline: GatewayPipeline, readonly config: GatewayConfigHolder } {
  const config = new GatewayConfigHolder(silentLog)
  const whole = { name: 'p', host: 'h', prefix: '/p/', services: [{ service: 's', weight: 1 }], repeat: 'never', streamed: false, timeoutMs: 5_000, objectiveMs: 100, attempts: 2, priority: 0, isOpen: true, hasAffinity: false, ...route }
  config.apply(gatewayConfigSchema.parse({ version: 1, routes: [whole], services: { s: { tokensPerEvent: 3 } }, teams: { team: { keyHashes: [], prepaidTokens: 1 } } }))
  const metrics = new MetricsRecorder()
  const prepared = config.current()
  const clock = { now: () => ({ mono: performance.now(), wall: 0 }) }
  const random = { next: () => 0, id: () => 'id' }
  const targets = ['a', 'b', 'c', 'd'].map(id => ({ id, service: 's', address: id, domain: 'd', slots: 1, isLeaving: false }))
  const report = new CallReport(silentLog, metrics)
  const pipeline = new GatewayPipeline({
    clock,
    drainLimit,
    random,
    // Every key belongs to the one team.
    config: { current: () => prepared === undefined ? undefined : { ...prepared, keys: { ownerOf: () => 'team' } as never } },
    work: new OpenWork(),
    dispatch: new CallDispatch({
      clock,
      budgets,
      chooser: new GatewayChooser({
        targets: { available: () => ({ targets, pausesMs: [] }), isEvacuated: () => false, recordReport: () => {} }, balancer: new TargetBalancer(), clock, random, vm: 'v', isUnreachable: () => false, vms: () => ['v'], notifyPeers: () => {}, notifyRefused: () => {}, log: silentLog
      }),
      retries: new GatewayRetries({ ratio: 1, slack: 100, windowMs: 10_000 }, () => 1),
      client,
      metrics,
      report,
      drainLimit
    }),
    log: silentLog,
    report
  })
  return { pipeline, config }
}

/** Sends through another VM, to which the link fails before a further read of the answer is sent. */
function relayLosingReads (piece: string, failure: Failure): TargetClient {
  return new RelayClient({
    clock: { now: () => ({ mono: performance.now(), wall: 0 }) },
    log: silentLog,
    metrics: new MetricsRecorder(),
    random: { next: () => 0, id: () => '' },
    peers: () => [{ holder: 'vm', address: 'vm' }],
    call: async (_address, method) => method === relayMethods.read ? Left(failure) : Right({ head: OK, first: { bytes: Buffer.from(piece), isEnd: false } }),
    notify: () => {}
  })
}

describe('GatewayPipeline', () => {
  for (const { name, route, piece, ends } of [
    { name: 'a buffered answer', route: {}, piece: 'a', ends: ['targetsUnreachable unknown'] },
    { name: 'a stream without an event yet', route: stream, piece: 'id: 1', ends: ['targetsUnreachable unknown'] },
    { name: 'a stream with an event', route: stream, piece: event(1), ends: ['cut'] }
  ]) {
    for (const code of ['overloaded', 'peerUnreachable', 'peerRefused', 'draining'] as const) {
      it(`does not report a call that another VM sent as not run if the link fails with ${code} while it reads ${name}`, async () => {
        const sink = new FakeSink()
        const client = relayLosingReads(piece, new Failure(code, 'not sent', { ran: 'no' }))
        await pipelineOf(client, new FakeBudgets(), route).pipeline.serve(callOf(new AbortController().signal), sink)
        expect(sink.ends).to.deep.equal(ends)
      })
    }
  }

  for (const test of cases) {
    it(`with ${test.name}: ${test.end}`, async () => {
      const client = new FakeClient([...test.scripts])
      const budgets = new FakeBudgets(test.refusal)
      const sink = new FakeSink()
      const gone = new AbortController()
      if (test.gone === true) gone.abort()
      await pipelineOf(client, budgets, test.route ?? {}).pipeline.serve({ ...callOf(gone.signal), key: 'k' }, sink)
      expect([sink.ends, client.sent.length]).to.deep.equal([[test.end], test.sends])
      if (test.text !== undefined) expect(sink.text).to.equal(test.text)
      const isReserved = test.refusal === undefined
      expect(budgets.bills.map(bill => bill?.tokens)).to.deep.equal(isReserved ? [test.billed] : [])
      if (test.billed !== undefined) expect(budgets.bills[0]?.runner).to.equal(client.sent.at(-1)?.target.id)
    })
  }

  it('does not try a target twice', async () => {
    const client = new FakeClient([lost, lost, lost, lost, lost])
    await pipelineOf(client, new FakeBudgets(), { repeat: 'always', attempts: 4 }).pipeline.serve(callOf(new AbortController().signal), new FakeSink())
    expect(new Set(client.sent.map(({ target }) => target.id)).size).to.equal(4)
  })

  it('does not report a call as not run if the allotment closes after a lost attempt', async () => {
    const client = new FakeClient([lost])
    const budgets = new FakeBudgets()
    const sink = new FakeSink()
    budgets.confirmations = [Right(undefined), Left(new Failure('allotmentClosed', 'closed', { ran: 'no' }))]
    await pipelineOf(client, budgets, { repeat: 'always' }).pipeline.serve({ ...callOf(new AbortController().signal), key: 'k' }, sink)
    expect([sink.ends, client.sent.length]).to.deep.equal([['runnerUnreachable unknown'], 1])
  })

  it('sends nothing if the allotment closed while the call waited', async () => {
    const client = new FakeClient([])
    const budgets = new FakeBudgets()
    budgets.confirmations = [Left(new Failure('allotmentClosed', 'closed', { ran: 'no' }))]
    const sink = new FakeSink()
    await pipelineOf(client, budgets, {}).pipeline.serve({ ...callOf(new AbortController().signal), key: 'k' }, sink)
    expect([sink.ends, client.sent.length]).to.deep.equal([['allotmentClosed no'], 0])
  })

  for (const { name, path, inMs, ends } of [
    { name: 'refuses a call whose deadline passes before it can be forwarded', path: '/p/x', inMs: 5_100, ends: ['deadlineExceeded no'] },
    { name: 'leaves a call that can be forwarded in time', path: '/p/x', inMs: 4_900, ends: [] },
    { name: 'leaves a call without a route to the refusal that is due', path: '/none', inMs: 5_100, ends: [] }
  ]) {
    it(name, () => {
      const sink = new FakeSink()
      const call = { ...callOf(new AbortController().signal), path }
      const isRefused = pipelineOf(new FakeClient([]), new FakeBudgets(), {}).pipeline.refuseLate(call, sink, call.receivedAt.mono + inMs)
      expect([isRefused, sink.ends]).to.deep.equal([ends.length > 0, ends])
    })
  }

  for (const { name, route, scripts, ends, sends } of [
    { name: 'a call whose first attempt was rejected meanwhile', route: {}, scripts: [notRun], ends: ['runnerRefused no'], sends: 1 },
    { name: 'a call whose first attempt may have run', route: { repeat: 'always' }, scripts: [lost], ends: ['runnerUnreachable unknown'], sends: 1 },
    { name: 'a call with a server error', route: { repeat: 'always' }, scripts: [{ head: FAILED, pieces: ['sorry'] }], ends: ['whole 500'], sends: 1 }
  ] as const) {
    it(`makes no further attempt of ${name} when the VM ends before its deadline`, async () => {
      const limit = new DrainLimit()
      const client = new FakeClient([...scripts, { head: OK, pieces: [] }])
      const sink = new FakeSink()
      const call = callOf(new AbortController().signal)
      const serve = client.send.bind(client)
      client.send = async (req, stop) => {
        limit.begin({ lingerUntil: 0, cutAt: call.receivedAt.mono + 1_000 })
        return await serve(req, stop)
      }
      await pipelineOf(client, new FakeBudgets(), route, limit).pipeline.serve(call, sink)
      expect([sink.ends, client.sent.length]).to.deep.equal([ends, sends])
    })
  }

  it('goes on with a stream that has begun when the VM ends before its deadline', async () => {
    const limit = new DrainLimit()
    const client = new FakeClient([{ head: OK, pieces: [event(1)], end: cutShort }, { head: OK, pieces: [event(2)] }])
    const sink = new FakeSink()
    sink.head = () => {
      sink.isStarted = true
      limit.begin({ lingerUntil: 0, cutAt: 0 })
    }
    await pipelineOf(client, new FakeBudgets(), resumable, limit).pipeline.serve(callOf(new AbortController().signal), sink)
    expect([sink.ends, sink.text]).to.deep.equal([['end'], event(1) + event(2)])
  })

  it('aborts the run of a caller that disconnects', async () => {
    const client = new FakeClient([])
    const sink = new FakeSink()
    const gone = new AbortController()
    const served = pipelineOf(client, new FakeBudgets(), stream).pipeline.serve(callOf(gone.signal), sink)
    await new Promise(resolve => setTimeout(resolve, 10))
    gone.abort()
    await served
    expect([sink.ends, client.sent.length]).to.deep.equal([['callerGone unknown'], 1])
  })
})

describe('GatewayConfigHolder', () => {
  const paid = (version: number, prepaidTokens: number): unknown => ({ version, routes: [], services: {}, teams: { t: { keyHashes: [], prepaidTokens } } })
  const changes: ReadonlyArray<{ readonly name: string, readonly configs: readonly unknown[], readonly version: number, readonly notified: readonly (readonly [string, boolean])[] }> = [
    { name: 'does not notify of the first configuration', configs: [paid(1, 10)], version: 1, notified: [] },
    { name: 'notifies of a higher amount', configs: [paid(1, 10), paid(2, 20)], version: 2, notified: [['t', false]] },
    { name: 'notifies of a lower amount', configs: [paid(1, 10), paid(2, 5)], version: 2, notified: [['t', true]] },
    { name: 'ignores an older version', configs: [paid(2, 10), paid(1, 5)], version: 2, notified: [] },
    { name: 'ignores the same version', configs: [paid(2, 10), paid(2, 5)], version: 2, notified: [] }
  ]
  for (const { name, configs, version, notified: expected } of changes) {
    it(name, () => {
      const holder = new GatewayConfigHolder(silentLog)
      const notifications: Array<readonly [string, boolean]> = []
      holder.onPaidChanged((team, isLowered) => { notifications.push([team, isLowered]) })
      for (const config of configs) holder.apply(gatewayConfigSchema.parse(config))
      expect([holder.current()?.config.version, holder.declaredPaid('t')?.version, notifications]).to.deep.equal([version, version, expected])
    })
  }
})
