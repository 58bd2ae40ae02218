/**
 * Draws: moves tokens from a budget into the allotment of this holder.
 */
import type { Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { BudgetAction, DrawOutcome } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import { drawKeys, planDraw, type DrawPlan } from '@rosemaryspread/decisions/budget/budgetPlans.js'
import type { BudgetTable, Committed } from './budgetTable.js'
import { surveyBudget } from './budgetSharing.js'

/** Who draws; `holders` is asked each time. */
export interface DrawingHolder {
  readonly holder: string
  readonly domain: string
  readonly shareDivisor: number
  holders (): number
}

type DrawAction = Extract<BudgetAction, { kind: 'draw' }>

/** Carries out draws. */
export class BudgetDrawing {
  constructor (
    private readonly table: BudgetTable,
    private readonly self: DrawingHolder,
    private readonly log: EventLog
  ) {}

  /**
   * Draws.
   * @param action - what the ledger wants
   */
  async draw (action: DrawAction): Promise<DrawOutcome> {
    const { holder, domain, shareDivisor } = this.self
    const drawer = { holder, domain, shareDivisor, holders: this.self.holders() }
    const keys = drawKeys(holder, action.budget)
    const done = await this.table.run(action.drawId, keys, rows => planDraw(rows, action, drawer))
    return await this.outcome(action, done)
  }

  private async outcome (action: DrawAction, done: Either<Failure, Committed<DrawPlan>>): Promise<DrawOutcome> {
    if (done.isLeft()) return this.failed(action, done.extract() as Failure)
    const { plan, sentAt } = done.unsafeCoerce()
    if (plan.kind === 'closed' || plan.kind === 'unknownBudget') return { kind: plan.kind }
    if (plan.kind === 'short') return await this.short(action, plan.left)
    const { tokens, left } = plan
    this.log.write('budgetDrawn', { budget: action.budget, tokens, left })
    return { kind: 'granted', tokens, left, sentAt }
  }

  /** Only when requests wait does it matter who holds the rest. */
  private async short (action: DrawAction, left: number): Promise<DrawOutcome> {
    const sentAt = this.table.now()
    if (action.atLeast === 0) return { kind: 'short', left, elsewhere: Infinity, sentAt }
    const survey = await surveyBudget(this.table.store, action.budget)
    if (survey.isLeft()) return this.failed(action, survey.extract() as Failure)
    const { budget, allotments } = survey.unsafeCoerce()
    if (budget === undefined) return { kind: 'unknownBudget' }
    const settled = allotments.reduce((sum, item) => sum + item.row.settled, 0)
    const unspent = budget.paid - budget.spent - settled
    return { kind: 'short', left, elsewhere: unspent - left, unspent, sentAt }
  }

  private failed (action: DrawAction, failure: Failure): DrawOutcome {
    this.log.write('budgetFault', { operation: 'draw', budget: action.budget, code: failure.code, detail: failure.message })
    return { kind: 'unavailable' }
  }
}
