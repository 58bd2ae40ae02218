/**
 * Serves completions: admission, reservation, routing, the run, its bill. The decisions come
 * from the pure deciders; this module only carries them out in the right order.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { Left, Right, type Either } from 'purify-ts'
import type { AnswerSink, CompletionCall, CompletionService } from '@rosemaryspread/callers/completion/completionTypes.js'
import type { Clock, Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { NumberedConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { EngineClient } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { BudgetPort, Reservation } from '../budget/budgetPort.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import type { RoutingPort } from '../routing/routingPort.js'
import { admitCompletion, msUntil, type AdmittedCompletion } from './completionAdmission.js'
import { runAttempt, type AttemptContext, type AttemptOutcome } from './completionAttempt.js'
import { findRun, type FoundRun } from './completionFinder.js'
import { LocalRuns } from './completionLocalRuns.js'
import type { CurrentConfig, DrainState, RandomSource } from './completionPorts.js'
import { AnswerRelay } from './completionRelay.js'
import type { RunDebt, RunnerAddress, UnsettledRuns } from './completionUnsettled.js'

/** Milliseconds after which a caller refused by a draining VM may ask another address. */
const DRAINING_RETRY_MS = 200
/** Milliseconds to come back after when no configuration is in force. */
const NO_CONFIG_RETRY_MS = 1_000
/** Runners tried for one request at most. */
const MAX_ATTEMPTS = 4

/** What the service is composed of. */
export interface CompletionDeps {
  readonly holder: string
  readonly clock: Clock
  readonly random: RandomSource
  readonly config: CurrentConfig
  readonly work: DrainState
  readonly budgets: BudgetPort
  readonly routing: RoutingPort
  readonly engines: EngineClient
  readonly unsettled: UnsettledRuns
  readonly log: EventLog
  readonly metrics: Metrics
  readonly reserveTimeoutMs: number
}

/** One request on its way. */
interface OpenCompletion {
  readonly call: CompletionCall
  readonly admitted: AdmittedCompletion
  readonly relay: AnswerRelay
  readonly startedAt: number
}

/** A run to be opened at a runner, paid by a reservation; a joined run is paid by who started it. */
interface PlannedRun {
  readonly at: RunnerAddress
  readonly unsealed: readonly RunnerAddress[]
  readonly reservation?: Reservation
}

/** An attempt that ended and is to be settled. */
interface EndedAttempt {
  readonly plan: PlannedRun
  readonly reservation: Reservation
  readonly outcome: AttemptOutcome
}

/** Serves completions through the deciders, the budgets and the engines. */
export class RoutedCompletionService implements CompletionService {
  private readonly local = new LocalRuns()

  constructor (private readonly deps: CompletionDeps) {}

  async complete (call: CompletionCall, sink: AnswerSink): Promise<void> {
    const now = this.deps.clock.now()
    const admitted = this.admissible()
      .chain(config => admitCompletion(call, config.config, this.deps.random.id(), now))
    if (admitted.isLeft()) {
      sink.fail(this.refused('-', call.caller.team, admitted.extract()))
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
    const exclude: string[] = []
    const attempts: EndedAttempt[] = []
    const answered = await this.tryRunners(open, exclude, attempts, onStarted)
    attempts.forEach((attempt, index) => { this.settle(open, attempt, index === attempts.length - 1) })
    return answered
  }

  private async tryRunners (open: OpenCompletion, exclude: string[], attempts: EndedAttempt[], onStarted: (runner: RunnerAddress) => void): Promise<Either<Failure, void>> {
    const unsealed: RunnerAddress[] = []
    let last: Failure | undefined
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const planned = await this.plan(open, exclude, unsealed)
      if (planned.isLeft()) return Left(last ?? planned.extract())
      const plan = planned.extract() as PlannedRun | 'again'
      if (plan === 'again') continue
      if (plan.reservation === undefined) return await this.join(open, plan)
      const outcome = await this.start(open, plan, plan.reservation, onStarted)
      attempts.push({ plan, reservation: plan.reservation, outcome })
      if (outcome.kind === 'whole') return Right(undefined)
      last = outcome.failure
      exclude.push(plan.at.runner)
      if (open.admitted.keyed && outcome.kind === 'notStarted' && last.code === 'runnerUnreachable') unsealed.push(plan.at)
      if (!this.repeatable(open, outcome)) break
      const delayMs = this.deps.routing.retryDelay(open.admitted, attempts.length).extractNullable()
      if (delayMs === null) break
      await pause(delayMs)
    }
    return Left(last ?? new Failure('noRunner', 'no runner took the request', { retryAfterMs: NO_CONFIG_RETRY_MS }))
  }

