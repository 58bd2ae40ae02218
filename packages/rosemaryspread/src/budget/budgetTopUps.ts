/**
 * Top-ups, adjustments and the view of a budget for operators.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { planTopUp, topUpKeys } from '@rosemaryspread/decisions/budget/budgetPlans.js'
import type { TopUpRow } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { BudgetAnswer } from '@rosemaryspread/operators/admin/adminTypes.js'
import { settledTokens, surveyBudget, type AgedAllotment, type BudgetSurvey } from './budgetSurvey.js'
import type { BudgetTable } from './budgetTable.js'

/** Returns whether an allotment is in doubt: its holder may be unable to spend it any more. */
export type IsInDoubt = (item: AgedAllotment) => boolean

/** Budget operations of operators. */
export class BudgetTopUps {
  constructor (private readonly table: BudgetTable, private readonly isInDoubt: IsInDoubt) {}

  /**
   * Adds paid tokens once for each operation id, or lowers the budget when `tokens` is negative. A failure with `ran:
   * unknown` or `yes` is resolved by repeating the same call.
   */
  async topUp (topUp: TopUpRow): Promise<Either<Failure, BudgetAnswer>> {
    const keys = topUpKeys(topUp.operationId, topUp.budget)
    const done = await this.table.run(topUp.operationId, keys, rows => planTopUp(rows, topUp))
    if (done.isLeft()) return Left(this.withUnknownOutcome(done.extract(), topUp.operationId))
    return (await this.show(topUp.budget)).mapLeft(writtenFailure)
  }

  /** Reads a budget with all its holders. */
  async show (budget: string): Promise<Either<Failure, BudgetAnswer>> {
    const survey = await surveyBudget(this.table.store, budget)
    return survey.chain(found => this.answer(budget, found))
  }

  private answer (id: string, survey: BudgetSurvey): Either<Failure, BudgetAnswer> {
    const { budget, allotments } = survey
    if (budget === undefined) return Left(new Failure('budgetUnknown', `there is no budget ${id}`, { ran: 'no' }))
    const settled = settledTokens(survey)
    const inDoubt = allotments.filter(this.isInDoubt).reduce((sum, item) => sum + item.row.held, 0)
    const holders = allotments
      .filter(item => item.row.state === 'open')
      .map(({ row, ageMs }) => ({ holder: row.holder, held: row.held, ageMs, state: row.state }))
    const { paid, spent, allotted } = budget
    return Right({ budget: id, paid, spent: spent + settled, allotted: allotted - settled, inDoubt, holders })
  }

  /** Reports the outcome as unknown where a write of an earlier attempt may have taken effect without an answer. */
  private withUnknownOutcome (failure: Failure, operationId: string): Failure {
    if (!this.table.isOutcomeUnknown(operationId)) return failure
    return new Failure('platformOutcomeUnknown', failure.message, { ran: 'unknown', retryAfterMs: 1000 })
  }
}

/** The top-up was written; only the budget could not be read for the answer. */
function writtenFailure ({ code, message, retryAfterMs }: Failure): Failure {
  return new Failure(code, `the top-up was written; ${message}`, { ran: 'yes', retryAfterMs })
}
