/** Passes what this VM observes of the runners to the route decider, and logs each decision. */
import { Just, Left, Nothing, Right, type Either, type Maybe } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { FleetConfig, RunnerConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { PollSchedule } from '@rosemaryspread/decisions/routing/pollSchedule.js'
import type { RetryDecider } from '@rosemaryspread/decisions/routing/retryBudget.js'
import type { RunnerRouter } from '@rosemaryspread/decisions/routing/runnerRouter.js'
import type { RouteDecider, RouteDecision, RunnerStatus, RunnerView } from '@rosemaryspread/decisions/routing/routingTypes.js'
import type { StreamLoad } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { AdmittedCompletion } from '../completion/completionAdmission.js'
import type { RandomSource } from '../completion/completionPorts.js'
import { RouteQueues, type RouteAttempt } from './routingQueue.js'
import { prefixHashes } from './routingPrefix.js'
import type { DispatchedRun, RoutedRunner, RouteRefusal, RoutingPort } from './routingPort.js'
import { RunnerStateLog } from './runnerStateLog.js'

export interface RoutingDeps {
  readonly decider: RouteDecider & Pick<RunnerRouter, 'serviceMs' | 'states'>
  /** Number of VMs that share the runners, this one included. */
  readonly vms: () => number
  readonly retries: RetryDecider
  readonly polls: PollSchedule
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: EventLog
}

export class RoutingService implements RoutingPort {
  private readonly queues: RouteQueues
  private readonly stateLog: RunnerStateLog
  private slots: ReadonlyMap<string, number> = new Map()

  constructor (private readonly deps: RoutingDeps) {
    this.stateLog = new RunnerStateLog(deps.log)
    this.queues = new RouteQueues({
      clock: deps.clock,
      tryRoute: admitted => this.tryRoute(admitted, []),
      serviceMs: ({ promptTokens, maxTokens }) => deps.decider.serviceMs(promptTokens, maxTokens, deps.clock.now()),
      slotsOf: model => this.slots.get(model) ?? 0,
      vms: deps.vms
    })
  }

  /** Applies a new configuration. */
  configure (config: FleetConfig): void {
    const now = this.deps.clock.now()
    const byModel = new Map(Object.keys(config.models).map(model => [model, runnersOf(config, model)]))
    for (const [model, runners] of byModel) this.deps.decider.observe({ kind: 'configured', model, runners }, now)
    this.slots = new Map([...byModel].map(([model, runners]) => [model, runners.reduce((sum, { slots }) => sum + slots, 0)]))
  }

  async route (admitted: AdmittedCompletion, exclude: readonly string[], callerGone: AbortSignal): Promise<Either<RouteRefusal, RoutedRunner>> {
    if (exclude.length === 0) {
      this.deps.retries.recordFirstAttempt(this.deps.clock.now())
      return await this.queues.route(admitted, callerGone)
    }
    const attempt = this.tryRoute(admitted, exclude)
    if (attempt.kind === 'routed') return Right(attempt.routed)
    if (attempt.kind === 'full') this.logRefusal(admitted, attempt.refusal)
    return Left(attempt.refusal)
  }

  finish (admitted: AdmittedCompletion, usedTokens: number): void {
    this.queues.finish(admitted, usedTokens)
  }

  /** Updates the queues and logs state changes of runners; to be called several times a second. */
  tick (): void {
    this.queues.tick()
    this.stateLog.check(this.states())
  }

  /** Routes without waiting. A refusal for lack of capacity is not logged, as the request may wait. */
  private tryRoute (admitted: AdmittedCompletion, exclude: readonly string[]): RouteAttempt {
    const decision = this.decide(admitted, exclude)
    if (decision.kind === 'refused') {
      const refusal = { failure: decision.failure, lookupRunners: decision.lookupRunners ?? [] }
      if (decision.failure.code === 'overloaded') return { kind: 'full', refusal }
      this.logRefusal(admitted, refusal)
      return { kind: 'refused', refusal }
    }
    const { choice, candidates, reason } = decision
    this.deps.log.write('routed', { request: admitted.requestId, model: admitted.model, candidates, choice: choice.runner, reason })
    const runnersToSeal = decision.runnersToSeal.filter(({ runner }) => !exclude.includes(runner))
    return { kind: 'routed', routed: { choice, runnersToSeal, run: this.recordDispatch(choice.runner, admitted) } }
  }

  private decide (admitted: AdmittedCompletion, exclude: readonly string[]): RouteDecision {
    return this.deps.decider.route({
      requestId: admitted.requestId,
      team: admitted.team,
      model: admitted.model,
      ...(admitted.adapter === undefined ? {} : { adapter: admitted.adapter }),
      keyed: admitted.keyed,
      promptTokens: admitted.promptTokens,
      maxTokens: admitted.maxTokens,
      prefixHashes: prefixHashes(admitted.model, admitted.messages),
      deadline: admitted.deadline,
      exclude
    }, this.deps.clock.now(), () => this.deps.random.next())
  }

  private logRefusal (admitted: AdmittedCompletion, { failure }: RouteRefusal): void {
    const { code, message, retryAfterMs } = failure
    this.deps.log.write('routeRefused', { request: admitted.requestId, model: admitted.model, code, reason: message, retryAfterMs })
  }

  private recordDispatch (runner: string, admitted: AdmittedCompletion): DispatchedRun {
    const { requestId } = admitted
    const startedAt = this.deps.clock.now()
    this.deps.polls.markUsed(runner)
    const tokens = admitted.promptTokens + admitted.maxTokens
    this.deps.decider.observe({ kind: 'dispatched', runner, requestId, tokens }, startedAt)
    return {
      streamOpened: load => { this.observeLoad(runner, load) },
      leaving: () => {
        this.deps.decider.observe({ kind: 'leaving', runner, source: 'runner' }, this.deps.clock.now())
      },
      firstToken: () => {
        const now = this.deps.clock.now()
        this.deps.decider.observe({ kind: 'firstToken', runner, requestId, afterMs: now.mono - startedAt.mono }, now)
      },
      ended: (ok, used) => {
        const now = this.deps.clock.now()
        this.deps.decider.observe({ kind: 'ended', runner, requestId, ok, tokens: used, totalMs: now.mono - startedAt.mono }, now)
      }
    }
  }

  retryDelay (admitted: AdmittedCompletion, attempts: number): Maybe<number> {
    const attempt = { attempts, repeatable: true, deadline: admitted.deadline, predictedMs: 0 }
    const decision = this.deps.retries.decide(attempt, this.deps.clock.now(), () => this.deps.random.next())
    return decision.retry ? Just(decision.delayMs) : Nothing
  }

  /** Load that an engine reports with an answer saves a poll. */
  private observeLoad (runner: string, load: StreamLoad | undefined): void {
    if (load === undefined) return
    this.deps.decider.observe({ kind: 'loadReported', runner, ...load, reportAgeMs: 0, leaving: false }, this.deps.clock.now())
  }

  /** State of each model runner as seen by this VM. */
  states (): readonly RunnerStatus[] {
    return this.deps.decider.states(this.deps.clock.now())
  }

  inFlight (runner: string): number {
    return this.deps.decider.inFlight(runner)
  }
}

/** Runners that the configuration declares for a model. */
export function runnersOf (config: FleetConfig, model: string): RunnerView[] {
  const serves = ([, runner]: [string, RunnerConfig]): boolean => runner.models.includes(model)
  return Object.entries(config.runners)
    .filter(serves)
    .map(([runner, { address, domain, slots, state, servesSince }]) =>
      ({ runner, address, domain, slots, leaving: state === 'leaving', addedAt: servesSince[model] }))
}
