/**
 * Answers callers' queries: authentication, models of their team, addresses, budget usage and
 * readiness.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { AddressAnswer, CallerDirectory, CallerIdentity, UsageAnswer } from '@rosemaryspread/callers/completion/completionTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { FleetConfig } from '@rosemaryspread/decisions/config/configSchema.js'
import type { BudgetAnswer } from '@rosemaryspread/operators/admin/adminTypes.js'
import type { CurrentConfig, DrainState } from '../completion/completionPorts.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import type { KeyDirectory } from './keyDirectory.js'

/** Retry delay for callers while this VM is not ready. */
const NOT_READY_RETRY_MS = 500

/** Reads the state of a budget. */
export interface BudgetReader {
  show (budget: string): Promise<Either<Failure, BudgetAnswer>>
}

export interface DirectoryDeps {
  readonly config: CurrentConfig
  readonly work: DrainState
  readonly keys: KeyDirectory
  readonly budgets: BudgetReader
  readonly metrics: Metrics
  /** Addresses for callers without a scheme, in the order to try them; each team has its own order. */
  readonly addresses: (team?: string) => readonly string[]
}

/** Answers from the active configuration. */
export class ConfiguredDirectory implements CallerDirectory {
  constructor (private readonly deps: DirectoryDeps) {}

  authenticate (bearer: string): Either<Failure, CallerIdentity> {
    if (this.deps.config.current().isNothing()) return Left(configNotLoadedFailure())
    const team = this.deps.keys.ownerOf(bearer)
    return team === undefined ? Left(new Failure('unauthorized', 'the key belongs to no team', { ran: 'no' })) : Right({ team })
  }

  models (caller: CallerIdentity): readonly string[] {
    return this.config()?.teams[caller.team]?.models ?? []
  }

  addresses (caller?: CallerIdentity): AddressAnswer {
    const current = this.deps.config.current().extractNullable()
    return {
      version: current?.version ?? 0,
      addresses: this.deps.addresses(caller?.team).map(address => `http://${address}`),
      keepMs: current?.config.limits.addressKeepMs ?? NOT_READY_RETRY_MS
    }
  }

  async usage (caller: CallerIdentity): Promise<Either<Failure, UsageAnswer>> {
    const budget = this.config()?.teams[caller.team]?.budget
    if (budget === undefined) return Left(new Failure('forbidden', `team ${caller.team} is not in the configuration`, { ran: 'no' }))
    const answer = await this.deps.budgets.show(budget)
    return answer.map(({ paid, spent, allotted }) => ({ team: caller.team, budget, paid, spent, allotted }))
  }

  ready (): Either<Failure, void> {
    if (this.deps.work.draining) return Left(new Failure('draining', 'this VM is draining', { ran: 'no', retryAfterMs: NOT_READY_RETRY_MS }))
    return this.deps.config.current().isNothing() ? Left(configNotLoadedFailure()) : Right(undefined)
  }

  metrics (): string {
    return this.deps.metrics.render()
  }

  private config (): FleetConfig | undefined {
    return this.deps.config.current().extractNullable()?.config
  }
}

function configNotLoadedFailure (): Failure {
  return new Failure('configNotLoaded', 'no configuration is in force yet', { ran: 'no', retryAfterMs: NOT_READY_RETRY_MS })
}
