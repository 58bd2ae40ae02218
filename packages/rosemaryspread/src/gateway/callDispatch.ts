/**
 * Dispatches an admitted call: reserves tokens, chooses a target, relays the answer, retries and settles.
 * The payload is opaque. Target choice, retry limits and budgets are injected; the gateway and the service
 * API both use it.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, failureOf, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { DrainLimit } from '@rosemaryspread/decisions/gateway/drainLimit.js'
import type { TargetChoice } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import { versionOf } from '@rosemaryspread/decisions/gateway/targetSet.js'
import type { TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import type { BudgetPort } from '../budget/budgetPort.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import { AnswerBuffers } from './answerBuffers.js'
import { isSuccess, runAttempt, type AttemptOutcome } from './callAttempt.js'
import type { CallReport } from './callReport.js'
import { OpenCall } from './openCall.js'
import type { AdmittedCall, CallGuard, CallRetries, CallSink, LoadAdmission, StreamOrigins, TargetChooser, TargetClient, TargetRequest, TargetVerdict } from './callTypes.js'

/** Share of the latency objective that a call may wait for tokens. */
const RESERVE_WAIT_RATIO = 0.5
/** Absent targets that one call may skip, even if its route allows fewer attempts. */
const MAX_ABSENT_TARGETS = 3

export interface DispatchDeps {
  readonly clock: Clock
  /** Absent where calls cost no tokens. */
  readonly budgets?: BudgetPort
  readonly chooser: TargetChooser
  readonly retries: CallRetries
  readonly client: TargetClient
  readonly metrics: Metrics
  readonly report: CallReport
  /** Absent where a stopping VM refuses all calls by itself. */
  readonly drainLimit?: Pick<DrainLimit, 'refusal' | 'latestSend'>
  /** Absent where no stream is resumed by its caller. */
  readonly streams?: StreamOrigins
  /** Absent where calls are sent whatever the load. */
  readonly admission?: LoadAdmission
  /** Absent where buffered answers are bounded one by one only. */
  readonly buffers?: AnswerBuffers
  /** Absent where requests are not quarantined. */
  readonly guard?: CallGuard
}

/** Dispatches the admitted calls of one VM. */
export class CallDispatch {
  private readonly buffers: AnswerBuffers

  constructor (private readonly deps: DispatchDeps) {
    this.buffers = deps.buffers ?? new AnswerBuffers()
  }

  /**
   * Serves a call. On success the sink has been ended; on failure the caller of this method reports the failure to the sink. Whether the failure,
   * returned or thrown, promises that the request has not run follows from the attempts alone.
   * @param onOpened - called with the state of the call, for reports of its failure
   */
  async serve (admitted: AdmittedCall, sink: CallSink, onOpened: (open: OpenCall) => void = () => {}): Promise<Either<Failure, void>> {
    const open = new OpenCall(admitted, sink, this.deps.clock)
    onOpened(open)
    try {
      return (await this.serveOpen(open)).mapLeft(failure => this.reportable(open, failure))
    } catch (err) {
      throw this.reportable(open, toFailure(err))
    }
  }

  /** The failure as the caller may see it. */
  private reportable (open: OpenCall, failure: Failure): Failure {
    const reported = open.reported(failure)
    if (reported !== failure) this.deps.report.claimUnproven(open.admitted.call, failure, open.attemptRecords)
    return reported
  }

  private async serveOpen (open: OpenCall): Promise<Either<Failure, void>> {
    this.deps.guard?.opened(open)
    try {
      const refusal = this.deps.guard?.refusal(open)
      if (refusal !== undefined) return Left(refusal)
      const resumed = await this.resume(open)
      if (resumed.isLeft()) return resumed
      const placed = await this.place(open)
      if (placed.isLeft()) return placed
      const reserved = await this.reserve(open)
      if (reserved.isLeft()) return reserved
      this.deps.retries.recordFirstAttempt(open.admitted.service, this.deps.clock.now())
      return await this.tryTargets(open)
    } finally {
      this.settle(open)
      open.place?.ended()
      this.deps.guard?.closed(open)
      open.close()
    }
  }

  /** Determines the software version of the stream that a call resumes, if it does. */
  private async resume (open: OpenCall): Promise<Either<Failure, void>> {
    const { streams } = this.deps
    const { admitted } = open
    if (streams === undefined || admitted.call.resumption === undefined || admitted.route.repeat !== 'resume') return Right(undefined)
    return (await streams.versionOf(admitted)).map(stream => open.setStream(stream))
  }

  /** Waits for its turn while the load is high. */
  private async place (open: OpenCall): Promise<Either<Failure, void>> {
    const { admission } = this.deps
    if (admission === undefined) return Right(undefined)
    return (await admission.admit(open.admitted)).map(place => open.setPlace(place))
  }

