/**
 * Guards against refusals whose log line does not show why nothing was executed, and against wrong ones that go unnoticed.
 */
import { expect } from 'chai'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { attemptRecordSchema } from '@rosemaryspread/decisions/gateway/executionProof.js'
import { MetricsRecorder } from '../metrics/metricsRecorder.js'
import type { AttemptOutcome } from './callAttempt.js'
import { AnswerBuffers } from './answerBuffers.js'
import { CallReport } from './callReport.js'
import type { AdmittedCall, CallSink } from './callTypes.js'
import { OpenCall } from './openCall.js'

const ATTEMPT_MS = 20
const WAIT_MS = 5

const sink: CallSink = { isStarted: false, whole: () => {}, head: () => {}, chunk: () => undefined, end: () => {}, cut: () => {}, refuse: () => {} }
const admitted: AdmittedCall = {
  call: { requestId: 'r', method: 'POST', path: '/p', headers: [], body: Buffer.alloc(0), promptTokens: 0, maxTokens: 0, receivedAt: { mono: 0, wall: 0 }, gone: new AbortController().signal },
  route: { name: 'p', repeat: 'never', streamed: false, objectiveMs: 100, attempts: 2, retriesFailures: false },
  service: 's',
  team: 'team',
  isPrepaid: false,
  priority: 0,
  tokensPerEvent: 1,
  promptParts: [],
  sharedParts: [],
  sharedTokens: 0,
  deadline: 1_000
}

type Fields = Readonly<Record<string, unknown>>

/** Log and metrics of one call, in virtual time. */
class ReportedCall {
  readonly lines: Array<readonly [event: string, fields: Fields]> = []
  readonly metrics = new MetricsRecorder()
  readonly report = new CallReport({ write: (event, fields) => { this.lines.push([event, fields]) } }, this.metrics)
  readonly open: OpenCall
  private mono = 0

  constructor () {
    this.open = new OpenCall(admitted, sink, { now: () => ({ mono: this.mono, wall: 0 }) })
    this.open.close()
  }

  /** @param outcome - undefined for an attempt that has no end */
  attempt (runner: string, outcome: AttemptOutcome | undefined): void {
    this.mono += WAIT_MS
    Object.assign(this.open, { lastTarget: runner, sentAt: this.mono })
    this.open.stopSignal()
    this.mono += ATTEMPT_MS
    if (outcome === undefined) return
    this.open.recordAttempt(runner, outcome)
    this.report.attemptFailed(this.open, runner, outcome, true)
  }

  fieldsOf (event: string): Fields | undefined {
    return this.lines.find(([name]) => name === event)?.[1]
  }

  counts (): string[] {
    return this.metrics.render().split('\n').filter(line => /refusals_proven|refusals_after|claims/.test(line)).map(line => line.replace(/rosemaryspread_(.*)_total/, '$1'))
  }
}

const notConnected: AttemptOutcome = { kind: 'notRun', failure: new Failure('runnerUnreachable', 'no connection', { ran: 'no' }) }
const rejected: AttemptOutcome = { kind: 'notRun', failure: new Failure('runnerRefused', 'full', { ran: 'no' }) }
const replaced: AttemptOutcome = { kind: 'notRun', failure: new Failure('targetReplaced', 'another process', { ran: 'no' }) }
const notRelayed: AttemptOutcome = { kind: 'notRun', failure: new Failure('targetsUnreachable', 'no path', { ran: 'no' }) }
const lost: AttemptOutcome = { kind: 'broken', failure: new Failure('runnerUnreachable', 'reset', { ran: 'unknown' }) }
const unexplained: AttemptOutcome = { kind: 'notRun', failure: new Failure('overloaded', 'full', { ran: 'no' }) }
const brokenAsNotRun: AttemptOutcome = { kind: 'broken', failure: new Failure('runnerRefused', 'full', { ran: 'no' }) }
const serverError: AttemptOutcome = { kind: 'failedAnswer', head: { status: 500, headers: [] }, buffer: new AnswerBuffers().open() }

interface RefusalCase {
  readonly name: string
  readonly attempts: ReadonlyArray<AttemptOutcome | undefined>
  readonly proof: string
  readonly counts: readonly string[]
}

