/**
 * Finds what terminated holders still owe: runs that runners have on record and no segment has billed.
 */
import { Either, Left, Right } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { budgetTables, segmentKey } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { SEGMENT_ARCHIVE_MS } from '@rosemaryspread/decisions/budget/billBlocks.js'
import { RUN_RETENTION_MS } from '@rosemaryspread/decisions/budget/recoveryRules.js'
import type { OwedBill } from '@rosemaryspread/decisions/budget/recoveryPlan.js'
import { segmentRowSchema, type AllotmentRow } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { Row, TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import type { EngineClient, RunRecord } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { UnbilledRuns } from './budgetRecovery.js'
import { DuplicateRuns } from './duplicateRuns.js'
import { scanAll, type AgedAllotment } from './budgetSurvey.js'

/** All declared model runners, and the client to query them. */
export interface RecoveryRunners {
  readonly engines: Pick<EngineClient, 'listByHolder' | 'find' | 'cancel'>
  declared (): readonly DeclaredRunner[]
}

export interface DeclaredRunner {
  readonly runner: string
  readonly address: string
  /** Wall clock milliseconds since which it serves each of its models. */
  readonly servesSince: Readonly<Record<string, number>>
}

/** A terminated holder whose runs are looked up. */
export interface RunOwner {
  readonly holder: string
  /** Highest segment with bills of the budget; absent if there is none. */
  readonly lastSeq: number | undefined
  /** Its allotment that is being closed; absent if none is. */
  readonly allotment?: AllotmentRow
  /** Time on the table's clock at which it had certainly terminated, if a later process in the same place proves it. */
  readonly endedBy?: number
  /** Whether its running requests may be cancelled; otherwise recovery waits for them to finish. */
  readonly mayCancel: boolean
}

/** Runners queried in parallel. */
const MAX_PARALLEL_QUERIES = 16
/** Segments read in the first step, counted back from the last one. */
const INITIAL_SEGMENT_STEP = 256

/** A run and the runner that reported it. */
interface FoundRun {
  readonly runner: string
  readonly address: string
  readonly record: RunRecord
}

/** Finds unbilled runs by querying runners. */
export class RecoveryRuns implements UnbilledRuns {
  /** Runs of certainly terminated holders, listed once in a pass for all their budgets. */
  private readonly runsByHolder = new Map<string, Either<Failure, readonly FoundRun[]>>()

  private readonly duplicateRuns: DuplicateRuns

  constructor (private readonly store: TableStore, private readonly runners: RecoveryRunners) {
    this.duplicateRuns = new DuplicateRuns(runners)
  }

  /** Discards the runs listed in the previous pass. */
  beginPass (): void {
    this.runsByHolder.clear()
  }

  /**
   * Milliseconds since the holder itself wrote to the table.
   * @param now - milliseconds of the table's clock
   */
  async contactAgeMs (item: AgedAllotment, now: number): Promise<number> {
    const { holder, lastSeq } = item.row
    if (lastSeq === undefined) return item.ageMs
    const read = await this.store.read([{ table: budgetTables.segments, key: segmentKey(holder, lastSeq) }])
    const row = read.map(answer => answer.rows[0] ?? null).orDefault(null)
    // A missing segment was archived and is at least that old; one that cannot be read may be.
    return Math.max(item.ageMs, row === null ? SEGMENT_ARCHIVE_MS : now - row.updatedAt)
  }

  /**
   * Unbilled runs of terminated holders for one budget. Fails while a runner cannot be queried or a run has not finished.
   * @param owners - terminated holders
   * @param wall - milliseconds of the table's clock
   */
  async unbilled (budget: string, owners: readonly RunOwner[], wall: number): Promise<Either<Failure, readonly OwedBill[]>> {
    const owed: OwedBill[] = []
    for (const owner of owners) {
      const runs = (await this.runsOf(owner)).chain(found => endedRuns(found, owner, budget))
      if (runs.isLeft()) {
        await this.cancelRunning(owner, budget)
        return Left(runs.extract())
      }
      const billed = await this.billedIds(owner)
      if (billed.isLeft()) return Left(billed.extract())
      const seen = new Set(billed.unsafeCoerce())
      for (const { runner, record } of runs.unsafeCoerce()) {
        if (seen.has(record.requestId)) continue
        seen.add(record.requestId)
        const isPaid = await this.duplicateRuns.isBilledToOtherHolder(record, runner, wall)
        if (isPaid.isLeft()) return Left(isPaid.extract())
        if (!isPaid.unsafeCoerce()) owed.push({ holder: owner.holder, bill: toBill(record, runner) })
      }
    }
    return Right(owed)
  }

  /** Lists all runs of a holder; not cached for a holder that may still resume. */
  private async runsOf (owner: RunOwner): Promise<Either<Failure, readonly FoundRun[]>> {
    const cached = owner.mayCancel ? undefined : this.runsByHolder.get(owner.holder)
    const runs = cached ?? await this.list(owner.holder)
    this.runsByHolder.set(owner.holder, runs)
    return runs
  }

  private async list (holder: string): Promise<Either<Failure, readonly FoundRun[]>> {
    const declared = this.runners.declared()
    // Without a configuration the runners are unknown, so nothing is proved.
    if (declared.length === 0) return Left(new Failure('budgetPending', 'the configuration declares no runner', { ran: 'no' }))
    const found: FoundRun[] = []
    for (let from = 0; from < declared.length; from += MAX_PARALLEL_QUERIES) {
      const answers = await Promise.all(declared.slice(from, from + MAX_PARALLEL_QUERIES).map(async ({ runner, address }) =>
        (await this.runners.engines.listByHolder(address, holder)).map(records => records.map(record => ({ runner, address, record })))))
      const runs = Either.sequence(answers)
      if (runs.isLeft()) return Left(runs.extract())
      found.push(...runs.unsafeCoerce().flat())
    }
    return Right(found)
  }

  private async cancelRunning (owner: RunOwner, budget: string): Promise<void> {
    if (!owner.mayCancel) return
    const runs = this.runsByHolder.get(owner.holder)?.orDefault([]) ?? []
    const running = runs.filter(({ record }) => record.budget === budget && record.state === 'running')
    await Promise.all(running.map(async ({ address, record }) => await this.runners.engines.cancel(address, record.requestId)))
  }

  /** Request ids billed by segments that are not older than the oldest run that a runner may have on record. */
  private async billedIds (owner: RunOwner): Promise<Either<Failure, readonly string[]>> {
    let step = INITIAL_SEGMENT_STEP
    for (;;) {
      const from = Math.max(0, (owner.lastSeq ?? 0) - step)
      const scan = await scanAll(this.store, budgetTables.segments, `${owner.holder}/`, segmentKey(owner.holder, from)).run()
      if (scan.isLeft()) return Left(scan.extract())
      const { rows, now } = scan.unsafeCoerce()
      if (from === 0 || isOldEnough(rows, now)) return Right(rows.flatMap(row => segmentRowSchema.parse(row.value).bills.map(bill => bill.requestId)))
      step *= 2
    }
  }
}

function isOldEnough (rows: readonly Row[], now: number): boolean {
  const oldest = rows[0]
  return oldest !== undefined && now - oldest.updatedAt > RUN_RETENTION_MS * 2
}

function endedRuns (found: readonly FoundRun[], owner: RunOwner, budget: string): Either<Failure, readonly FoundRun[]> {
  const runs = found.filter(({ record }) => record.budget === budget && record.state !== 'sealed')
  const running = runs.filter(({ record }) => record.state === 'running').length
  return running === 0 ? Right(runs) : Left(new Failure('budgetPending', `${running} runs of ${owner.holder} have not finished`, { ran: 'no' }))
}

function toBill (record: RunRecord, runner: string): OwedBill['bill'] {
  const { requestId, budget, team, promptTokens, completionTokens } = record
  return { requestId, budget, team, tokens: promptTokens + completionTokens, runner }
}
