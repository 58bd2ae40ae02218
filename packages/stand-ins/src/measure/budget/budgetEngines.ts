/**
 * Simulated engines of a budget run: they record each run and finish it even if its VM was killed.
 */
import { Left, Maybe, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { RunRecord } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { RecoveryRunners } from 'rosemaryspread/budget/budgetRecoveryRuns.js'
import type { PeerNetwork } from './budgetNetwork.js'

/** Request of a run. */
export interface EngineRun {
  readonly requestId: string
  readonly holder: string
  readonly budget: string
  readonly tokens: number
}

/** Run records of all engines; each failure domain has one engine. */
export class BudgetEngines {
  private readonly byDomain = new Map<string, Map<string, RunRecord>>()

  constructor (domains: readonly string[], private readonly network: PeerNetwork) {
    for (const domain of domains) this.byDomain.set(domain, new Map())
  }

  /** Run records of all engines. */
  all (): readonly RunRecord[] {
    return [...this.byDomain.values()].flatMap(records => [...records.values()])
  }

  /**
   * Starts a run.
   * @param run - its token count is fixed at the start, as nothing is generated
   */
  start (domain: string, run: EngineRun): void {
    const { requestId, holder, budget, tokens } = run
    const record: RunRecord = {
      requestId, holder, budget, digest: '', team: budget, model: 'm', state: 'running', promptTokens: tokens, completionTokens: 0
    }
    this.recordsOf(domain).set(requestId, record)
  }

  /** Finishes a run unless it was cancelled, and returns its record. */
  end (domain: string, requestId: string): RunRecord | undefined {
    const record = this.recordsOf(domain).get(requestId)
    if (record?.state === 'running') this.recordsOf(domain).set(requestId, { ...record, state: 'finished' })
    return this.recordsOf(domain).get(requestId)
  }

  /**
   * Client of the engines for VMs of one failure domain.
   * @param from - failure domain of the VM
   */
  clientFrom (from: string): RecoveryRunners {
    return {
      declared: () => [...this.byDomain.keys()].map(domain => ({ runner: domain, address: domain, servesSince: {} })),
      engines: {
        listByHolder: async (domain, holder) =>
          await this.network.call(from, domain, async () => [...this.recordsOf(domain).values()].filter(record => record.holder === holder)),
        find: async (domain, requestId) =>
          await this.network.call(from, domain, async () => Maybe.fromNullable(this.recordsOf(domain).get(requestId))),
        cancel: async (domain, requestId) => (await this.network.call(from, domain, async () => this.cancel(domain, requestId))).chain(requireRecord)
      }
    }
  }

  private cancel (domain: string, requestId: string): RunRecord | undefined {
    const record = this.recordsOf(domain).get(requestId)
    if (record?.state === 'running') this.recordsOf(domain).set(requestId, { ...record, state: 'cancelled' })
    return this.recordsOf(domain).get(requestId)
  }

  private recordsOf (domain: string): Map<string, RunRecord> {
    return this.byDomain.get(domain) ?? new Map<string, RunRecord>()
  }
}

function requireRecord (record: RunRecord | undefined): Either<Failure, RunRecord> {
  return record === undefined ? Left(new Failure('notFound', 'no such run', { ran: 'no' })) : Right(record)
}