const proven: readonly RefusalCase[] = [
  { name: 'without an attempt', attempts: [], proof: 'notSent', counts: ['refusals_proven_notSent 1'] },
  { name: 'without a connection', attempts: [notConnected], proof: 'notConnected', counts: ['refusals_after_attempts 1', 'refusals_proven_notConnected 1'] },
  { name: 'rejected by the target', attempts: [rejected], proof: 'rejected', counts: ['refusals_after_attempts 1', 'refusals_proven_rejected 1'] },
  { name: 'rejected by another process', attempts: [replaced], proof: 'replaced', counts: ['refusals_after_attempts 1', 'refusals_proven_replaced 1'] },
  { name: 'that no VM sent', attempts: [notRelayed], proof: 'notRelayed', counts: ['refusals_after_attempts 1', 'refusals_proven_notRelayed 1'] },
  { name: 'after several proven attempts', attempts: [notConnected, notConnected, rejected], proof: 'rejected', counts: ['refusals_after_attempts 1', 'refusals_proven_rejected 1'] }
]

const unprovenAttempts: ReadonlyArray<{ readonly name: string, readonly attempts: ReadonlyArray<AttemptOutcome | undefined> }> = [
  { name: 'a lost attempt', attempts: [lost] },
  { name: 'a lost attempt before a rejected one', attempts: [lost, rejected] },
  { name: 'a failure without a known proof', attempts: [unexplained] },
  { name: 'a break in the answer that counts as not run', attempts: [brokenAsNotRun] },
  { name: 'a server error', attempts: [serverError] },
  { name: 'an attempt without an end', attempts: [undefined] }
]
const unproven: readonly RefusalCase[] = unprovenAttempts.map(test => ({ ...test, proof: 'none', counts: ['claims_unproven 1', 'refusals_after_attempts 1'] }))

function reportedCall (attempts: ReadonlyArray<AttemptOutcome | undefined>): ReportedCall {
  const call = new ReportedCall()
  attempts.forEach((outcome, index) => { call.attempt(`t${index}`, outcome) })
  return call
}

describe('CallReport', () => {
  for (const { name, attempts, proof, counts } of [...proven, ...unproven.map(test => ({ ...test, name: `after ${test.name}` }))]) {
    it(`says of a refusal ${name} that its proof is ${proof}`, () => {
      const call = reportedCall(attempts)
      call.report.failed(admitted.call, new Failure('noRunner', 'none is left', { ran: 'no' }), call.open)
      const line = call.fieldsOf('requestRefused')
      expect([line?.['proof'], call.counts().sort()]).to.deep.equal([proof, counts])
      expect(call.fieldsOf('claimUnproven') !== undefined).to.equal(proof === 'none')
      expect(attemptRecordSchema.array().parse(line?.['attempts'])).to.have.length(attempts.length)
    })
  }

  it('writes what decides before all else, then the attempts in their order', () => {
    const call = reportedCall([notConnected, rejected])
    call.report.failed(admitted.call, new Failure('noRunner', 'none is left', { ran: 'no', retryAfterMs: 250 }), call.open)
    expect(JSON.stringify(call.fieldsOf('requestRefused'))).to.equal('{"request":"r","code":"noRunner","ran":"no","proof":"rejected",' +
      '"attempts":[{"runner":"t0","code":"runnerUnreachable","ran":"no","proof":"notConnected","ms":20,"sentMs":5},{"runner":"t1","code":"runnerRefused","ran":"no","proof":"rejected","ms":20,"sentMs":30}],' +
      '"ageMs":50,"retryAfterMs":250,"detail":"none is left"}')
    expect(JSON.stringify(call.fieldsOf('attemptFailed'))).to.equal('{"request":"r","code":"runnerUnreachable","ran":"no","proof":"notConnected","ms":20,"runner":"t0","retried":true,"detail":"no connection"}')
  })

  it('writes a failure with its attempts and without a proof', () => {
    const call = reportedCall([lost, rejected])
    call.report.failed(admitted.call, new Failure('runnerUnreachable', 'reset', { ran: 'unknown' }), call.open)
    expect(JSON.stringify(call.fieldsOf('requestFailed'))).to.equal('{"request":"r","code":"runnerUnreachable","ran":"unknown",' +
      '"attempts":[{"runner":"t0","code":"runnerUnreachable","ran":"unknown","ms":20,"sentMs":5},{"runner":"t1","code":"runnerRefused","ran":"no","proof":"rejected","ms":20,"sentMs":30}],' +
      '"ageMs":50,"detail":"reset"}')
    expect(call.counts()).to.deep.equal([])
  })

  it('says of a call that was not dispatched that it was not sent', () => {
    const call = new ReportedCall()
    call.report.failed(admitted.call, new Failure('configNotLoaded', 'no configuration', { ran: 'no' }))
    expect(JSON.stringify(call.fieldsOf('requestRefused'))).to.equal('{"request":"r","code":"configNotLoaded","ran":"no","proof":"notSent","attempts":[],"detail":"no configuration"}')
  })
})
