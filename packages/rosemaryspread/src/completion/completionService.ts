/**
 * Serves completions: admission, reservation, routing, the run, its bill. The decisions come
 * from the pure deciders; this module only carries them out in the right order.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { Left, Right, type Either } from 'purify-ts'
import type { AnswerSink, CompletionCall, CompletionService } from '@rosemaryspread/callers/completion/completionTypes.js'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { NumberedConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import { admitCompletion, type AdmittedCompletion } from './completionAdmission.js'
import { runAttempt, type AttemptContext, type AttemptOutcome } from './completionAttempt.js'
import { LocalRuns } from './completionLocalRuns.js'
import type { CurrentConfig, RandomSource } from './completionPorts.js'
import { CompletionPlanner, keyReused, type PaidRun, type PlannedRun, type PlannerDeps, type TriedRunners } from './completionPlanner.js'
import { AnswerRelay } from './completionRelay.js'
import { CompletionSettlement, type EndedAttempt, type SettlementDeps } from './completionSettlement.js'
import type { RunnerAddress } from './completionUnsettled.js'

/** Milliseconds after which a caller refused by a draining VM may ask another address. */
const DRAINING_RETRY_MS = 200
/** Milliseconds to come back after when no configuration is in force. */
const NO_CONFIG_RETRY_MS = 1_000
/** Runners tried for one request at most. */
const MAX_ATTEMPTS = 4

/** What the service is composed of. */
export interface CompletionDeps extends PlannerDeps, SettlementDeps {
  readonly random: RandomSource
  readonly config: CurrentConfig
}

/** One request on its way. */
interface OpenCompletion {
  readonly call: CompletionCall
  readonly admitted: AdmittedCompletion
  readonly relay: AnswerRelay
  readonly startedAt: number
}

/** Serves completions through the deciders, the budgets and the engines. */
export class RoutedCompletionService implements CompletionService {
  private readonly local = new LocalRuns()
  private readonly planner: CompletionPlanner
  private readonly settlement: CompletionSettlement

  constructor (private readonly deps: CompletionDeps) {
    this.planner = new CompletionPlanner(deps)
    this.settlement = new CompletionSettlement(deps)
  }

  async complete (call: CompletionCall, sink: AnswerSink): Promise<void> {
    const now = this.deps.clock.now()
    const admitted = this.admissible()
      .chain(config => admitCompletion(call, config.config, this.deps.random.id(), now))
    if (admitted.isLeft()) {
      sink.fail(this.refused(call.requestId ?? '-', call.caller.team, admitted.extract()))
      return
    }
    await this.serve(call, admitted.extract() as AdmittedCompletion, sink, now)
  }

  /** Serves an admitted request; whatever happens, its sink gets exactly one end. */
  private async serve (call: CompletionCall, admitted: AdmittedCompletion, sink: AnswerSink, now: Instant): Promise<void> {
    const close = this.deps.work.open()
    const relay = new AnswerRelay(sink, call.gone, admitted.requestId, admitted.model)
    try {
      const served = await this.serveOpen({ call, admitted, relay, startedAt: now.mono })
      served.ifLeft(failure => { relay.fail(this.refused(admitted.requestId, admitted.team, failure)) })
    } catch (err) {
      this.deps.log.write('fault', { err: toFailure(err).message })
      relay.fail(toFailure(err))
    } finally {
      close()
    }
  }

  private admissible (): Either<Failure, NumberedConfig> {
    if (this.deps.work.draining) {
      return Left(new Failure('draining', 'this VM is draining; use another address', { retryAfterMs: DRAINING_RETRY_MS }))
    }
    return this.deps.config.current()
      .toEither(new Failure('configNotLoaded', 'no configuration is in force yet', { retryAfterMs: NO_CONFIG_RETRY_MS }))
  }

  private async serveOpen (open: OpenCompletion): Promise<Either<Failure, void>> {
    const { requestId, keyed, digest } = open.admitted
    if (!keyed) return await this.runAnew(open, () => {})
    const turn = await this.local.enter(requestId, digest)
    if (turn === 'otherBody') return Left(keyReused())
    try {
      return turn.runningAt === undefined
        ? await this.runAnew(open, runner => { turn.started(runner) })
        : await this.join(open, { at: turn.runningAt, unsealed: [] })
    } finally {
      turn.leave()
    }
  }

  /** Tries runners in turn until the answer is whole, a part of it was sent, or nothing is left to try. */
  private async runAnew (open: OpenCompletion, onStarted: (runner: RunnerAddress) => void): Promise<Either<Failure, void>> {
    const attempts: EndedAttempt[] = []
    try {
      return await this.tryRunners(open, attempts, onStarted)
    } finally {
      this.settlement.settleAll(open.admitted, attempts)
      this.deps.routing.finish(open.admitted, usedTokens(open, attempts))
    }
  }

  private async tryRunners (open: OpenCompletion, attempts: EndedAttempt[], onStarted: (runner: RunnerAddress) => void): Promise<Either<Failure, void>> {
    const tried: TriedRunners = { exclude: [], unsealed: [] }
    let last: Failure | undefined
    while (attempts.length < MAX_ATTEMPTS) {
      const planned = await this.planner.plan(open.admitted, tried, open.call.gone)
      if (planned.isLeft()) return Left(last ?? planned.extract())
      const plan = planned.extract() as PlannedRun
      if (plan.paid === undefined) return await this.join(open, plan)
      const outcome = await this.start(open, plan, plan.paid, onStarted)
      attempts.push({ plan, reservation: plan.paid.reservation, outcome })
      if (outcome.kind === 'whole') return Right(undefined)
      last = outcome.failure
      tried.exclude.push(plan.at.runner)
      if (open.admitted.keyed && last.code === 'runnerUnreachable') tried.unsealed.push(plan.at)
      const delayMs = this.delayBeforeNext(open, last, attempts.length)
      this.attemptFailed(open, plan.at.runner, last, delayMs !== null)
      if (delayMs === null) break
      await pause(delayMs)
    }
    return Left(last ?? new Failure('noRunner', 'no runner took the request', { retryAfterMs: NO_CONFIG_RETRY_MS }))
  }

