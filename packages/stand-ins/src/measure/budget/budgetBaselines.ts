/**
 * Simpler budget strategies that serve as baselines for the product.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { budgetRowSchema, type Bill, type BudgetRow } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { Reservation } from 'rosemaryspread/budget/budgetPort.js'
import { BudgetTable } from 'rosemaryspread/budget/budgetTable.js'
import type { Spender, SpenderDeps } from './budgetVm.js'

/** Interval at which totals are read and written. */
const SYNC_INTERVAL_MS = 5_000

function budgetRowKey (budget: string): { readonly table: string, readonly key: string } {
  return { table: budgetTables.budgets, key: budget }
}

/** Base of the baselines: issues reservation ids; they have no lease, so each confirmation succeeds. */
abstract class BaselineSpender implements Spender {
  protected readonly table: BudgetTable
  private reservationCount = 0

  constructor (protected readonly parts: SpenderDeps) {
    this.table = new BudgetTable(parts.store, parts.clock)
  }

  abstract reserve (budget: string, tokens: number): Promise<Either<Failure, Reservation>>
  abstract settle (reservation: Reservation, bill?: Bill): void
  abstract tick (): void

  confirm (): Either<Failure, void> {
    return Right(undefined)
  }

  protected createReservation (budget: string, tokens: number): Reservation {
    this.reservationCount += 1
    return { reservationId: `${this.parts.holder}.${this.reservationCount}`, budget, tokens }
  }
}

/** Runs a transaction on the budget row for every reservation and every settlement. */
export class WritePerRequest extends BaselineSpender {
  private unsettled: Array<{ readonly reservation: Reservation, readonly tokens: number }> = []

  async reserve (budget: string, tokens: number): Promise<Either<Failure, Reservation>> {
    const reservation = this.createReservation(budget, tokens)
    const result = await this.updateRow(reservation, row => ({ ...row, allotted: row.allotted + tokens }))
    return result.map(() => reservation)
  }

  settle (reservation: Reservation, bill?: Bill): void {
    this.unsettled.push({ reservation, tokens: bill?.tokens ?? 0 })
  }

  tick (): void {
    const batch = this.unsettled
    this.unsettled = []
    for (const item of batch) {
      const { reservation, tokens } = item
      this.updateRow(reservation, row => ({ ...row, allotted: row.allotted - reservation.tokens, spent: row.spent + tokens }))
        .then(result => { if (result.isLeft()) this.unsettled.push(item) })
        .catch(err => { throw err })
    }
  }

  private async updateRow (reservation: Reservation, update: (row: BudgetRow) => BudgetRow): Promise<Either<Failure, unknown>> {
    const { budget, reservationId } = reservation
    return await this.table.run(reservationId, [budgetRowKey(budget)], rows => {
      const row = rows.get(budgetRowSchema, budgetTables.budgets, budget)
      if (row === undefined) return Left(new Failure('budgetUnknown', budget, { ran: 'no' }))
      const updated = update(row)
      if (updated.spent + updated.allotted > updated.paid) return Left(new Failure('budgetSpent', budget, { ran: 'no' }))
      rows.set(budgetTables.budgets, budget, updated)
      return Right({ kind: 'write' })
    })
  }
}

/** Tokens of one budget as one VM counts them. */
interface LocalCount {
  paid: number
  spentByAll: number
  reserved: number
  spent: number
  unreported: number
}

/** Counts locally and exchanges totals with the table every `SYNC_INTERVAL_MS`. */
abstract class LocalSpender extends BaselineSpender {
  private readonly counts = new Map<string, LocalCount>()
  private syncedAt = -SYNC_INTERVAL_MS

  async reserve (budget: string, tokens: number): Promise<Either<Failure, Reservation>> {
    const count = this.countOf(budget)
    if (this.spendable(count) < tokens) return Left(new Failure('budgetSpent', budget, { ran: 'no' }))
    count.reserved += tokens
    return Right(this.createReservation(budget, tokens))
  }

  settle (reservation: Reservation, bill?: Bill): void {
    const count = this.countOf(reservation.budget)
    count.reserved -= reservation.tokens
    count.spent += bill?.tokens ?? 0
    count.unreported += bill?.tokens ?? 0
  }

  tick (): void {
    const now = this.parts.clock.now().mono
    if (now - this.syncedAt < SYNC_INTERVAL_MS) return
    this.syncedAt = now
    this.sync().catch(err => { throw err })
  }

  protected abstract spendable (count: LocalCount): number

  private countOf (budget: string): LocalCount {
    const count = this.counts.get(budget) ?? { paid: 0, spentByAll: 0, reserved: 0, spent: 0, unreported: 0 }
    this.counts.set(budget, count)
    return count
  }

  private async sync (): Promise<void> {
    const scan = await this.parts.store.scan({ table: budgetTables.budgets, prefix: '', limit: 1000 })
    for (const { value } of scan.map(answer => answer.rows).orDefault([])) {
      const row = budgetRowSchema.parse(value)
      Object.assign(this.countOf(row.budget), { paid: row.paid, spentByAll: row.spent })
    }
    await this.report()
  }

  private async report (): Promise<void> {
    const dirty = [...this.counts].filter(([, count]) => count.unreported > 0)
    if (dirty.length === 0) return
    const reported = dirty.map(([budget, count]) => ({ budget, tokens: count.unreported }))
    const result = await this.table.run('report', dirty.map(([budget]) => budgetRowKey(budget)), rows => {
      for (const { budget, tokens } of reported) {
        const row = rows.get(budgetRowSchema, budgetTables.budgets, budget)
        if (row !== undefined) rows.set(budgetTables.budgets, budget, { ...row, spent: row.spent + tokens })
      }
      return Right({ kind: 'write' })
    })
    if (result.isRight()) for (const { budget, tokens } of reported) this.countOf(budget).unreported -= tokens
  }
}

/** Allots each of the initial VMs an equal share of the paid tokens. */
export class EvenSplit extends LocalSpender {
  /**
   * @param vms - number of shares; a VM started later has none
   */
  constructor (parts: SpenderDeps, private readonly vms: number) {
    super(parts)
  }

  protected spendable (count: LocalCount): number {
    const index = Number(/\d+/.exec(this.parts.holder)?.[0])
    const share = index <= this.vms ? Math.floor(count.paid / this.vms) : 0
    return share - count.reserved - count.spent
  }
}

/** Admits by the last total read from the table, as many gateways do; concurrent VMs can overspend. */
export class SharedTotal extends LocalSpender {
  protected spendable (count: LocalCount): number {
    return count.paid - count.spentByAll - count.unreported - count.reserved
  }
}
