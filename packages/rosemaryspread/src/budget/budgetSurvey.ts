/**
 * Scans the allotments of one budget: what each holder holds, and what is unspent in total.
 */
import { EitherAsync, type Either } from 'purify-ts'
import { toFailure, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { allotmentRowSchema, budgetRowSchema, type AllotmentRow, type BudgetRow } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { Row, TableStore } from '@rosemaryspread/infra/table/tableTypes.js'

const SCAN_LIMIT = 500

export interface AgedAllotment {
  readonly row: AllotmentRow
  readonly version: number
  readonly updatedAt: number
  /** Milliseconds since the row was written, by the table's clock. */
  readonly ageMs: number
}

export interface BudgetSurvey {
  readonly budget: BudgetRow | undefined
  readonly allotments: readonly AgedAllotment[]
  /** Milliseconds of the table's clock. */
  readonly now: number
}

/**
 * Reads all rows under a key prefix, page by page.
 * @param after - exclusive lower bound of the keys
 */
export function scanAll (
  store: TableStore, table: string, prefix: string, after?: string
): EitherAsync<Failure, { readonly rows: readonly Row[], readonly now: number }> {
  return EitherAsync(async ({ fromPromise }) => {
    const rows: Row[] = []
    let next = after
    let now = 0
    do {
      const request = { table, prefix, limit: SCAN_LIMIT, ...(next === undefined ? {} : { after: next }) }
      const answer = await fromPromise(store.scan(request))
      rows.push(...answer.rows)
      next = answer.next
      now = answer.now
    } while (next !== undefined)
    return { rows, now }
  })
}

/** Reads a budget and the allotments of all its holders; the reads are not one transaction. */
export async function surveyBudget (store: TableStore, budget: string): Promise<Either<Failure, BudgetSurvey>> {
  return await EitherAsync<Failure, BudgetSurvey>(async ({ fromPromise }) => {
    const read = await fromPromise(store.read([{ table: budgetTables.budgets, key: budget }]))
    const { rows, now } = await fromPromise(scanAll(store, budgetTables.allotments, `${budget}/`).run())
    const value = read.rows[0]?.value
    return {
      budget: value === undefined ? undefined : budgetRowSchema.parse(value),
      allotments: rows.map(row => toAgedAllotment(row, now)),
      now
    }
  }).mapLeft(toFailure)
}

/** Tokens of bills that no draw or return has added to the spent ones yet. */
export function settledTokens ({ allotments }: Pick<BudgetSurvey, 'allotments'>): number {
  return allotments.reduce((sum, { row }) => sum + row.settled, 0)
}

function toAgedAllotment (row: Row, now: number): AgedAllotment {
  const { version, updatedAt } = row
  return { row: allotmentRowSchema.parse(row.value), version, updatedAt, ageMs: Math.max(0, now - updatedAt) }
}