  private async reserve (open: OpenCall): Promise<Either<Failure, void>> {
    const { call, team, route, isPrepaid, priority } = open.admitted
    const { budgets } = this.deps
    if (!isPrepaid || team === undefined || budgets === undefined) return Right(undefined)
    const startedAtMono = this.deps.clock.now().mono
    const waitMs = Math.max(0, Math.min(route.objectiveMs * RESERVE_WAIT_RATIO, open.leftMs, this.sendableMs(open)))
    const reserved = await budgets.reserve(team, call.promptTokens + call.maxTokens, waitMs, priority)
    open.reserveMs = this.deps.clock.now().mono - startedAtMono
    this.deps.metrics.record('reserve_wait_ms', open.reserveMs)
    return reserved.map(reservation => open.setReservation(reservation))
  }

  /** Tries targets in turn until an answer is complete or no further attempt is allowed. */
  private async tryTargets (open: OpenCall): Promise<Either<Failure, void>> {
    for (;;) {
      open.checkDeadline()
      open.stopped ??= this.guardRefusal(open)
      if (open.stopped !== undefined) return Left(open.stopped)
      const chosen = await this.choose(open)
      if (open.stopped !== undefined) return Left(open.stopped)
      if (chosen.isLeft()) return this.concludeFailed(open, chosen.extract())
      const confirmed = this.drainRefusal(open).chain(() => this.confirm(open))
      if (confirmed.isLeft()) return this.concludeFailed(open, confirmed.extract())
      const outcome = await this.attempt(open, chosen.unsafeCoerce())
      if (outcome.kind === 'answered') return this.answered(open, chosen.unsafeCoerce(), outcome)
      open.recordAttempt(chosen.unsafeCoerce().target.id, outcome)
      const isRetried = this.mayRetry(open, outcome)
      this.deps.report.attemptFailed(open, chosen.unsafeCoerce().target.id, outcome, isRetried)
      if (!isRetried) return this.concludeFailed(open, open.lastFailure)
    }
  }

  /** A refusal does not show that the request is safe for the target, so only a success is reported to the guard. */
  private answered (open: OpenCall, choice: TargetChoice, { status, isDelimited }: Extract<AttemptOutcome, { kind: 'answered' }>): Either<Failure, void> {
    if (isSuccess(status)) this.deps.guard?.answered(open, choice, { isDelimited, sentAt: open.sentAt })
    return this.deps.report.answered(open, choice.target.id)
  }

  private guardRefusal (open: OpenCall): Failure | undefined {
    const refusal = this.deps.guard?.refusal(open)
    return refusal === undefined ? undefined : open.reported(refusal)
  }

  /** Waits for a place if all are taken. */
  private async choose (open: OpenCall): Promise<Either<Failure, TargetChoice>> {
    const { chooser, guard, report } = this.deps
    for (;;) {
      const chosen = chooser.choose(open.admitted, open.excluded, guard?.suspicion(open), open.streamVersion).ifRight(choice => { report.routed(open, choice) })
      if (failureOf(chosen)?.code !== 'targetsFull' || open.stopped !== undefined || !await chooser.untilRoom(open.admitted, this.sendableMs(open))) return chosen
    }
  }

  /** Each attempt counts as a new request to the drain. A stream that has begun goes on: it would be cut now instead of later. */
  private drainRefusal ({ sink, admitted: { deadline } }: OpenCall): Either<Failure, void> {
    const refusal = sink.isStarted ? undefined : this.deps.drainLimit?.refusal(this.deps.clock.now().mono, deadline)
    return refusal === undefined ? Right(undefined) : Left(refusal)
  }

  /** Milliseconds for which a call may still be sent while this VM drains. */
  private sendableMs ({ admitted: { deadline } }: OpenCall): number {
    return (this.deps.drainLimit?.latestSend(deadline) ?? Infinity) - this.deps.clock.now().mono
  }

  private confirm (open: OpenCall): Either<Failure, void> {
    const { budgets } = this.deps
    return open.reservation === undefined || budgets === undefined ? Right(undefined) : budgets.confirm(open.reservation)
  }

  private async attempt (open: OpenCall, choice: TargetChoice): Promise<AttemptOutcome> {
    const { chooser, client } = this.deps
    const { sink, relay, admitted: { route: { streamed, retriesFailures: mayRetryFailures } } } = open
    open.lastTarget = choice.target.id
    open.sentAt = this.deps.clock.now().mono
    this.deps.report.resumed(open, choice)
    const ticket = chooser.sent(choice, open.admitted)
    open.place?.sent()
    const onFirstOutput = (): void => {
      chooser.endPrefill(choice, ticket, true)
      this.recordFirstOutput(open, choice)
    }
    const onReport = (report: TargetReport): void => {
      this.deps.report.targetReported(open, choice, report)
      chooser.recordReport(choice, report)
    }
    const outcome = await runAttempt({ client, sink, relay, buffers: this.buffers, streamed, retriesFailures: mayRetryFailures, onFirstOutput, onReport }, this.requestFor(open, choice), open.stopSignal())
    chooser.endPrefill(choice, ticket, false)
    const isTerminated = await this.isTargetTerminated(open, choice, outcome)
    if (outcome.kind === 'notRun' && outcome.failure.code === 'runnerRefused') chooser.refused(choice)
    chooser.ended(choice, isTerminated ? 'terminated' : verdictOf(outcome, open))
    return outcome
  }

