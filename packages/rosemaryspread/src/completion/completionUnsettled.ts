/**
 * Runs whose cost is not determined yet: the runner could not be queried, or an earlier runner of a
 * keyed request could not be sealed. Each retains its reservation until the runners respond, so that
 * no run is billed twice or left unbilled.
 */
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { Bill } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { EngineClient, RunRecord, Usage } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { BudgetPort, Reservation } from '../budget/budgetPort.js'
import type { AdmittedCompletion } from './completionAdmission.js'
import { billOf, zeroBill } from './completionBill.js'
import { BilledRequests } from './completionBilled.js'

export interface RunnerAddress {
  readonly runner: string
  readonly address: string
}

export interface UnsettledRun {
  readonly admitted: AdmittedCompletion
  readonly reservation: Reservation
  readonly ranAt: RunnerAddress
  /** Absent when the runner has to be queried. */
  readonly usage?: Usage
  /** Skipped runners of a keyed request that could not be sealed. */
  readonly unsealed: readonly RunnerAddress[]
  readonly debt: RunDebt
}

/**
 * Who pays for a run: `owed` by the team; `free` when the system failed the request, so that a bill
 * of 0 tokens closes the run; `none` when another run of the request is billed.
 */
export type RunDebt = 'owed' | 'free' | 'none'

/** Settles with a bill or without one; `later` when the runners must be queried again. */
type Settlement = { readonly kind: 'settle', readonly bill?: Bill } | { readonly kind: 'later' }

const RETRY_LATER: Settlement = { kind: 'later' }
const SETTLE_UNBILLED: Settlement = { kind: 'settle' }

/** Stores unsettled runs and settles them once the runners respond. */
export class UnsettledRuns {
  private readonly runs = new Map<string, UnsettledRun>()
  private readonly billed = new BilledRequests()

  constructor (
    private readonly client: EngineClient,
    private readonly budgets: BudgetPort,
    private readonly holder: string,
    private readonly isDeclared: (runner: string) => boolean
  ) {}

  get size (): number {
    return this.runs.size
  }

  /** Adds a run and tries to settle it at once. */
  async add (run: UnsettledRun): Promise<void> {
    this.runs.set(run.reservation.reservationId, run)
    await this.trySettle(run)
  }

  /** Tries to settle every stored run once. */
  async retryAll (): Promise<void> {
    for (const run of [...this.runs.values()]) await this.trySettle(run)
  }

  private async trySettle (run: UnsettledRun): Promise<void> {
    const settlement = await this.resolveSettlement(run)
    if (settlement.kind === 'later' || !this.runs.delete(run.reservation.reservationId)) return
    const { bill } = settlement
    if (bill !== undefined && this.billed.addIfNew(bill.requestId)) this.budgets.settle(run.reservation, bill)
    else this.budgets.settle(run.reservation)
  }

  private async resolveSettlement (run: UnsettledRun): Promise<Settlement> {
    const skippedOutcome = await this.sealSkipped(run)
    if (skippedOutcome !== undefined) return skippedOutcome
    if (run.usage !== undefined) return { kind: 'settle', bill: billOf(run.admitted, run.ranAt.runner, run.usage) }
    return await this.queryRunner(run)
  }

  /**
   * Seals the skipped runners. Undefined when each is sealed, no longer declared, or ran the request
   * for this holder, in which case the local record of bills decides.
   */
  private async sealSkipped (run: UnsettledRun): Promise<Settlement | undefined> {
    for (const { runner, address } of run.unsealed) {
      if (!this.isDeclared(runner)) continue
      const sealed = await this.client.seal(address, run.admitted.requestId)
      if (sealed.isLeft()) return RETRY_LATER
      const record = sealed.unsafeCoerce().extractNullable()
      if (record !== null && record.state !== 'sealed' && record.holder !== this.holder) return SETTLE_UNBILLED
    }
    return undefined
  }

  private async queryRunner (run: UnsettledRun): Promise<Settlement> {
    const { requestId, keyed } = run.admitted
    const found = await this.client.find(run.ranAt.address, requestId)
    if (found.isLeft()) return this.isDeclared(run.ranAt.runner) ? RETRY_LATER : SETTLE_UNBILLED
    const record = found.unsafeCoerce().extractNullable()
    if (record === null || record.holder !== this.holder) return SETTLE_UNBILLED
    if (record.state !== 'running') return this.settlementFromRecord(run, record)
    if (keyed) return RETRY_LATER
    const cancelled = await this.client.cancel(run.ranAt.address, requestId)
    return cancelled.caseOf<Settlement>({
      Left: (_: Failure) => RETRY_LATER,
      Right: ended => this.settlementFromRecord(run, ended)
    })
  }

  private settlementFromRecord (run: UnsettledRun, record: RunRecord): Settlement {
    if (run.debt === 'none') return SETTLE_UNBILLED
    const isOwed = run.debt === 'owed' || run.admitted.keyed
    const bill = isOwed ? billOf(run.admitted, run.ranAt.runner, record) : zeroBill(run.admitted, run.ranAt.runner)
    return { kind: 'settle', bill }
  }
}
