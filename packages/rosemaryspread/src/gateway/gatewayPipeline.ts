/**
 * The way of a call through the gateway: admit, reserve, choose a target, dispatch, relay, settle.
 * The payload is opaque. Decisions come from the pure deciders; this module carries them out in
 * the right order and sees to it that each call gets exactly one end.
 */
import { Left, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TargetBalancer, TargetChoice } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import type { BudgetPort } from '../budget/budgetPort.js'
import type { DrainState, RandomSource } from '../completion/completionPorts.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import { admitCall, type AdmittedCall, type PreparedConfig } from './gatewayAdmission.js'
import { runAttempt, type AttemptEnd } from './gatewayAttempt.js'
import type { GatewayReport } from './gatewayReport.js'
import type { GatewayRetries } from './gatewayRetries.js'
import { OpenCall } from './gatewayOpenCall.js'
import type { GatewayCall, GatewaySink, TargetClient, TargetDirectory, TargetRequest } from './gatewayTypes.js'

/** Milliseconds to come back after when no configuration is in force. */
const NO_CONFIG_RETRY_MS = 500
/** Milliseconds to come back after when another VM may have tokens: about a round trip, since callers come back to another address. */
const OTHER_VM_RETRY_MS = 20
/** Part of the objective that a call may wait for tokens. */
const RESERVE_PART = 0.5
/** Targets that could not be reached at all that one call passes over. */
const MAX_UNREACHED = 3

/** What the pipeline is composed of. */
export interface PipelineDeps {
  readonly clock: Clock
  readonly random: RandomSource
  readonly config: { current (): PreparedConfig | undefined }
  readonly work: DrainState
  readonly budgets: BudgetPort
  readonly targets: TargetDirectory
  readonly balancer: TargetBalancer
  readonly retries: GatewayRetries
  readonly client: TargetClient
  readonly log: EventLog
  readonly metrics: Metrics
  readonly report: GatewayReport
}

/** Serves the calls of one VM. */
export class GatewayPipeline {
  constructor (private readonly deps: PipelineDeps) {}

  /**
   * Serves a call; its sink gets exactly one end, whatever happens.
   * @param call - the call
   * @param sink - where the answer goes
   */
  async serve (call: GatewayCall, sink: GatewaySink): Promise<void> {
    const close = this.deps.work.open()
    try {
      const served = await this.admit(call).caseOf<Promise<Either<Failure, void>>>({
        Left: async failure => Left(failure),
        Right: async admitted => await this.serveAdmitted(admitted, sink)
      })
      served.ifLeft(failure => { this.fail(call, sink, failure) })
    } catch (err) {
      this.deps.log.write('fault', { request: call.requestId, err: toFailure(err).message })
      this.fail(call, sink, toFailure(err))
    } finally {
      close()
    }
  }

  private admit (call: GatewayCall): Either<Failure, AdmittedCall> {
    const prepared = this.deps.config.current()
    if (prepared === undefined) {
      return Left(new Failure('configNotLoaded', 'no configuration is in force yet', { retryAfterMs: NO_CONFIG_RETRY_MS }))
    }
    return admitCall(call, prepared, this.deps.random.next())
  }

  private async serveAdmitted (admitted: AdmittedCall, sink: GatewaySink): Promise<Either<Failure, void>> {
    const open = new OpenCall(admitted, sink, this.deps.clock)
    try {
      const reserved = await this.reserve(open)
      if (reserved.isLeft()) return reserved
      this.deps.retries.requested(admitted.service, this.deps.clock.now())
      return await this.tryTargets(open)
    } finally {
      this.settle(open)
      open.close()
    }
  }

  private async reserve (open: OpenCall): Promise<Either<Failure, void>> {
    const { call, team, route, isPrepaid } = open.admitted
    if (!isPrepaid || team === undefined) return open.unpaid()
    const before = this.deps.clock.now().mono
    const waitMs = Math.max(0, Math.min(route.objectiveMs * RESERVE_PART, open.leftMs))
    const reserved = await this.deps.budgets.reserve(team, call.promptTokens + call.maxTokens, waitMs)
    this.deps.metrics.record('reserve_wait_ms', this.deps.clock.now().mono - before)
    return reserved.mapLeft(elsewhere).map(reservation => open.pay(reservation))
  }

  /** Tries targets in turn until the answer is whole or nothing may be tried any more. */
  private async tryTargets (open: OpenCall): Promise<Either<Failure, void>> {
    for (;;) {
      if (open.stopped !== undefined) return Left(open.stopped)
      const chosen = this.choose(open)
      if (chosen.isLeft()) return this.lastEnd(open, chosen.extract())
      const confirmed = this.confirm(open)
      if (confirmed.isLeft()) return confirmed
      const end = await this.attempt(open, chosen.unsafeCoerce())
      if (end.kind === 'answered') return this.deps.report.answered(open, chosen.unsafeCoerce().target.id)
      open.tried(chosen.unsafeCoerce().target.id, end)
      const isRetried = this.mayRetry(open, end)
      this.deps.report.attemptFailed(open, chosen.unsafeCoerce().target.id, end, isRetried)
      if (!isRetried) return this.lastEnd(open, open.lastFailure)
    }
  }

