/**
 * Fakes for the specs of request handling: engines with scripted faults, budgets that record bills,
 * and routing in a fixed order. Contains no tests.
 */
import { Just, Left, Nothing, Right, type Either, type Maybe } from 'purify-ts'
import type { AnswerSink, CompletionCall, CompletionUsage } from '@rosemaryspread/callers/completion/completionTypes.js'
import type { Bill } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { fleetConfigSchema } from '@rosemaryspread/decisions/config/configSchema.js'
import type { CacheEvents, EngineClient, EngineEvent, EngineRequest, EngineStream, LoadReport, RunRecord } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { BudgetPort, Reservation } from '../budget/budgetPort.js'
import { MetricsRecorder } from '../metrics/metricsRecorder.js'
import type { RoutedRunner, RouteRefusal, RoutingPort } from '../routing/routingPort.js'
import type { AdmittedCompletion } from './completionAdmission.js'
import { OpenWork } from './completionDrain.js'
import { RoutedCompletionService } from './completionService.js'
import { SystemClock, SystemRandom } from './completionSystem.js'
import { UnsettledRuns, type RunnerAddress } from './completionUnsettled.js'

/** Faults of one engine. */
export interface EngineScript {
  /** Refuses new runs because the engine is leaving. */
  isLeaving?: boolean
  /** Refuses connections from these VMs, or from all. */
  unreachableFrom?: readonly string[] | 'all'
  /** Pieces after which each of the next streams breaks. */
  cuts?: number[]
  /** Loses the next submit in transit: no run starts, and the VM cannot know. */
  resetSubmit?: boolean
  /** Loses the response to the next submit after the run started. */
  loseSubmit?: boolean
  /** Sequence number that the next stream replaces by a piece of another request. */
  mixAt?: number
  /** Sequence number that streams leave out. */
  gapAt?: number
  /** Pieces before the requested one that a resumed stream repeats. */
  overlap?: number
  /** Completion tokens to report instead of the actual number. */
  report?: number
  /** Awaited before the second piece of each stream. */
  hold?: Promise<void>
}

interface FakeRun {
  readonly req: EngineRequest
  state: RunRecord['state']
}

export const ANSWER_PIECES = 4

/** The complete answer to a request. */
export function fullText (requestId: string): string {
  return Array.from({ length: ANSWER_PIECES }, (_, index) => pieceText(requestId, index)).join('')
}

function pieceText (requestId: string, index: number): string {
  return `${requestId.slice(0, 6)}/${index} `
}

/** State of all engines by address: runs and scripted faults. */
export class FakeEngines {
  readonly scripts = new Map<string, EngineScript>()
  readonly runs = new Map<string, Map<string, FakeRun>>()

  at (address: string): Map<string, FakeRun> {
    const runs = this.runs.get(address) ?? new Map<string, FakeRun>()
    this.runs.set(address, runs)
    return runs
  }

  script (address: string): EngineScript {
    return this.scripts.get(address) ?? {}
  }

  /** Started runs, without seals, as `address:state`. */
  startedRuns (): string[] {
    return [...this.runs].flatMap(([address, runs]) =>
      [...runs.values()].filter(({ state }) => state !== 'sealed').map(({ state }) => `${address}:${state}`))
  }
}

/** Client of one VM to the shared engines. */
export class FakeEngineClient implements EngineClient {
  constructor (protected readonly engines: FakeEngines, private readonly vm: string) {}

  async submit (address: string, req: EngineRequest, onLeaving: () => void = () => {}): Promise<Either<Failure, EngineStream>> {
    return await this.whenReachable(address, async () => {
      const runs = this.engines.at(address)
      const existing = runs.get(req.requestId)
      if (this.engines.script(address).isLeaving === true) {
        onLeaving()
        return Left(new Failure('runnerRefused', 'leaving', { ran: 'no' }))
      }
      if (this.engines.script(address).resetSubmit === true) {
        this.engines.scripts.set(address, { unreachableFrom: [this.vm] })
        return Left(new Failure('runnerUnreachable', 'reset', { ran: 'unknown' }))
      }
      if (existing?.state === 'sealed') return Left(new Failure('runnerRefused', 'sealed', { ran: 'no' }))
      if (existing !== undefined && existing.req.digest !== req.digest) return Left(new Failure('keyReused', 'another body', { ran: 'no' }))
      const run = existing ?? { req, state: 'running' as const }
      runs.set(req.requestId, run)
      const script = this.engines.script(address)
      if (script.loseSubmit === true) {
        script.loseSubmit = false
        return Left(new Failure('runnerUnreachable', 'lost', { ran: 'unknown' }))
      }
      return Right(this.stream(address, run, 0))
    })
  }

