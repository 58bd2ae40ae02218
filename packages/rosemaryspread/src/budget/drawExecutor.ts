/**
 * Executes draws, which move tokens from a budget into the allotment of this holder.
 */
import { Either } from 'purify-ts'
import type { Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import type { BudgetAction, DeclaredPaid, DrawOutcome } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import { drawKeys, planDraw, type DrawRequest, type DrawPlan } from '@rosemaryspread/decisions/budget/budgetPlans.js'
import type { BudgetTable } from './budgetTable.js'
import { FirstAttemptTimes } from './firstAttemptTimes.js'
import { settledTokens, surveyBudget } from './budgetSurvey.js'

/** The drawing holder; `holders` is read for each draw. */
export interface DrawingHolder {
  readonly holder: string
  readonly domain: string
  readonly policy: Pick<BudgetPolicy, 'shareDivisor' | 'fairShareRatio'>
  holders (): number
  /** Amount paid for a budget according to the configuration; undefined where top-ups define it. */
  declared (budget: string): DeclaredPaid | undefined
}

export type DrawAction = Extract<BudgetAction, { kind: 'draw' }>

export class DrawExecutor {
  private readonly since = new FirstAttemptTimes()

  constructor (
    private readonly table: BudgetTable,
    private readonly self: DrawingHolder,
    private readonly log: EventLog
  ) {}

  /**
   * Draws for several budgets in one transaction.
   * @param actions - at most one for each budget
   */
  async draw (actions: readonly DrawAction[]): Promise<readonly DrawOutcome[]> {
    const { holder, domain, policy: { shareDivisor, fairShareRatio } } = this.self
    const drawer = { holder, domain, shareDivisor, fairShareRatio, holders: this.self.holders() }
    const keys = actions.flatMap(action => drawKeys(holder, action.budget))
    const ids = actions.map(action => action.drawId)
    for (const id of ids) this.since.record(id, this.table.tableNow)
    const done = await this.table.run(ids, keys, rows =>
      Either.sequence(actions.map(action => planDraw(rows, this.toDrawRequest(action), drawer))).map(toBatch))
    if (done.isLeft()) return await this.retryOrFail(actions, done.extract())
    const { plan, sentAt } = done.unsafeCoerce()
    for (const id of ids) this.since.forget(id)
    return await Promise.all(plan.plans.map(async (item, index) => await this.outcome(actions[index], item, sentAt)))
  }

  private toDrawRequest ({ report, ...action }: DrawAction): DrawRequest {
    const declared = this.self.declared(action.budget)
    return {
      ...action,
      ...(declared === undefined ? {} : { declared }),
      ...(report === undefined ? {} : { report: { ...report, since: this.since.of(action.drawId) } })
    }
  }

  /** Retries each draw alone, so that a malformed row fails only the draw of its own budget. */
  private async retryOrFail (actions: readonly DrawAction[], failure: Failure): Promise<readonly DrawOutcome[]> {
    if (failure.code !== 'internal' || actions.length === 1) return actions.map(action => this.failed(action, failure))
    const outcomes = await Promise.all(actions.map(async action => await this.draw([action])))
    return outcomes.flat()
  }

  private async outcome (action: DrawAction | undefined, plan: DrawPlan, sentAt: Instant): Promise<DrawOutcome> {
    if (action === undefined) return { kind: 'unavailable' }
    if (plan.kind === 'closed' || plan.kind === 'unknownBudget') return { kind: plan.kind }
    if (plan.kind === 'short') return await this.short(action, plan.left)
    const { tokens, left } = plan
    const spending = plan.kind === 'write' ? { paid: plan.paid, spent: plan.spent } : undefined
    this.log.write('budgetDrawn', { budget: action.budget, tokens, left, ...spending })
    const fleet = spending === undefined ? {} : { fleet: { ...spending, holders: this.self.holders() } }
    return { kind: 'granted', tokens, left, sentAt, ...fleet }
  }

  /** Surveys the budget only if requests wait, as only then it matters who holds the rest. */
  private async short (action: DrawAction, left: number): Promise<DrawOutcome> {
    const sentAt = this.table.now()
    if (action.atLeast === 0) return { kind: 'short', left, elsewhere: Infinity, sentAt }
    const survey = await surveyBudget(this.table.store, action.budget)
    if (survey.isLeft()) return this.failed(action, survey.extract())
    const found = survey.unsafeCoerce()
    const { budget } = found
    if (budget === undefined) return { kind: 'unknownBudget' }
    const unspent = budget.paid - budget.spent - settledTokens(found)
    return { kind: 'short', left, elsewhere: unspent - left, unspent, sentAt }
  }

  private failed (action: DrawAction, failure: Failure): DrawOutcome {
    this.log.write('budgetFault', { operation: 'draw', budget: action.budget, code: failure.code, detail: failure.message })
    return { kind: 'unavailable' }
  }
}

/** Plans of one transaction, which is written if any of them changes a row. */
interface DrawBatch {
  readonly kind: 'write' | 'done'
  readonly plans: readonly DrawPlan[]
}

function toBatch (plans: readonly DrawPlan[]): DrawBatch {
  const isChanged = (plan: DrawPlan): boolean => plan.kind === 'write' || (plan.kind === 'short' && plan.isRowChanged === true)
  return { kind: plans.some(isChanged) ? 'write' : 'done', plans }
}