  private choose (open: OpenCall): Either<Failure, TargetChoice> {
    const { service, sharedParts, sharedTokens, call } = open.admitted
    const targets = this.deps.targets.serving(service)
    const demand = { sharedParts, sharedTokens, ownTokens: Math.max(0, call.promptTokens - sharedTokens), exclude: open.excluded }
    return this.deps.balancer.choose(targets, demand, this.deps.clock.now().mono, this.deps.random.next())
      .ifRight(choice => { this.deps.report.routed(open, choice) })
  }

  private confirm (open: OpenCall): Either<Failure, void> {
    return open.reservation === undefined ? open.unpaid() : this.deps.budgets.confirm(open.reservation)
  }

  private async attempt (open: OpenCall, choice: TargetChoice): Promise<AttemptEnd> {
    const { balancer, client, clock } = this.deps
    const { sink, relay, admitted: { route: { streamed }, sharedParts } } = open
    let isBegun = false
    const begun = (): void => {
      if (!isBegun) balancer.begun(choice, clock.now().mono)
      isBegun = true
    }
    const onFirst = (): void => {
      begun()
      this.first(open)
    }
    balancer.sent(choice, sharedParts, clock.now().mono)
    const end = await runAttempt({ client, sink, relay, streamed, onFirst }, this.requestFor(open, choice), open.stopSignal())
    begun()
    balancer.ended(choice.target.id, verdictOf(end, open), clock.now().mono)
    return end
  }

  private requestFor (open: OpenCall, { target }: Pick<TargetChoice, 'target'>): TargetRequest {
    const { call, team, route, priority } = open.admitted
    const { requestId, method, path, headers, body } = call
    return {
      target,
      requestId,
      method,
      path,
      headers,
      body,
      timeoutMs: Math.max(1, Math.floor(open.leftMs)),
      team,
      priority,
      resumeAfter: open.sink.begun ? open.relay.lastId : undefined,
      runsOnce: route.repeat === 'never'
    }
  }

  private first (open: OpenCall): void {
    open.firstMs ??= open.ageMs
    this.deps.metrics.record('first_token_ms', open.firstMs)
  }

  private mayRetry (open: OpenCall, end: AttemptEnd): boolean {
    if (end.kind === 'answered' || open.stopped !== undefined) return false
    if (open.wasUnreached(end)) return open.unreached <= MAX_UNREACHED
    const { route, service } = open.admitted
    if (open.attempts >= route.attempts) return false
    if (end.kind !== 'notRun' && !this.isRepeatable(open)) return false
    return this.deps.retries.take(service, this.deps.clock.now())
  }

  private isRepeatable ({ admitted: { route: { repeat } }, sink, relay }: OpenCall): boolean {
    if (repeat === 'resume') return !sink.begun || relay.lastId !== undefined
    return repeat === 'always' && !sink.begun
  }

  /** A failure that the target answered is passed on as it is; anything else becomes an own answer. */
  private lastEnd (open: OpenCall, failure: Failure | undefined): Either<Failure, void> {
    const { failedAnswer, sink } = open
    if (failedAnswer !== undefined && !sink.begun && open.stopped === undefined) {
      sink.whole(failedAnswer.head, failedAnswer.body)
      return this.deps.report.answered(open, 'failed')
    }
    return Left(open.stopped ?? open.lastFailure ?? failure ?? new Failure('internal', 'no attempt was made'))
  }

  private settle (open: OpenCall): void {
    const { reservation, admitted } = open
    if (reservation === undefined) return
    if (!open.mayHaveRun) {
      this.deps.budgets.settle(reservation)
      return
    }
    const { call, team, tokensPerEvent } = admitted
    const answerTokens = Math.min(call.maxTokens, open.relay.events * tokensPerEvent)
    this.deps.budgets.settle(reservation, {
      requestId: call.requestId,
      budget: reservation.budget,
      team: team ?? '',
      tokens: call.promptTokens + answerTokens,
      runner: open.lastTarget ?? ''
    })
  }

  private fail (call: GatewayCall, sink: GatewaySink, failure: Failure): void {
    this.deps.report.failed(call, failure)
    if (sink.begun) sink.cut()
    else sink.refuse(failure)
  }
}

/** Tokens that are not here may well be at another VM, so the caller is asked to try one at once. */
function elsewhere (failure: Failure): Failure {
  const { code, message, ran } = failure
  return code === 'budgetPending' || code === 'budgetElsewhere' ? new Failure(code, message, { ran, retryAfterMs: OTHER_VM_RETRY_MS }) : failure
}

/** What the end of an attempt says of the target. */
function verdictOf (end: AttemptEnd, open: OpenCall): 'good' | 'failed' | 'unreachable' | 'none' {
  if (end.kind === 'answered' || end.kind === 'failedAnswer') return 'good'
  if (open.stopped !== undefined) return 'none'
  if (end.kind === 'notRun') return end.failure.code === 'runnerUnreachable' ? 'unreachable' : 'none'
  return 'failed'
}
