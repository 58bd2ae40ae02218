/** Writes the log lines and metrics of calls in progress. */
import { Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { refusalProof, type AttemptRecord, type ExecutionProof } from '@rosemaryspread/decisions/gateway/executionProof.js'
import type { TargetChoice } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import type { AttemptOutcome } from './callAttempt.js'
import type { OpenCall } from './openCall.js'

/** A call whose failure is reported. */
export interface FailedCall {
  readonly requestId: string
  /** Absent where it is not known. */
  readonly team?: string
}

/** Whether a report says that its target is leaving or paused, or is malformed. */
export function isStateReport ({ isLeaving, pauseMs, flaw }: TargetReport): boolean {
  return isLeaving || pauseMs !== undefined || flaw !== undefined
}

export class CallReport {
  constructor (private readonly log: EventLog, private readonly metrics: Metrics) {}

  /** Reports that a target was chosen. */
  routed ({ admitted }: OpenCall, { target, candidates, paused, reason, work }: TargetChoice): void {
    const { call, service, team, sharedTokens } = admitted
    this.log.write('routed', { request: call.requestId, team, service, promptTokens: call.promptTokens, sharedTokens, candidates, paused, choice: target.id, version: target.version, reason, work })
  }

  /** Reports that a target was chosen to continue a stream, of this call or of an earlier one. */
  resumed ({ admitted: { call }, sink, relay, streamVersion: began, versionSource: source }: OpenCall, { target }: TargetChoice): void {
    const after = sink.isStarted ? relay.lastId : call.resumption?.after
    if (after === undefined) return
    const stream = call.resumption === undefined ? call.requestId : call.resumption.requestId
    this.log.write('streamResumed', { request: call.requestId, stream, after, began, source, runner: target.id, version: target.version })
  }

  /** Reports the state that a target sent with its answer. */
  targetReported ({ admitted }: OpenCall, { target }: TargetChoice, report: TargetReport): void {
    const { isLeaving, pauseMs, flaw } = report
    if (!isStateReport(report)) return
    if (isLeaving) this.metrics.count('target_answers_leaving')
    if (pauseMs !== undefined) this.metrics.count('target_answers_pause')
    if (flaw !== undefined) this.metrics.count('target_answers_flawed')
    this.log.write('targetReported', { request: admitted.call.requestId, runner: target.id, startedAt: target.startedAt, isLeaving, pauseMs, flaw })
  }

  /**
   * Reports that the complete answer was sent.
   * @param target - id of the target
   */
  answered (open: OpenCall, target: string): Either<Failure, void> {
    const totalMs = Math.round(open.ageMs)
    this.metrics.count('answers')
    this.metrics.record('total_ms', totalMs)
    const { call, route, team } = open.admitted
    this.log.write('requestAnswered', { request: call.requestId, runner: target, route: route.name, team, events: open.relay.events, billed: open.billedTokens, reserveMs: Math.round(open.reserveMs), firstMs: Math.round(open.firstMs ?? totalMs), totalMs })
    return Right(undefined)
  }

  /**
   * Reports an attempt that did not complete the answer.
   * @param target - id of the target
   * @param retried - whether another target is tried
   */
  attemptFailed (open: OpenCall, target: string, outcome: AttemptOutcome, retried: boolean): void {
    if (outcome.kind === 'answered') return
    const request = open.admitted.call.requestId
    const detail = outcome.kind === 'failedAnswer' ? `status ${outcome.head.status}` : outcome.failure.message
    this.metrics.count('attempts_failed')
    this.log.write('attemptFailed', { request, ...open.latestEnd, runner: target, retried, detail })
  }

  /**
   * Reports a failure that is returned to the caller.
   * @param open - absent if the call was not dispatched
   */
  failed (call: FailedCall, failure: Failure, open?: OpenCall): void {
    const { code, ran, retryAfterMs, message: detail } = failure
    const attempts = open?.attemptRecords ?? []
    this.metrics.count(`refusals_${code}`)
    const proof = ran === 'no' ? this.proofOf(call, failure, attempts) : undefined
    const ageMs = open === undefined ? undefined : Math.round(open.ageMs)
    this.log.write(ran === 'no' ? 'requestRefused' : 'requestFailed', { request: call.requestId, code, ran, proof, attempts, ageMs, team: call.team, retryAfterMs, detail })
  }

  /** Reports a failure that says that a call was not executed although an attempt may have been. */
  claimUnproven ({ requestId }: FailedCall, { code, message }: Failure, attempts: readonly AttemptRecord[]): void {
    this.metrics.count('claims_unproven')
    this.log.write('claimUnproven', { request: requestId, code, attempts, detail: message })
  }

  /** What shows that a refused call was not executed. An attempt that may have been executed contradicts the refusal, which is reported. */
  private proofOf (call: FailedCall, failure: Failure, attempts: readonly AttemptRecord[]): ExecutionProof | 'none' {
    const proof = refusalProof(attempts)
    if (attempts.length > 0) this.metrics.count('refusals_after_attempts')
    if (proof === undefined) {
      this.claimUnproven(call, failure, attempts)
      return 'none'
    }
    this.metrics.count(`refusals_proven_${proof}`)
    return proof
  }
}
