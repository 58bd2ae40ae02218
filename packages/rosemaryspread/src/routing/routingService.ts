/**
 * Feeds the routing decider with what this VM sees of the runners, and writes a log line for
 * each decision.
 */
import { Just, Left, Nothing, Right, type Either, type Maybe } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { FleetConfig, RunnerConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { RetryDecider } from '@rosemaryspread/decisions/routing/retryBudget.js'
import type { RouteDecider, RunnerView } from '@rosemaryspread/decisions/routing/routingTypes.js'
import type { AdmittedCompletion } from '../completion/completionAdmission.js'
import type { RandomSource } from '../completion/completionPorts.js'
import { prefixHashes } from './routingPrefix.js'
import type { DispatchedRun, RoutedRunner, RouteRefusal, RoutingPort } from './routingPort.js'

/** What routing is composed of. */
export interface RoutingDeps {
  readonly decider: RouteDecider
  readonly retries: RetryDecider
  readonly clock: Clock
  readonly random: RandomSource
  readonly log: EventLog
}

/** Routing of one VM. */
export class RoutingService implements RoutingPort {
  constructor (private readonly deps: RoutingDeps) {}

  /**
   * Takes a configuration that came into force.
   * @param config - the configuration
   */
  configure (config: FleetConfig): void {
    const now = this.deps.clock.now()
    for (const model of Object.keys(config.models)) {
      this.deps.decider.observe({ kind: 'configured', model, runners: runnersOf(config, model) }, now)
    }
    for (const [runner, { state }] of Object.entries(config.runners)) {
      if (state === 'leaving') this.deps.decider.observe({ kind: 'leaving', runner }, now)
    }
  }

  route (admitted: AdmittedCompletion, exclude: readonly string[]): Either<RouteRefusal, RoutedRunner> {
    if (exclude.length === 0) this.deps.retries.attempted(this.deps.clock.now())
    const decision = this.deps.decider.route({
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
    const { candidates, reason } = decision
    const request = admitted.requestId
    if (decision.kind === 'refused') {
      this.deps.log.write('routeRefused', { request, model: admitted.model, candidates, reason, code: decision.failure.code })
      return Left({ failure: decision.failure, lookIn: decision.lookIn ?? [] })
    }
    this.deps.log.write('routed', { request, model: admitted.model, candidates, choice: decision.choice.runner, reason })
    const before = decision.before.filter(({ runner }) => !exclude.includes(runner))
    return Right({ choice: decision.choice, before })
  }

  dispatched (runner: string, admitted: AdmittedCompletion): DispatchedRun {
    const { requestId } = admitted
    const startedAt = this.deps.clock.now()
    const tokens = admitted.promptTokens + admitted.maxTokens
    this.deps.decider.observe({ kind: 'dispatched', runner, requestId, tokens }, startedAt)
    return {
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
    const attempt = { attempts, repeatable: true, deadline: admitted.deadline, needMs: 0 }
    const decision = this.deps.retries.decide(attempt, this.deps.clock.now(), () => this.deps.random.next())
    return decision.retry ? Just(decision.delayMs) : Nothing
  }

  inFlight (runner: string): number {
    return this.deps.decider.inFlight(runner)
  }
}

/**
 * Runners that the configuration declares for a model.
 * @param config - the configuration
 * @param model - the model
 */
export function runnersOf (config: FleetConfig, model: string): RunnerView[] {
  const serves = ([, runner]: [string, RunnerConfig]): boolean => runner.models.includes(model)
  return Object.entries(config.runners)
    .filter(serves)
    .map(([runner, { address, domain, slots }]) => ({ runner, address, domain, slots }))
}
