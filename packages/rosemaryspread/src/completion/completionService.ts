/**
 * Serves completions: admission, routing, reservation, the run and its settlement. Decisions are made
 * by pure modules; this one carries them out in order.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { Left, Right, type Either } from 'purify-ts'
import type { AnswerSink, CompletionCall, CompletionService } from '@rosemaryspread/callers/completion/completionTypes.js'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, mayHaveRun, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { VersionedConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import { defaultRetryPolicy } from '@rosemaryspread/decisions/routing/retryBudget.js'
import { admitCompletion, type AdmittedCompletion } from './completionAdmission.js'
import { LocalRuns } from './completionLocalRuns.js'
import type { CurrentConfig, RandomSource } from './completionPorts.js'
import { CompletionPlanner, keyReusedFailure, type PlannerDeps, type TriedRunners } from './completionPlanner.js'
import { AnswerRelay } from './completionRelay.js'
import { CompletionReport } from './completionReport.js'
import { CompletionRuns, generatedTokens, type OpenCompletion } from './completionRun.js'
import { CompletionSettlement, type EndedAttempt, type SettlementDeps } from './completionSettlement.js'
import type { RunnerAddress } from './completionUnsettled.js'

/** Retry delay for callers refused by a draining VM; they may use another address. */
const DRAINING_RETRY_MS = 200
/** Retry delay for callers while no configuration is active. */
const NO_CONFIG_RETRY_MS = 1_000
/** Runners tried per request. */
const MAX_ATTEMPTS = defaultRetryPolicy.attempts

export interface CompletionDeps extends PlannerDeps, SettlementDeps {
  readonly random: RandomSource
  readonly config: CurrentConfig
}

export class RoutedCompletionService implements CompletionService {
  private readonly localRuns = new LocalRuns()
  private readonly planner: CompletionPlanner
  private readonly settlement: CompletionSettlement
  private readonly report: CompletionReport
  private readonly runs: CompletionRuns

  constructor (private readonly deps: CompletionDeps) {
    this.planner = new CompletionPlanner(deps)
    this.settlement = new CompletionSettlement(deps)
    this.report = new CompletionReport(deps)
    this.runs = new CompletionRuns(deps, this.report)
  }

  async complete (call: CompletionCall, sink: AnswerSink): Promise<void> {
    const now = this.deps.clock.now()
    const admitted = this.activeConfig()
      .chain(config => admitCompletion(call, config.config, this.deps.random.id(), now))
    if (admitted.isLeft()) {
      sink.fail(this.report.refused(call.requestId ?? '-', call.caller.team, admitted.extract()))
      return
    }
    await this.serve(call, admitted.unsafeCoerce(), sink, now)
  }

  /** Serves an admitted request; its sink receives exactly one end, even after an exception. */
  private async serve (call: CompletionCall, admitted: AdmittedCompletion, sink: AnswerSink, now: Instant): Promise<void> {
    const close = this.deps.work.open()
    const relay = new AnswerRelay(sink, call.gone, admitted.requestId, admitted.model)
    try {
      const served = await this.runOrJoin({ call, admitted, relay, startedAt: now.mono })
      served.ifLeft(failure => { relay.fail(this.report.refused(admitted.requestId, admitted.team, failure)) })
    } catch (err) {
      this.deps.log.write('fault', { err: toFailure(err).message })
      relay.fail(mayHaveRun(toFailure(err)))
    } finally {
      close()
    }
  }

  private activeConfig (): Either<Failure, VersionedConfig> {
    if (this.deps.work.draining) {
      return Left(new Failure('draining', 'this VM is draining; use another address', { ran: 'no', retryAfterMs: DRAINING_RETRY_MS }))
    }
    return this.deps.config.current()
      .toEither(new Failure('configNotLoaded', 'no configuration is in force yet', { ran: 'no', retryAfterMs: NO_CONFIG_RETRY_MS }))
  }