  async resume (address: string, requestId: string, sequence: number): Promise<Either<Failure, EngineStream>> {
    return await this.whenReachable(address, async () => {
      const run = this.engines.at(address).get(requestId)
      if (run === undefined || run.state === 'sealed') return Left(new Failure('runnerRefused', 'unknown run', { ran: 'no' }))
      return Right(this.stream(address, run, Math.max(0, sequence - (this.engines.script(address).overlap ?? 0))))
    })
  }

  async find (address: string, requestId: string): Promise<Either<Failure, Maybe<RunRecord>>> {
    return await this.whenReachable(address, async () => Right(this.record(address, requestId)))
  }

  async listByHolder (): Promise<Either<Failure, readonly RunRecord[]>> {
    return Right([])
  }

  async cancel (address: string, requestId: string): Promise<Either<Failure, RunRecord>> {
    return await this.whenReachable(address, async () => {
      const run = this.engines.at(address).get(requestId)
      if (run?.state === 'running') run.state = 'cancelled'
      return this.record(address, requestId).toEither(new Failure('notFound', 'unknown run', { ran: 'no' }))
    })
  }

  async seal (address: string, requestId: string): Promise<Either<Failure, Maybe<RunRecord>>> {
    return await this.whenReachable(address, async () => {
      const existing = this.record(address, requestId)
      if (existing.isJust()) return Right(existing.filter(({ state }) => state !== 'sealed'))
      const req = { requestId, digest: '', holder: '', team: '', budget: '', model: '', messages: [], maxTokens: 0, priority: 0 }
      this.engines.at(address).set(requestId, { req, state: 'sealed' })
      return Right(Nothing)
    })
  }

  async load (): Promise<Either<Failure, LoadReport>> {
    return Left(new Failure('runnerUnreachable', 'no load', { ran: 'no' }))
  }

  async cacheEvents (): Promise<Either<Failure, CacheEvents>> {
    return Left(new Failure('runnerUnreachable', 'no events', { ran: 'no' }))
  }

  async order (): Promise<Either<Failure, void>> {
    return Right(undefined)
  }

  protected record (address: string, requestId: string): Maybe<RunRecord> {
    const run = this.engines.at(address).get(requestId)
    if (run === undefined) return Nothing
    const { digest, holder, team, budget, model } = run.req
    return Just({ requestId, digest, holder, team, budget, model, state: run.state, promptTokens: 5, completionTokens: ANSWER_PIECES })
  }

  private async whenReachable<T> (address: string, work: () => Promise<Either<Failure, T>>): Promise<Either<Failure, T>> {
    const { unreachableFrom: from } = this.engines.script(address)
    if (from === 'all' || from?.includes(this.vm) === true) return Left(new Failure('runnerUnreachable', 'no connection', { ran: 'no' }))
    return await work()
  }

  private stream (address: string, run: FakeRun, from: number): EngineStream {
    const script = this.engines.script(address)
    return { holder: run.req.holder, events: this.events(script, run, from), close: () => {} }
  }

  private async * events (script: EngineScript, run: FakeRun, from: number): AsyncIterable<EngineEvent> {
    const { requestId } = run.req
    const cutAfter = script.cuts?.shift()
    for (let sequence = from; sequence < ANSWER_PIECES; sequence += 1) {
      if (cutAfter !== undefined && sequence - from >= cutAfter) throw new Failure('answerCut', 'broken', { ran: 'yes' })
      if (sequence === 1) await script.hold
      if (script.gapAt === sequence) continue
      const isMixed = script.mixAt === sequence
      if (isMixed) delete script.mixAt
      yield { kind: 'piece', piece: { requestId: isMixed ? 'of-another' : requestId, sequence, text: isMixed ? 'foreign ' : pieceText(requestId, sequence) } }
    }
    run.state = 'finished'
    yield { kind: 'end', requestId, end: { finishReason: 'stop', usage: { promptTokens: 5, completionTokens: script.report ?? ANSWER_PIECES } } }
  }
}

/** Accepts every reservation unless `refuse` is set, and records the bills of all VMs. */
export class FakeBudgets implements BudgetPort {
  readonly bills: Bill[] = []
  open = 0
  refuse: Failure | undefined
  confirmFailure: Failure | undefined

  async reserve (budget: string, tokens: number): Promise<Either<Failure, Reservation>> {
    if (this.refuse !== undefined) return Left(this.refuse)
    this.open += 1
    return Right({ reservationId: `r${Math.random()}`, budget, tokens })
  }