  /** Checked before the next attempt, so that the suspicion that it may add counts in the next choice. */
  private async isTargetTerminated (open: OpenCall, choice: TargetChoice, outcome: AttemptOutcome): Promise<boolean> {
    const { guard } = this.deps
    if (open.wasAbsent(outcome)) guard?.targetAbsent(choice)
    if (guard === undefined || outcome.kind !== 'broken' || outcome.failure.code === 'answerMixed') return false
    if (open.stopped === undefined) return await guard.handleBroken(open, choice)
    guard.left(open, choice)
    return false
  }

  private requestFor (open: OpenCall, { target }: TargetChoice): TargetRequest {
    const { call, team, priority } = open.admitted
    const { requestId, method, path, headers, body } = call
    return {
      service: open.admitted.service,
      target,
      requestId,
      method,
      path,
      headers,
      body,
      timeoutMs: Math.max(1, Math.floor(open.leftMs)),
      team,
      priority,
      resumeAfter: open.sink.isStarted ? open.relay.lastId : undefined,
      isRepeatable: open.admitted.route.repeat !== 'never'
    }
  }

  private recordFirstOutput (open: OpenCall, { target }: TargetChoice): void {
    open.firstMs ??= open.ageMs
    open.place?.firstOutput()
    open.streamVersion ??= versionOf(target)
    const { admitted } = open
    if (admitted.route.streamed) this.deps.metrics.record('first_token_ms', open.firstMs)
    if (admitted.route.repeat === 'resume') this.deps.streams?.began(admitted, open.streamVersion)
  }

  private mayRetry (open: OpenCall, outcome: AttemptOutcome): boolean {
    if (outcome.kind === 'answered' || open.stopped !== undefined) return false
    const { route, service } = open.admitted
    if (outcome.kind === 'notRun' && outcome.failure.code === 'targetsUnreachable') return false
    if (open.wasAbsent(outcome)) return open.absentTargets <= Math.max(MAX_ABSENT_TARGETS, route.attempts) && this.mayRetryAbsent(outcome, service)
    if (open.attempts >= route.attempts) return false
    if (outcome.kind !== 'notRun' && !this.isRepeatable(open)) return false
    return this.deps.retries.tryAcquire(service, this.deps.clock.now())
  }

  /** A request that reached a replaced process counts as a retry; one that reached no process does not. */
  private mayRetryAbsent (outcome: AttemptOutcome, service: string): boolean {
    const isArrived = outcome.kind === 'notRun' && outcome.failure.code === 'targetReplaced'
    return !isArrived || this.deps.retries.tryAcquire(service, this.deps.clock.now())
  }

  private isRepeatable ({ admitted: { route: { repeat } }, sink, relay }: OpenCall): boolean {
    if (repeat === 'resume') return !sink.isStarted || relay.lastId !== undefined
    return repeat === 'always' && !sink.isStarted
  }

  /** Relays a server error of the target unchanged; any other failure becomes an answer of the gateway. */
  private concludeFailed (open: OpenCall, failure: Failure | undefined): Either<Failure, void> {
    const { failedAnswer, sink } = open
    if (failedAnswer !== undefined && !sink.isStarted && open.stopped === undefined) {
      failedAnswer.buffer.sendTo(sink, failedAnswer.head)
      return this.deps.report.answered(open, 'failed')
    }
    return Left(open.stopped ?? this.serviceRefusal(open) ?? open.lastFailure ?? failure ?? new Failure('internal', 'the call ended without an attempt or a failure', { ran: 'no' }))
  }

  /** For a call that did not run: why no other target accepts it, which determines its Retry-After. */
  private serviceRefusal (open: OpenCall): Failure | undefined {
    return open.lastFailure?.ran === 'no' ? this.deps.chooser.refusal(open.admitted) : undefined
  }

  private settle (open: OpenCall): void {
    const { reservation, admitted } = open
    const { budgets } = this.deps
    if (reservation === undefined || budgets === undefined) return
    const tokens = open.billedTokens
    if (tokens === 0) {
      budgets.settle(reservation)
      return
    }
    const { call: { requestId }, team } = admitted
    this.deps.metrics.count('tokens_billed', tokens)
    budgets.settle(reservation, { requestId, budget: reservation.budget, team: team ?? '', tokens, runner: open.lastTarget ?? '' })
  }
}

/** What the outcome of an attempt says about the target. */
function verdictOf (outcome: AttemptOutcome, open: OpenCall): TargetVerdict {
  if (outcome.kind === 'answered' || outcome.kind === 'failedAnswer') return 'good'
  if (open.stopped !== undefined || outcome.failure.code === 'targetsUnreachable') return 'none'
  if (outcome.kind === 'notRun') return open.wasAbsent(outcome) ? 'unreachable' : 'none'
  return 'failed'
}
