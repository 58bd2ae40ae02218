/**
 * Scans of the allotments of one budget: who holds how much, and what is unspent in all.
 */
import { EitherAsync, type Either } from 'purify-ts'
import { toFailure, type Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { allotmentRowSchema, budgetRowSchema, type AllotmentRow, type BudgetRow } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { Row, TableStore } from '@rosemaryspread/infra/table/tableTypes.js'

/** Rows of one scan. */
const SCAN_LIMIT = 500

/** One allotment with its age. */
export interface AgedAllotment {
  readonly row: AllotmentRow
  readonly version: number
  readonly updatedAt: number
  readonly ageMs: number
}

/** A budget with all its allotments. */
export interface BudgetSurvey {
  readonly budget: BudgetRow | undefined
  readonly allotments: readonly AgedAllotment[]
  /** Milliseconds of the table's clock. */
  readonly now: number
}

/**
 * All rows under a prefix.
 * @param store - the table service
 * @param table - table name
 * @param prefix - prefix of the keys
 * @param after - only keys after this one
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

/**
 * Reads a budget and all its allotments.
 * @param store - the table service
 * @param budget - budget id
 */
export async function surveyBudget (store: TableStore, budget: string): Promise<Either<Failure, BudgetSurvey>> {
  return await EitherAsync<Failure, BudgetSurvey>(async ({ fromPromise }) => {
    const read = await fromPromise(store.read([{ table: budgetTables.budgets, key: budget }]))
    const { rows, now } = await fromPromise(scanAll(store, budgetTables.allotments, `${budget}/`).run())
    const value = read.rows[0]?.value
    return {
      budget: value === undefined ? undefined : budgetRowSchema.parse(value),
      allotments: rows.map(row => agedAllotment(row, now)),
      now
    }
  }).mapLeft(toFailure)
}

function agedAllotment (row: Row, now: number): AgedAllotment {
  const { version, updatedAt } = row
  return { row: allotmentRowSchema.parse(row.value), version, updatedAt, ageMs: Math.max(0, now - updatedAt) }
}