  private async runOrJoin (completion: OpenCompletion): Promise<Either<Failure, void>> {
    const { requestId, keyed, digest } = completion.admitted
    if (!keyed) return await this.runAndSettle(completion, () => {})
    const turn = await this.localRuns.waitForTurn(requestId, digest)
    if (turn === 'otherBody') return Left(keyReusedFailure())
    try {
      return turn.runningAt === undefined
        ? await this.runAndSettle(completion, runner => { turn.started(runner) })
        : await this.runs.join(completion, { at: turn.runningAt, unsealed: [] })
    } finally {
      turn.leave()
    }
  }

  /** Tries runners until the answer is complete, a piece was received, or no attempt is left; then settles all attempts. */
  private async runAndSettle (completion: OpenCompletion, onStarted: (runner: RunnerAddress) => void): Promise<Either<Failure, void>> {
    const attempts: EndedAttempt[] = []
    const tried: TriedRunners = { exclude: [], unsealed: [], isUncertain: false }
    try {
      const ended = await this.tryRunners(completion, attempts, tried, onStarted)
      return tried.isUncertain || attempts.some(({ outcome }) => outcome.kind === 'cut') ? ended.mapLeft(mayHaveRun) : ended
    } finally {
      this.settlement.settleAll(completion.admitted, attempts)
      this.deps.routing.finish(completion.admitted, usedTokens(completion, attempts))
    }
  }

  private async tryRunners (completion: OpenCompletion, attempts: EndedAttempt[], tried: TriedRunners, onStarted: (runner: RunnerAddress) => void): Promise<Either<Failure, void>> {
    let lastFailure: Failure | undefined
    while (attempts.length < MAX_ATTEMPTS) {
      const planned = await this.planner.plan(completion.admitted, tried, completion.call.gone)
      if (planned.isLeft()) return Left(lastFailure ?? planned.extract())
      const plan = planned.unsafeCoerce()
      if (plan.paid === undefined) return await this.runs.join(completion, plan)
      const outcome = await this.runs.start(completion, plan, plan.paid, onStarted)
      attempts.push({ plan, reservation: plan.paid.reservation, outcome })
      if (outcome.kind === 'whole') return Right(undefined)
      lastFailure = outcome.failure
      tried.exclude.push(plan.at.runner)
      if (completion.admitted.keyed && lastFailure.code === 'runnerUnreachable') tried.unsealed.push(plan.at)
      const delayMs = this.delayBeforeNext(completion, lastFailure, attempts.length)
      this.report.attemptFailed(completion.admitted.requestId, plan.at.runner, lastFailure, delayMs !== null)
      if (delayMs === null) break
      await pause(delayMs)
    }
    return Left(lastFailure ?? new Failure('noRunner', 'no runner accepted the request', { ran: 'no', retryAfterMs: NO_CONFIG_RETRY_MS }))
  }

  /** Milliseconds until the next attempt; null when there is none. */
  private delayBeforeNext (completion: OpenCompletion, failure: Failure, attempts: number): number | null {
    if (attempts >= MAX_ATTEMPTS || !this.repeatable(completion, failure)) return null
    return this.deps.routing.retryDelay(completion.admitted, attempts).extractNullable()
  }

  /** Whether another runner may be tried: no piece was received, the caller is connected, and another runner would not fail alike. */
  private repeatable ({ relay }: OpenCompletion, { code }: Failure): boolean {
    if (relay.started || relay.callerGone) return false
    return code !== 'keyReused' && code !== 'deadlineExceeded'
  }
}

/** Tokens used by all attempts of a request, for fair queueing between teams; 0 when nothing ran. */
function usedTokens (completion: OpenCompletion, attempts: readonly EndedAttempt[]): number {
  const ran = attempts.filter(({ outcome }) => outcome.kind !== 'notStarted')
  return ran.reduce((sum, { outcome }) => sum + completion.admitted.promptTokens + generatedTokens(outcome, completion.relay), 0)
}