  confirm (): Either<Failure, void> {
    return this.confirmFailure === undefined ? Right(undefined) : Left(this.confirmFailure)
  }

  settle (_: Reservation, bill?: Bill): void {
    this.open -= 1
    if (bill !== undefined) this.bills.push(bill)
  }
}

/** Routes every request in one fixed order of runners, skipping those that the VM believes down. */
export class FakeRouting implements RoutingPort {
  believedDown: string[] = []
  /** Runners reported as leaving. */
  readonly reportedLeaving: string[] = []
  /** Dispatched runs that have not ended. */
  open = 0

  constructor (private readonly runners: readonly RunnerAddress[]) {}

  async route (admitted: AdmittedCompletion, exclude: readonly string[]): Promise<Either<RouteRefusal, RoutedRunner>> {
    const usable = this.runners.filter(({ runner }) => !exclude.includes(runner))
    const choice = usable.find(({ runner }) => !this.believedDown.includes(runner))
    if (choice === undefined) return Left({ failure: new Failure('noRunner', 'none', { ran: 'no', retryAfterMs: 100 }), lookupRunners: admitted.keyed ? this.runners : [] })
    this.open += 1
    const run = { streamOpened: () => {}, leaving: () => { this.reportedLeaving.push(choice.runner) }, firstToken: () => {}, ended: () => { this.open -= 1 } }
    return Right({ run, choice, runnersToSeal: admitted.keyed ? usable.slice(0, usable.indexOf(choice)) : [] })
  }

  finish (): void {}

  retryDelay (): Maybe<number> {
    return Just(0)
  }

  inFlight (): number {
    return 0
  }
}

/** The answer as its caller received it. */
export interface ReceivedAnswer {
  text: string
  end: 'whole' | Failure | 'none'
  ends: number
  usage?: CompletionUsage
}

const config = fleetConfigSchema.parse({
  teams: { desk: { displayName: 'desk', budget: 'b', models: ['m'] } },
  models: { m: { maxTokens: 8 } }
})
const runners = ['r1', 'r2', 'r3'].map(runner => ({ runner, address: runner }))

/** One VM over shared engines and budgets. */
export class FakeVm {
  readonly work = new OpenWork()
  readonly routing = new FakeRouting(runners)
  readonly unsettled: UnsettledRuns
  /** Log lines, each with its event name. */
  readonly lines: Array<Readonly<Record<string, unknown>>> = []
  private readonly service: RoutedCompletionService

  constructor (vm: string, engines: EngineClient, readonly budgets: FakeBudgets) {
    const holder = `${vm}~1`
    this.unsettled = new UnsettledRuns(engines, budgets, holder, () => true)
    this.service = new RoutedCompletionService({
      holder,
      clock: new SystemClock(),
      random: new SystemRandom(),
      config: { current: () => Just({ version: 1, config }) },
      work: this.work,
      budgets,
      routing: this.routing,
      engines,
      unsettled: this.unsettled,
      log: { write: (event, fields) => { this.lines.push({ event, ...fields }) } },
      metrics: new MetricsRecorder(),
      reserveTimeoutMs: 100
    })
  }

  /** Sends one completion and waits until its work is closed. */
  async ask (options: { key?: string, text?: string, gone?: AbortSignal, timeoutMs?: number, requestId?: string, onPiece?: () => void } = {}): Promise<ReceivedAnswer> {
    const content = options.text ?? 'hola'
    const call: CompletionCall = {
      caller: { team: 'desk' },
      body: { model: 'm', messages: [{ role: 'user', content }], stream: true },
      digest: content,
      gone: options.gone ?? new AbortController().signal,
      ...(options.key === undefined ? {} : { idempotencyKey: options.key }),
      ...(options.requestId === undefined ? {} : { requestId: options.requestId }),
      ...(options.timeoutMs === undefined ? {} : { timeoutMs: options.timeoutMs })
    }
    const seen: ReceivedAnswer = { text: '', end: 'none', ends: 0 }
    const sink: AnswerSink = {
      begin: () => {},
      piece: text => {
        seen.text += text
        options.onPiece?.()
      },
      finish: (_, usage) => Object.assign(seen, { end: 'whole', ends: seen.ends + 1, usage }),
      fail: failure => Object.assign(seen, { end: failure, ends: seen.ends + 1 })
    }
    await this.service.complete(call, sink)
    await this.work.waitUntilIdle(1_000)
    return seen
  }
}
