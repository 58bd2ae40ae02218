/**
 * One run of one request at a planned runner: started and paid for by the request, or joined
 * because another request started it.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { CompletionCall } from '@rosemaryspread/callers/completion/completionTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EngineStream } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { AdmittedCompletion } from './completionAdmission.js'
import { runAttempt, type AttemptContext, type AttemptOutcome } from './completionAttempt.js'
import type { PaidRun, PlannedRun, PlannerDeps } from './completionPlanner.js'
import type { AnswerRelay } from './completionRelay.js'
import type { CompletionReport } from './completionReport.js'
import type { SettlementDeps } from './completionSettlement.js'
import type { RunnerAddress } from './completionUnsettled.js'

/** One request on its way. */
export interface OpenCompletion {
  readonly call: CompletionCall
  readonly admitted: AdmittedCompletion
  readonly relay: AnswerRelay
  /** Monotonic milliseconds. */
  readonly startedAt: number
}

/** Starts and joins runs. */
export class CompletionRuns {
  constructor (private readonly deps: PlannerDeps & SettlementDeps, private readonly report: CompletionReport) {}

  /**
   * Starts a run that the request pays for, and relays its answer.
   * @param open - the request
   * @param plan - the runner chosen
   * @param paid - reservation and run
   * @param onStarted - told once the runner took the run
   */
  async start (open: OpenCompletion, plan: PlannedRun, paid: PaidRun, onStarted: (runner: RunnerAddress) => void): Promise<AttemptOutcome> {
    const { admitted } = open
    const { reservation, run } = paid
    this.deps.log.write('requestAccepted', { request: admitted.requestId, team: admitted.team, model: admitted.model, reserved: reservation.tokens })
    const outcome = await runAttempt(this.context(open, plan.at, run.firstToken), async () => {
      const submitted = await this.submit(admitted, plan.at, paid)
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

  /**
   * Relays the answer of a run that another request started and pays for.
   * @param open - the request
   * @param plan - the runner that has the run
   */
  async join (open: OpenCompletion, plan: PlannedRun): Promise<Either<Failure, void>> {
    const { admitted } = open
    this.deps.log.write('requestJoined', { request: admitted.requestId, runner: plan.at.runner })
    const outcome = await runAttempt(this.context(open, plan.at, () => {}), async () =>
      await this.deps.engines.resume(plan.at.address, admitted.requestId, 0))
    if (outcome.kind !== 'whole') {
      this.report.attemptFailed(admitted.requestId, plan.at.runner, outcome.failure, false)
      return Left(outcome.failure)
    }
    this.answered(open, plan.at.runner, outcome)
    return Right(undefined)
  }

  private async submit (admitted: AdmittedCompletion, at: RunnerAddress, { reservation, run }: PaidRun): Promise<Either<Failure, EngineStream>> {
    const confirmed = this.deps.budgets.confirm(reservation)
    if (confirmed.isLeft()) return confirmed
    return await this.deps.engines.submit(at.address, {
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
    }, () => { run.leaving() })
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

  private answered (open: OpenCompletion, runner: string, { end }: AttemptOutcome & { readonly kind: 'whole' }): void {
    const totalMs = Math.round(this.deps.clock.now().mono - open.startedAt)
    open.relay.finish(end)
    this.report.answered(open.admitted.requestId, runner, end, totalMs)
  }
}

/**
 * Tokens that an attempt generated, as far as they are known.
 * @param outcome - how it ended
 * @param relay - the relay of its answer
 */
export function generatedTokens (outcome: AttemptOutcome, relay: AnswerRelay): number {
  return outcome.kind === 'whole' ? outcome.end.usage.completionTokens : relay.pieces
}

/** Whether the runner failed; a caller who leaves, and a VM that may not spend, are not its fault. */
function isRunnersFault (outcome: AttemptOutcome): boolean {
  if (outcome.kind === 'whole') return false
  return outcome.failure.code !== 'callerGone' && outcome.failure.code !== 'allotmentClosed'
}
