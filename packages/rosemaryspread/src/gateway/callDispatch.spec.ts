/**
 * Guards against refusals that promise that a call has not run though an attempt may have run it.
 */
import { expect } from 'chai'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { DrainLimit } from '@rosemaryspread/decisions/gateway/drainLimit.js'
import { gatewayConfigSchema } from '@rosemaryspread/decisions/gateway/gatewayConfig.js'
import { refusalOf } from '@rosemaryspread/decisions/gateway/refusal.js'
import type { TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'
import { OpenWork } from '../completion/completionDrain.js'
import { MetricsRecorder } from '../metrics/metricsRecorder.js'
import { CallDispatch, type DispatchDeps } from './callDispatch.js'
import { CallReport } from './callReport.js'
import type { CallGuard, CallSink, TargetAnswer, TargetChooser, TargetClient } from './callTypes.js'
import { GatewayConfigHolder } from './gatewayConfigHolder.js'
import { GatewayPipeline } from './gatewayPipeline.js'
import type { GatewayCall } from './gatewayTypes.js'

const silentLog = { write: () => {} }
const unsent = new Failure('overloaded', 'not sent', { ran: 'no' })

/** What an attempt does: `send` and `read` name where it ends, and whether with a failure that is returned or thrown. */
type Step = 'refused' | 'lost' | 'failed' | 'link refuses' | 'send throws' | 'read fails' | 'read throws' | 'stream fails'

const steps: Readonly<Record<Step, () => Either<Failure, TargetAnswer>>> = {
  refused: () => Left(new Failure('runnerRefused', 'full', { ran: 'no' })),
  lost: () => Left(new Failure('runnerUnreachable', 'reset', { ran: 'unknown' })),
  failed: () => Right({ head: { status: 500, headers: [] }, read: async () => Right(undefined) }),
  'link refuses': () => Left(unsent),
  'send throws': () => { throw unsent },
  'read fails': () => Right({ head: { status: 200, headers: [] }, read: async () => Left(unsent) }),
  'read throws': () => Right({ head: { status: 200, headers: [] }, read: async () => { throw unsent } }),
  'stream fails': () => Right({
    head: { status: 200, headers: [] },
    read: async onBytes => {
      await onBytes(Buffer.from('id: 1'))
      return Left(unsent)
    }
  })
}

/** Part that fails with a promise, or throws one, after the first attempt. */
type Fault = 'chooser.choose' | 'chooser.choose throws' | 'chooser.refusal' | 'chooser.ended throws' | 'retries throw' | 'budgets.confirm' | 'budgets.confirm throws' | 'budgets.settle throws' | 'guard.refusal' | 'guard.refusal throws' | 'guard.handleBroken throws' | 'guard aborts'

interface DispatchCase {
  readonly steps: readonly Step[]
  readonly fault?: Fault
  readonly streamed?: true
  /** Status that the caller gets. */
  readonly status: number
}

const cases: readonly DispatchCase[] = [
  { steps: ['refused'], status: 503 },
  { steps: ['refused', 'refused'], status: 503 },
  { steps: ['lost'], status: 502 },
  { steps: ['lost', 'refused'], status: 502 },
  { steps: ['refused', 'lost'], status: 502 },
  { steps: ['failed', 'refused'], status: 500 },
  { steps: ['refused', 'failed'], status: 500 },
  { steps: ['link refuses'], status: 502 },
  { steps: ['refused', 'link refuses'], status: 502 },
  { steps: ['link refuses', 'refused'], status: 502 },
  { steps: ['send throws'], status: 502 },
  { steps: ['read fails'], status: 502 },
  { steps: ['read throws'], status: 502 },
  { steps: ['stream fails'], streamed: true, status: 502 },
  { steps: ['send throws', 'refused'], status: 502 },
  { steps: ['read fails', 'refused'], status: 502 },
  { steps: ['read throws', 'refused'], status: 502 },
  { steps: ['refused', 'send throws'], status: 502 },
  { steps: ['refused', 'read fails'], status: 502 },
  { steps: ['refused', 'read throws'], status: 502 },
  { steps: ['read fails', 'lost', 'refused'], status: 502 },
  ...(['chooser.choose', 'chooser.choose throws', 'chooser.refusal', 'retries throw', 'budgets.confirm', 'budgets.confirm throws', 'budgets.settle throws', 'guard.refusal', 'guard.refusal throws'] as const).flatMap((fault): DispatchCase[] => [
    { steps: ['lost'], fault, status: 502 },
    { steps: ['read fails'], fault, status: 502 },
    { steps: ['lost', 'refused'], fault, status: 502 },
    { steps: ['refused'], fault, status: 503 }
  ]),
  // A failed answer ends the call where no further attempt is made, and a retry's failure does not hide that it ran.
  ...(['chooser.choose throws', 'retries throw', 'guard.refusal', 'guard.refusal throws', 'budgets.confirm throws'] as const).map((fault): DispatchCase => ({ steps: ['failed'], fault, status: 502 })),
  ...(['guard.handleBroken throws', 'guard aborts', 'chooser.ended throws'] as const).flatMap((fault): DispatchCase[] => [
    { steps: ['lost'], fault, status: 502 },
    { steps: ['read fails'], fault, status: 502 }
  ])
]

interface UnprovenCase extends Pick<DispatchCase, 'steps' | 'fault'> {
  readonly unproven: number
}

/** An attempt that may have run never says otherwise, and a guard's refusal says what holds for a call that was not sent: neither is a contradiction. */
const unprovenCases: readonly UnprovenCase[] = [
  { steps: ['link refuses'], unproven: 0 },
  { steps: ['read fails'], unproven: 0 },
  { steps: ['refused', 'read throws'], unproven: 0 },
  { steps: ['lost'], fault: 'retries throw', unproven: 1 },
  { steps: ['lost'], fault: 'budgets.settle throws', unproven: 1 },
  { steps: ['lost'], fault: 'guard.refusal', unproven: 0 },
  { steps: ['lost'], fault: 'guard aborts', unproven: 0 },
  { steps: ['refused'], fault: 'retries throw', unproven: 0 }
]

/** A call that is received now. */
function receivedCall (): GatewayCall {
  return {
    requestId: 'r',
    method: 'POST',
    host: 'h',
    path: '/p/x',
    key: 'k',
    headers: [],
    body: Buffer.alloc(0),
    timeoutMs: undefined,
    promptTokens: 1,
    maxTokens: 1,
    promptParts: [],
    receivedAt: { mono: performance.now(), wall: 0 },
    gone: new AbortController().signal
  }
}

class StatusSink implements CallSink {
  isStarted = false
  readonly statuses: number[] = []

  whole ({ status }: { readonly status: number }): void { this.statuses.push(status) }

  head (): void { this.isStarted = true }

  chunk (): undefined {}

  end (): void { this.statuses.push(0) }

  cut (): void { this.statuses.push(0) }

  refuse (failure: Failure): void { this.statuses.push(refusalOf(failure).status) }
}

/** Parts of a dispatch of which one fails after the first attempt. */
class FaultyParts {
  private attempts = 0
  private readonly left: Step[]

  constructor (steps: readonly Step[], private readonly fault: Fault | undefined) {
    this.left = [...steps]
  }

  deps (): Omit<DispatchDeps, 'clock' | 'metrics' | 'report'> {
    return {
      client: this.client(),
      chooser: this.chooser(),
      guard: this.guard(),
      retries: {
        recordFirstAttempt: () => {},
        tryAcquire: () => {
          this.raise('retries throw')
          return this.left.length > 0 || this.isDueBeforeAttempt
        }
      },
      budgets: {
        reserve: async (budget, tokens) => Right({ reservationId: 'v', budget, tokens }),
        confirm: () => {
          this.raise('budgets.confirm throws')
          return this.isDue('budgets.confirm') ? Left(unsent) : Right(undefined)
        },
        settle: () => { this.raise('budgets.settle throws') }
      }
    }
  }

  /** Whether the fault shows only if a further attempt is begun. */
  private get isDueBeforeAttempt (): boolean {
    return this.fault !== undefined && ['chooser.choose', 'chooser.choose throws', 'budgets.confirm', 'budgets.confirm throws', 'guard.refusal', 'guard.refusal throws'].includes(this.fault)
  }

  private isDue (fault: Fault): boolean {
    return this.attempts > 0 && this.fault === fault
  }

  private raise (fault: Fault): void {
    if (this.isDue(fault)) throw unsent
  }

  private client (): TargetClient {
    return {
      send: async () => {
        this.attempts += 1
        return (steps[this.left.shift() as Step])()
      }
    }
  }

  private chooser (): TargetChooser {
    return {
      choose: (_admitted, exclude) => {
        this.raise('chooser.choose throws')
        if (this.isDue('chooser.choose')) return Left(unsent)
        const target: TargetView = { id: `t${exclude.size}`, service: 's', address: 'a', domain: 'd', slots: 1, isLeaving: false }
        return Right({ target, candidates: 1, paused: 0, reason: 'least work', work: 0 } as never)
      },
      refusal: () => this.isDue('chooser.refusal') ? unsent : undefined,
      sent: () => 0,
      endPrefill: () => {},
      recordReport: () => {},
      refused: () => {},
      untilRoom: async () => false,
      ended: () => { this.raise('chooser.ended throws') }
    }
  }

  private guard (): CallGuard {
    return {
      opened: () => {},
      closed: () => {},
      refusal: () => {
        this.raise('guard.refusal throws')
        return this.isDue('guard.refusal') ? unsent : undefined
      },
      suspicion: () => undefined,
      handleBroken: async call => {
        this.raise('guard.handleBroken throws')
        if (this.isDue('guard aborts')) call.abort(unsent)
        return false
      },
      left: () => {},
      targetAbsent: () => {},
      answered: () => {}
    }
  }
}

function pipelineOf (parts: FaultyParts, streamed: boolean, metrics = new MetricsRecorder()): GatewayPipeline {
  const route = { name: 'p', host: 'h', prefix: '/p/', services: [{ service: 's', weight: 1 }], repeat: streamed ? 'resume' : 'always', streamed, timeoutMs: 5_000, objectiveMs: 100, attempts: 4, priority: 0, isOpen: true, hasAffinity: false }
  const config = new GatewayConfigHolder(silentLog)
  config.apply(gatewayConfigSchema.parse({ version: 1, routes: [route], services: { s: { tokensPerEvent: 3 } }, teams: { team: { keyHashes: [], prepaidTokens: 1 } } }))
  const prepared = config.current()
  const report = new CallReport(silentLog, metrics)
  const clock = { now: () => ({ mono: performance.now(), wall: 0 }) }
  return new GatewayPipeline({
    clock,
    drainLimit: new DrainLimit(),
    random: { next: () => 0, id: () => 'id' },
    // Every key belongs to the one team.
    config: { current: () => prepared === undefined ? undefined : { ...prepared, keys: { ownerOf: () => 'team' } as never } },
    work: new OpenWork(),
    dispatch: new CallDispatch({ clock, metrics, report, ...parts.deps() }),
    log: silentLog,
    report
  })
}

describe('CallDispatch', () => {
  for (const { steps: sequence, fault, streamed = false, status } of cases) {
    it(`answers ${status} after ${sequence.join(', ')}${fault === undefined ? '' : ` if ${fault}`}`, async () => {
      const sink = new StatusSink()
      await pipelineOf(new FaultyParts(sequence, fault), streamed).serve(receivedCall(), sink)
      expect(sink.statuses).to.deep.equal([status])
    })
  }

  for (const { steps: sequence, fault, unproven } of unprovenCases) {
    it(`counts ${unproven} unproven claims after ${sequence.join(', ')}${fault === undefined ? '' : ` if ${fault}`}`, async () => {
      const metrics = new MetricsRecorder()
      await pipelineOf(new FaultyParts(sequence, fault), false, metrics).serve(receivedCall(), new StatusSink())
      expect(metrics.render().includes('claims_unproven')).to.equal(unproven > 0)
    })
  }
})