  /** Chooses a runner; for a keyed request first looks for the run it may have already. */
  private async plan (open: OpenCompletion, exclude: string[], unsealed: readonly RunnerAddress[]): Promise<Either<Failure, PlannedRun | 'again'>> {
    const { admitted } = open
    const routed = this.deps.routing.route(admitted, exclude)
    if (routed.isLeft()) return Left(routed.extract() as Failure)
    const { choice, before } = routed.extract() as { choice: RunnerAddress, before: readonly RunnerAddress[] }
    const found: FoundRun = admitted.keyed
      ? await findRun(this.deps.engines, admitted.requestId, before, choice)
      : { unsealed: [], choiceSealed: false }
    if (found.choiceSealed) {
      exclude.push(choice.runner)
      return Right('again')
    }
    if (found.at !== undefined) {
      if (found.at.record.digest !== admitted.digest) return Left(keyReused())
      return Right({ at: found.at.runner, unsealed: [] })
    }
    const reserved = await this.reserve(open)
    return reserved.map(reservation => ({ at: choice, unsealed: [...unsealed, ...found.unsealed], reservation }))
  }

  private async reserve (open: OpenCompletion): Promise<Either<Failure, Reservation>> {
    const { admitted } = open
    const waitMs = Math.min(this.deps.reserveTimeoutMs, Math.max(0, msUntil(admitted.deadline, this.deps.clock.now())))
    const before = this.deps.clock.now().mono
    const reserved = await this.deps.budgets.reserve(admitted.budget, admitted.promptTokens + admitted.maxTokens, waitMs)
    this.deps.metrics.record('reserve_wait_ms', this.deps.clock.now().mono - before)
    return reserved
  }

  private async start (open: OpenCompletion, plan: PlannedRun, reservation: Reservation, onStarted: (runner: RunnerAddress) => void): Promise<AttemptOutcome> {
    const { admitted } = open
    this.deps.log.write('requestAccepted', { request: admitted.requestId, team: admitted.team, model: admitted.model, reserved: reservation.tokens })
    const tracked = this.deps.routing.dispatched(plan.at.runner, admitted)
    const outcome = await runAttempt(this.context(open, plan.at, tracked.firstToken), async () => {
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
      submitted.ifRight(() => { onStarted(plan.at) })
      return submitted
    })
    tracked.ended(outcome.kind === 'whole', outcome.kind === 'whole' ? outcome.end.usage.completionTokens : 0)
    if (outcome.kind === 'whole') this.answered(open, plan.at.runner, outcome)
    return outcome
  }

  /** Streams a run that another request started and pays for. */
  private async join (open: OpenCompletion, plan: PlannedRun): Promise<Either<Failure, void>> {
    const { admitted } = open
    this.deps.log.write('requestJoined', { request: admitted.requestId, runner: plan.at.runner })
    const outcome = await runAttempt(this.context(open, plan.at, () => {}), async () =>
      await this.deps.engines.resume(plan.at.address, admitted.requestId, 0))
    if (outcome.kind !== 'whole') return Left(outcome.failure)
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

  /** Settles an ended attempt; only the last of a request can be billed. */
  private settle (open: OpenCompletion, attempt: EndedAttempt, isLast: boolean): void {
    const { plan, reservation, outcome } = attempt
    const startedElsewhere = outcome.kind === 'whole' && outcome.holder !== '' && outcome.holder !== this.deps.holder
    if (outcome.kind === 'notStarted' || startedElsewhere) {
      this.deps.budgets.settle(reservation)
      return
    }
    const usage = outcome.kind === 'whole' ? { usage: outcome.end.usage } : {}
    const run = { admitted: open.admitted, reservation, ranAt: plan.at, unsealed: plan.unsealed, debt: debtOf(outcome, isLast), ...usage }
    const close = this.deps.work.open()
    this.deps.unsettled.add(run)
      .catch((err: unknown) => { this.deps.log.write('fault', { err: toFailure(err).message }) })
      .finally(close)
  }

  private repeatable (open: OpenCompletion, outcome: AttemptOutcome): boolean {
    if (outcome.kind === 'whole' || open.relay.started || open.relay.callerGone) return false
    if (outcome.failure.code === 'keyReused' || outcome.failure.code === 'deadlineExceeded') return false
    return true
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

function keyReused (): Failure {
  return new Failure('keyReused', 'the Idempotency-Key was used with another body')
}

function debtOf (outcome: AttemptOutcome, isLast: boolean): RunDebt {
  if (!isLast) return 'none'
  if (outcome.kind === 'whole') return 'owed'
  return outcome.kind === 'cut' && outcome.failure.code === 'callerGone' ? 'owed' : 'free'
}
