/**
 * Guards against requests that are lost, run twice or left open because another VM sends them to the target.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { Left, Right, type Either } from 'purify-ts'
import { Failure, failureOf, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import { OpenWork } from '../completion/completionDrain.js'
import { ByteBudget } from '../gateway/byteBudget.js'
import type { TargetAnswer, TargetClient, TargetRequest } from '../gateway/callTypes.js'
import { MetricsRecorder } from '../metrics/metricsRecorder.js'
import { RelayClient } from './relayClient.js'
import { RelayingClient } from './relayingClient.js'
import { RelayServer } from './relayServer.js'
import { relayMethods } from './relayTypes.js'

/** Time that a call takes. */
const CALL_MS = 100

const head = { status: 200, headers: [['X-A', 'b'] as const] }

const request: TargetRequest = {
  service: 's',
  target: { id: 't', address: '10.0.0.1:1' },
  requestId: 'r',
  method: 'POST',
  path: '/x',
  headers: [['X-B', 'c']],
  body: Buffer.from('body'),
  timeoutMs: 500,
  team: undefined,
  priority: 3,
  resumeAfter: undefined,
  isRepeatable: true
}

/** Answers with chunks, one every few milliseconds; fails after them if a failure is given. */
class FakeTargetClient implements TargetClient {
  readonly sent: TargetRequest[] = []
  stops = 0

  constructor (private readonly failure: Failure | undefined, private readonly chunks: readonly string[], private readonly readFailure?: Failure, private readonly report?: TargetReport) {}

  async send (req: TargetRequest, stop: AbortSignal, onReport: (report: TargetReport) => void): Promise<Either<Failure, TargetAnswer>> {
    this.sent.push(req)
    stop.addEventListener('abort', () => { this.stops += 1 })
    if (this.report !== undefined) onReport(this.report)
    if (this.failure !== undefined) return Left(this.failure)
    return Right({ head, read: async onBytes => await this.read(stop, onBytes) })
  }

  private async read (stop: AbortSignal, onBytes: (bytes: Buffer) => Promise<void> | undefined): Promise<Either<Failure, void>> {
    for (const chunk of this.chunks) {
      await pause(5)
      if (stop.aborted) return Left(new Failure('answerCut', 'stopped', { ran: 'unknown' }))
      await onBytes(Buffer.from(chunk))
    }
    return this.readFailure === undefined ? Right(undefined) : Left(this.readFailure)
  }
}

/** VMs that relay, and one that asks them. */
class RelayFleet {
  readonly client: RelayClient
  readonly works: readonly OpenWork[]
  readonly reports: TargetReport[] = []
  readonly stop = new AbortController()
  private mono = 0
  /** Failures of calls to a VM instead of its answer. */
  readonly linkFailures = new Map<string, Failure>()
  /** Failure of one of the reads that follow the first bytes, by its number from 1. */
  readonly readFailures = new Map<number, Failure>()
  private reads = 0

  constructor (targets: readonly FakeTargetClient[]) {
    this.works = targets.map(() => new OpenWork())
    const servers = new Map(targets.map((client, index) => [`vm-${index}`, new RelayServer({
      client,
      probe: { isTerminated: async () => true },
      work: this.works[index] as OpenWork,
      bodies: new ByteBudget(),
      metrics: new MetricsRecorder()
    }).methods()]))
    this.client = new RelayClient({
      clock: { now: () => ({ mono: this.mono, wall: 0 }) },
      log: { write: () => {} },
      metrics: new MetricsRecorder(),
      random: { next: () => 0, id: () => '' },
      peers: () => [...servers.keys()].map(vm => ({ holder: vm, address: vm })),
      call: async (address, method, params) => {
        if (method === relayMethods.read) this.reads += 1
        const failure = this.linkFailures.get(address) ?? (method === relayMethods.read ? this.readFailures.get(this.reads) : undefined)
        this.mono += CALL_MS
        if (failure !== undefined) return Left(failure)
        try {
          return Right(await servers.get(address)?.get(method)?.(params, 'asking'))
        } catch (err) {
          return Left(toFailure(err))
        }
      },
      notify: (address, method, params) => { servers.get(address)?.get(method)?.(params, 'asking').catch(() => {}) }
    })
  }

  /** Open requests at all VMs that relay. */
  get open (): number {
    return this.works.reduce((sum, work) => sum + work.openCount(), 0)
  }

  async send (): Promise<Either<Failure, TargetAnswer>> {
    return await this.client.send(request, this.stop.signal, report => { this.reports.push(report) })
  }

  /** Sends a request and reads its answer. */
  async read (): Promise<{ readonly text: string, readonly failure: Failure | undefined }> {
    const sent = await this.send()
    if (sent.isLeft()) return { text: '', failure: failureOf(sent) }
    let text = ''
    const read = await sent.unsafeCoerce().read(bytes => {
      text += bytes.toString()
      return undefined
    })
    return { text, failure: failureOf(read) }
  }
}

