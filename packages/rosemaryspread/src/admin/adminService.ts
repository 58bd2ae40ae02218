/**
 * Operations of the admin API; every VM serves them.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { AdminService, BudgetAnswer, ConfigAnswer, HistoryEntry, OperatorIdentity, PatchAnswer, PatchRequest, RunnerAnswer, TopUpRequest, VmAnswer } from '@rosemaryspread/operators/admin/adminTypes.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { RunnerStatus } from '@rosemaryspread/decisions/routing/routingTypes.js'
import type { CurrentConfig } from '../completion/completionPorts.js'
import type { KeyDirectory } from '../directory/keyDirectory.js'
import type { BudgetReader } from '../directory/callerDirectory.js'

/** Name of the operator whose key hash is in the settings. */
const BOOTSTRAP_OPERATOR = 'bootstrap'

/** Budget operations of the admin API. */
export interface BudgetAdmin extends BudgetReader {
  topUp (budget: string, req: TopUpRequest): Promise<Either<Failure, BudgetAnswer>>
}

/** Operations on the versioned configuration. */
export interface ConfigAdmin {
  get (version?: number): Promise<Either<Failure, ConfigAnswer>>
  patch (req: PatchRequest): Promise<Either<Failure, PatchAnswer>>
  history (limit: number): Promise<Either<Failure, readonly HistoryEntry[]>>
}

export interface AdminDeps {
  readonly current: CurrentConfig
  readonly config: ConfigAdmin
  readonly budgets: BudgetAdmin
  readonly keys: KeyDirectory
  /** Holds the bootstrap key, which is valid only while the configuration has no operators. */
  readonly bootstrapKeys: KeyDirectory
  readonly vms: () => Promise<Either<Failure, readonly VmAnswer[]>>
  readonly addresses: () => readonly string[]
  /** States of the model runners as observed by this VM. */
  readonly runnerStates: () => readonly RunnerStatus[]
  readonly serviceInFlight: (runner: string) => number
}

/** Serves the admin API from the current configuration, the budgets and the local view of the fleet. */
export class FleetAdminService implements AdminService {
  constructor (private readonly deps: AdminDeps) {}

  authenticate (bearer: string): Either<Failure, OperatorIdentity> {
    const operator = this.deps.keys.ownerOf(bearer)
    if (operator !== undefined) {
      const role = this.deps.current.current().extractNullable()?.config.operators[operator]?.role
      return Right({ operator, role: role ?? 'viewer' })
    }
    const isBootstrap = this.deps.keys.isEmpty && this.deps.bootstrapKeys.ownerOf(bearer) !== undefined
    return isBootstrap
      ? Right({ operator: BOOTSTRAP_OPERATOR, role: 'admin' })
      : Left(new Failure('unauthorized', 'no operator has this key', { ran: 'no' }))
  }

  async config (version?: number): Promise<Either<Failure, ConfigAnswer>> {
    return await this.deps.config.get(version)
  }

  async patch (req: PatchRequest): Promise<Either<Failure, PatchAnswer>> {
    return await this.deps.config.patch(req)
  }

  async history (limit: number): Promise<Either<Failure, readonly HistoryEntry[]>> {
    return await this.deps.config.history(limit)
  }

  async topUp (budget: string, req: TopUpRequest): Promise<Either<Failure, BudgetAnswer>> {
    return await this.deps.budgets.topUp(budget, req)
  }

  async budget (budget: string): Promise<Either<Failure, BudgetAnswer>> {
    return await this.deps.budgets.show(budget)
  }

  async vms (): Promise<Either<Failure, readonly VmAnswer[]>> {
    return await this.deps.vms()
  }

  /** Lists all runners. A model runner that is missing from the router is listed with its configured state. */
  async runners (): Promise<Either<Failure, readonly RunnerAnswer[]>> {
    const config = this.deps.current.current().extractNullable()?.config
    const statuses = new Map(this.deps.runnerStates().map(status => [status.runner, status]))
    const models = Object.entries(config?.runners ?? {}).map(([runner, { address, domain, state }]) =>
      ({ runner, kind: 'model' as const, domain, address, state, inFlight: 0, ...statuses.get(runner) }))
    const applications = Object.values(config?.services ?? {}).flatMap(service =>
      Object.entries(service.runners).map(([runner, { address, domain, state }]) =>
        ({ runner, kind: 'application' as const, domain, address, state, inFlight: this.deps.serviceInFlight(runner) })))
    return Right([...models, ...applications])
  }

  addresses (): { readonly addresses: readonly string[], readonly keepMs: number } {
    const keepMs = this.deps.current.current().extractNullable()?.config.limits.addressKeepMs ?? 0
    return { addresses: this.deps.addresses().map(address => `http://${address}`), keepMs }
  }
}