  private async start (open: OpenCompletion, plan: PlannedRun, { reservation, run }: PaidRun, onStarted: (runner: RunnerAddress) => void): Promise<AttemptOutcome> {
    const { admitted } = open
    this.deps.log.write('requestAccepted', { request: admitted.requestId, team: admitted.team, model: admitted.model, reserved: reservation.tokens })
    const outcome = await runAttempt(this.context(open, plan.at, run.firstToken), async () => {
      const confirmed = this.deps.budgets.confirm(reservation)
      if (confirmed.isLeft()) return confirmed
      const submitted = await this.deps.engines.submit(plan.at.address, {
        requestId: admitted.requestId,
        digest: admitted.digest,
        holder: this.deps.holder,
        team: admitted.team,
        budget: admitted.budget,
        model: admitted.model,
        ...(admitted.adapter === undefined ? {} : { adapter: admitted.adapter }),
        messages: admitted.messages,
        maxTokens: admitted.maxTokens,
        priority: 0
      })
      submitted.ifRight(({ load }) => {
        run.opened(load)
        onStarted(plan.at)
      })
      return submitted
    })
    run.ended(!isRunnersFault(outcome), generatedTokens(outcome, open.relay))
    if (outcome.kind === 'whole') this.answered(open, plan.at.runner, outcome)
    return outcome
  }

  /** Streams a run that another request started and pays for. */
  private async join (open: OpenCompletion, plan: PlannedRun): Promise<Either<Failure, void>> {
    const { admitted } = open
    this.deps.log.write('requestJoined', { request: admitted.requestId, runner: plan.at.runner })
    const outcome = await runAttempt(this.context(open, plan.at, () => {}), async () =>
      await this.deps.engines.resume(plan.at.address, admitted.requestId, 0))
    if (outcome.kind !== 'whole') {
      this.attemptFailed(open, plan.at.runner, outcome.failure, false)
      return Left(outcome.failure)
    }
    this.answered(open, plan.at.runner, outcome)
    return Right(undefined)
  }

  private context (open: OpenCompletion, at: RunnerAddress, onFirstToken: (afterMs: number) => void): AttemptContext {
    const { admitted, relay, call } = open
    return {
      client: this.deps.engines,
      clock: this.deps.clock,
      address: at.address,
      requestId: admitted.requestId,
      deadline: admitted.deadline,
      relay,
      stopWhenGone: !admitted.keyed,
      gone: call.gone,
      onFirstPiece: () => {
        const afterMs = this.deps.clock.now().mono - open.startedAt
        onFirstToken(afterMs)
        this.deps.metrics.record('first_token_ms', afterMs)
      },
      onPieceGap: milliseconds => { this.deps.metrics.record('between_tokens_ms', milliseconds) }
    }
  }

  /** Milliseconds until another runner is tried; null when none is. */
  private delayBeforeNext (open: OpenCompletion, failure: Failure, attempts: number): number | null {
    if (attempts >= MAX_ATTEMPTS || !this.repeatable(open, failure)) return null
    return this.deps.routing.retryDelay(open.admitted, attempts).extractNullable()
  }

  private repeatable ({ relay }: OpenCompletion, { code }: Failure): boolean {
    if (relay.started || relay.callerGone) return false
    return code !== 'keyReused' && code !== 'deadlineExceeded'
  }

  private attemptFailed ({ admitted }: OpenCompletion, runner: string, { code, ran, message }: Failure, retried: boolean): void {
    this.deps.log.write('attemptFailed', { request: admitted.requestId, runner, code, ran, retried, detail: message })
  }

  private answered (open: OpenCompletion, runner: string, outcome: AttemptOutcome & { readonly kind: 'whole' }): void {
    const totalMs = Math.round(this.deps.clock.now().mono - open.startedAt)
    open.relay.finish(outcome.end)
    this.deps.metrics.count('answers')
    this.deps.metrics.record('total_ms', totalMs)
    this.deps.log.write('requestAnswered', { request: open.admitted.requestId, runner, tokens: outcome.end.usage.completionTokens, totalMs })
  }

  private refused (request: string, team: string, failure: Failure): Failure {
    const { code, ran, retryAfterMs } = failure
    this.deps.metrics.count(`refusals_${code}`)
    this.deps.log.write(ran === 'no' ? 'requestRefused' : 'requestFailed', { request, team, code, ran, retryAfterMs, detail: failure.message })
    return failure
  }
}

/** Whether the runner failed; a caller who leaves, and a VM that may not spend, are not its fault. */
function isRunnersFault (outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'whole') return false
  return outcome.failure.code !== 'callerGone' && outcome.failure.code !== 'allotmentClosed'
}

function generatedTokens (outcome: AttemptOutcome, relay: AnswerRelay): number {
  return outcome.kind === 'whole' ? outcome.end.usage.completionTokens : relay.pieces
}

/** Tokens that the attempts of a request used, for fairness between teams; 0 when nothing ran. */
function usedTokens (open: OpenCompletion, attempts: readonly EndedAttempt[]): number {
  const ran = attempts.filter(({ outcome }) => outcome.kind !== 'notStarted')
  return ran.reduce((sum, { outcome }) => sum + open.admitted.promptTokens + generatedTokens(outcome, open.relay), 0)
}