const refused = new Failure('runnerRefused', 'full', { ran: 'no' })
const lost = new Failure('targetsUnreachable', 'no path', { ran: 'no' })
const unlinked = new Failure('peerUnreachable', 'no link', { ran: 'no' })
const tooLarge = new Failure('bodyTooLarge', 'the frame exceeds the limit', { ran: 'no' })
const unanswered = new Failure('peerUnreachable', 'no response', { ran: 'unknown' })

/** Failures of links that are made before a call is sent, so they say nothing about earlier calls. */
const unsentReads: readonly Failure[] = [
  new Failure('overloaded', 'the limit of open calls to the VM', { ran: 'no' }),
  new Failure('overloaded', 'the limit of concurrent calls of the connection', { ran: 'no' }),
  new Failure('peerUnreachable', 'the client is closed', { ran: 'no' }),
  new Failure('peerUnreachable', 'the link was closed', { ran: 'no' }),
  new Failure('peerUnreachable', 'no new attempt before the backoff ends', { ran: 'no' }),
  new Failure('peerUnreachable', 'no connection in time', { ran: 'no' }),
  new Failure('peerRefused', 'the peer did not accept the proof', { ran: 'no' }),
  new Failure('peerRefused', 'no such method', { ran: 'no' }),
  new Failure('bodyTooLarge', 'the frame exceeds the limit', { ran: 'no' }),
  new Failure('draining', 'this VM is draining', { ran: 'no' })
]

interface SendCase {
  readonly name: string
  /** Failure of each VM's own attempt, or of the link to it. */
  readonly failures: ReadonlyArray<{ readonly own?: Failure, readonly link?: Failure }>
  /** Requests that each VM sends to the target. */
  readonly sent: readonly number[]
  /** Code of the failure and whether the request ran; absent for success. */
  readonly failure?: readonly [string, string]
}

const sends: readonly SendCase[] = [
  { name: 'through the first VM', failures: [{}, {}], sent: [1, 0] },
  { name: 'through another VM if the first has lost its path too', failures: [{ own: lost }, {}], sent: [1, 1] },
  { name: 'through another VM if there is no link to the first', failures: [{ link: unlinked }, {}], sent: [0, 1] },
  { name: 'through no other VM once the target has refused it', failures: [{ own: refused }, {}], sent: [1, 0], failure: ['runnerRefused', 'no'] },
  { name: 'through no other VM once it may have run', failures: [{ link: unanswered }, {}], sent: [0, 0], failure: ['targetsUnreachable', 'unknown'] },
  { name: 'through none if it is too large for the links', failures: [{ link: tooLarge }, { link: tooLarge }], sent: [0, 0], failure: ['targetsUnreachable', 'no'] },
  { name: 'through three VMs at most', failures: [{ own: lost }, { own: lost }, { own: lost }, {}], sent: [1, 1, 1, 0], failure: ['targetsUnreachable', 'no'] },
  { name: 'through none if there is none', failures: [], sent: [], failure: ['targetsUnreachable', 'no'] }
]

