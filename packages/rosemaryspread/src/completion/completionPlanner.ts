/**
 * Plans where a completion runs: joins the existing run of a keyed request, or chooses a runner
 * and reserves tokens for a new run.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EngineClient } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { BudgetPort, Reservation } from '../budget/budgetPort.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import type { DispatchedRun, RoutedRunner, RouteRefusal, RoutingPort } from '../routing/routingPort.js'
import { msUntil, type AdmittedCompletion } from './completionAdmission.js'
import { sealAndFindRun, lookUpRun, type ExistingRun } from './completionFinder.js'
import type { RunnerAddress } from './completionUnsettled.js'

export interface PlannerDeps {
  readonly clock: Clock
  readonly budgets: BudgetPort
  readonly routing: RoutingPort
  readonly engines: EngineClient
  readonly metrics: Metrics
  readonly reserveTimeoutMs: number
}

/** A run to open at a runner. The request that started a run pays for it, not those that join it. */
export interface PlannedRun {
  readonly at: RunnerAddress
  /** Skipped runners of a keyed request that could not be sealed. */
  readonly unsealed: readonly RunnerAddress[]
  /** Absent when the run is joined. */
  readonly paid?: PaidRun
}

/** Reservation that pays for a new run, and its entry in the routing statistics of the runner. */
export interface PaidRun {
  readonly reservation: Reservation
  readonly run: DispatchedRun
}

/** Runners that earlier attempts of a request have used up. */
export interface TriedRunners {
  readonly exclude: string[]
  readonly unsealed: RunnerAddress[]
  /** Whether an earlier attempt under the key may have run the request at a runner that did not answer. */
  isUncertain: boolean
}

export class CompletionPlanner {
  constructor (private readonly deps: PlannerDeps) {}

  /**
   * Plans the next attempt of a request.
   * @param tried - extended by runners that turn out to be sealed
   * @param gone - aborted when the caller disconnects
   */
  async plan (admitted: AdmittedCompletion, tried: TriedRunners, gone: AbortSignal): Promise<Either<Failure, PlannedRun>> {
    for (;;) {
      const routed = await this.deps.routing.route(admitted, tried.exclude, gone)
      if (routed.isLeft()) return await this.joinOrRefuse(admitted, routed.extract())
      const planned = await this.planAt(admitted, routed.unsafeCoerce(), tried)
      if (planned !== 'sealed') return planned
    }
  }

  /** Plans a run at the chosen runner, unless an earlier attempt sealed it. */
  private async planAt (admitted: AdmittedCompletion, routed: RoutedRunner, tried: TriedRunners): Promise<Either<Failure, PlannedRun> | 'sealed'> {
    const { choice, runnersToSeal, run } = routed
    if (!admitted.keyed) return await this.reserveAt(admitted, routed, [])
    const found = await sealAndFindRun(this.deps.engines, admitted.requestId, runnersToSeal, choice)
    if (found.isUncertain) tried.isUncertain = true
    if (found.at === undefined && !found.isChoiceSealed) {
      return await this.reserveAt(admitted, routed, [...tried.unsealed, ...found.unsealed])
    }
    run.ended(true, 0)
    if (found.at !== undefined) return planJoin(admitted, found.at)
    tried.exclude.push(choice.runner)
    return 'sealed'
  }

  /** A keyed request that routing refuses may still be answered by the run of an earlier attempt. */
  private async joinOrRefuse (admitted: AdmittedCompletion, { failure, lookupRunners }: RouteRefusal): Promise<Either<Failure, PlannedRun>> {
    if (lookupRunners.length === 0) return Left(failure)
    const found = await lookUpRun(this.deps.engines, admitted.requestId, lookupRunners)
    if (found.at !== undefined) return planJoin(admitted, found.at)
    const { code, message, retryAfterMs } = failure
    const ran = found.notRun ? 'no' : 'unknown'
    return Left(new Failure(code, message, { ran, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }))
  }

  private async reserveAt (admitted: AdmittedCompletion, { choice, run }: RoutedRunner, unsealed: readonly RunnerAddress[]): Promise<Either<Failure, PlannedRun>> {
    const waitStart = this.deps.clock.now()
    const waitMs = Math.min(this.deps.reserveTimeoutMs, Math.max(0, msUntil(admitted.deadline, waitStart)))
    const reserved = await this.deps.budgets.reserve(admitted.budget, admitted.promptTokens + admitted.maxTokens, waitMs)
    this.deps.metrics.record('reserve_wait_ms', this.deps.clock.now().mono - waitStart.mono)
    return reserved
      .ifLeft(() => { run.ended(true, 0) })
      .map(reservation => ({ at: choice, unsealed, paid: { reservation, run } }))
  }
}

/** Failure for an idempotency key that is reused with a different body. */
export function keyReusedFailure (): Failure {
  return new Failure('keyReused', 'the Idempotency-Key was used with another body', { ran: 'no' })
}

function planJoin (admitted: AdmittedCompletion, { runner, record }: ExistingRun): Either<Failure, PlannedRun> {
  return record.digest === admitted.digest ? Right({ at: runner, unsealed: [] }) : Left(keyReusedFailure())
}