describe('a request that another VM sends', () => {
  for (const { name, failures, sent, failure } of sends) {
    it(`is sent ${name}`, async () => {
      const targets = failures.map(({ own }) => new FakeTargetClient(own, ['ok']))
      const fleet = new RelayFleet(targets)
      failures.forEach(({ link }, index) => { if (link !== undefined) fleet.linkFailures.set(`vm-${index}`, link) })
      const result = await fleet.read()
      expect(targets.map(target => target.sent.length)).to.deep.equal(sent)
      expect(result.failure === undefined ? undefined : [result.failure.code, result.failure.ran]).to.deep.equal(failure)
      expect(result.text).to.equal(failure === undefined ? 'ok' : '')
      expect(fleet.open).to.equal(0)
    })
  }

  it('arrives unchanged', async () => {
    const target = new FakeTargetClient(undefined, ['ok'])
    await new RelayFleet([target]).read()
    expect(target.sent[0]).to.deep.equal(request)
  })

  it('arrives with the time that is left', async () => {
    const target = new FakeTargetClient(undefined, ['ok'])
    const fleet = new RelayFleet([target, target])
    fleet.linkFailures.set('vm-0', unlinked)
    await fleet.read()
    expect(target.sent.map(({ timeoutMs }) => timeoutMs)).to.deep.equal([request.timeoutMs - CALL_MS])
  })

  it('goes to another VM with the time that its own attempt has left', async () => {
    let mono = 0
    const relayed: TargetRequest[] = []
    const paths = { isLost: () => true }
    const probe = { isTerminated: async () => false }
    const client = new RelayingClient({
      clock: { now: () => ({ mono, wall: 0 }) },
      direct: {
        send: async () => {
          mono += 450
          return Left(lost)
        }
      },
      probe,
      paths,
      relay: {
        ...probe,
        send: async req => {
          relayed.push(req)
          return Left(lost)
        }
      }
    })
    await client.send(request, new AbortController().signal, () => {})
    await client.send({ ...request, timeoutMs: 400 }, new AbortController().signal, () => {})
    expect(relayed.map(({ timeoutMs }) => timeoutMs)).to.deep.equal([50])
  })

  it('is cancelled if the caller cannot take its answer', async () => {
    const target = new FakeTargetClient(undefined, Array.from({ length: 1_000 }, () => 'x'))
    const fleet = new RelayFleet([target])
    const answer = (await fleet.send()).unsafeCoerce()
    const failure = await answer.read(() => { throw new Failure('answerCut', 'too large', { ran: 'no' }) }).then(() => undefined, toFailure)
    await pause(20)
    expect([failure?.message, target.stops, fleet.open]).to.deep.equal(['too large', 1, 0])
  })

  it('is answered whole and in order', async () => {
    const chunks = Array.from({ length: 40 }, (_, index) => `${index},`)
    const fleet = new RelayFleet([new FakeTargetClient(undefined, chunks)])
    expect(await fleet.read()).to.deep.equal({ text: chunks.join(''), failure: undefined })
    expect(fleet.open).to.equal(0)
  })

  it('breaks off where the answer of the target does', async () => {
    const fleet = new RelayFleet([new FakeTargetClient(undefined, ['a', 'b'], new Failure('answerCut', 'reset', { ran: 'yes' }))])
    const { text, failure } = await fleet.read()
    expect([text, failure?.code, failure?.ran]).to.deep.equal(['ab', 'answerCut', 'yes'])
  })

  it('is stopped at the target when the caller leaves', async () => {
    const target = new FakeTargetClient(undefined, Array.from({ length: 1_000 }, () => 'x'))
    const fleet = new RelayFleet([target])
    const reading = fleet.read()
    await pause(60)
    fleet.stop.abort()
    const { failure } = await reading
    await pause(20)
    expect([failure?.code, target.stops, fleet.open]).to.deep.equal(['answerCut', 1, 0])
  })

  it('is not sent if it was stopped before it arrived', async () => {
    const target = new FakeTargetClient(undefined, ['ok'])
    const server = new RelayServer({ client: target, probe: { isTerminated: async () => false }, work: new OpenWork(), bodies: new ByteBudget(), metrics: new MetricsRecorder() }).methods()
    const { body, headers, target: { id, address }, service, requestId, method, path, timeoutMs, priority, isRepeatable } = request
    await server.get(relayMethods.cancel)?.({ exchange: '1' }, 'asking')
    const params = { exchange: '1', body, headers, target: { id, address }, service, requestId, method, path, timeoutMs, priority, isRepeatable }
    const failure = await server.get(relayMethods.send)?.(params, 'asking').then(() => undefined, toFailure)
    expect([failure?.code, failure?.ran, target.sent]).to.deep.equal(['callerGone', 'no', []])
    await server.get(relayMethods.send)?.(params, 'another')
    expect(target.sent).to.have.length(1)
  })

  it('breaks off with its link, and may have run', async () => {
    const fleet = new RelayFleet([new FakeTargetClient(undefined, Array.from({ length: 1_000 }, () => 'x'))])
    const reading = fleet.read()
    await pause(60)
    fleet.linkFailures.set('vm-0', unanswered)
    const { failure } = await reading
    expect([failure?.code, failure?.ran]).to.deep.equal(['targetsUnreachable', 'unknown'])
  })

  for (const failure of unsentReads) {
    for (const read of [1, 2]) {
      it(`may have run if read ${read} of its answer is not sent: ${failure.code}, ${failure.message}`, async () => {
        const target = new FakeTargetClient(undefined, Array.from({ length: 1_000 }, () => 'x'))
        const fleet = new RelayFleet([target, new FakeTargetClient(undefined, ['again'])])
        fleet.readFailures.set(read, failure)
        const { text, failure: seen } = await fleet.read()
        await pause(20)
        expect([seen?.code, seen?.ran]).to.deep.equal(['targetsUnreachable', 'unknown'])
        expect([/^x+$/.test(text), target.stops, fleet.open]).to.deep.equal([true, 1, 0])
      })
    }
  }

  for (const failure of [undefined, refused]) {
    it(`passes on what the target reports, with ${failure === undefined ? 'an answer' : 'a refusal'}`, async () => {
      const fleet = new RelayFleet([new FakeTargetClient(failure, ['ok'], undefined, { isLeaving: true, pauseMs: 500 })])
      await fleet.read()
      expect(fleet.reports).to.deep.equal([{ isLeaving: true, pauseMs: 500 }])
    })
  }

  it('is not taken by a VM that is draining', async () => {
    const targets = [new FakeTargetClient(undefined, ['ok']), new FakeTargetClient(undefined, ['ok'])]
    const fleet = new RelayFleet(targets);
    (fleet.works[0] as OpenWork).draining = true
    expect((await fleet.read()).text).to.equal('ok')
    expect(targets.map(({ sent }) => sent.length)).to.deep.equal([0, 1])
  })
})
