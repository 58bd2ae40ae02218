/**
 * Commands `budget topup`, `budget lower` and `budget show`.
 */
import { budgetAnswerSchema, type BudgetAnswer } from '../admin/adminTypes.js'
import type { CtlAction, CtlOutput } from './ctlTypes.js'
import { formatAge, formatTable } from './textTable.js'

/** Arguments of `budget topup` and `budget lower`. */
export interface TopUpArgs {
  readonly budget: string
  readonly tokens: number
  readonly operationId?: string
  readonly author: string
}

function budgetPath (budget: string): string {
  return `/admin/v1/budgets/${encodeURIComponent(budget)}`
}

/** `budget topup`: prints the operation id before sending, so that an interrupted command can be repeated without adding twice. */
export function topUpBudget (args: TopUpArgs): CtlAction {
  return async ({ client, io }) => {
    const { budget, tokens, author } = args
    const operationId = args.operationId ?? io.newId()
    io.err(`operation id: ${operationId}`)
    const answer = await client.post(`${budgetPath(budget)}/topups`, { operationId, tokens, author }, budgetAnswerSchema)
    return answer.map(budgetOutput)
  }
}

/** `budget lower`: a negative top-up, refused if it would go below the spent and allotted tokens. */
export function lowerBudget (args: TopUpArgs): CtlAction {
  return topUpBudget({ ...args, tokens: -args.tokens })
}

/** `budget show` */
export function showBudget (budget: string): CtlAction {
  return async ({ client }) => (await client.get(budgetPath(budget), budgetAnswerSchema)).map(budgetOutput)
}

function budgetOutput (value: BudgetAnswer): CtlOutput {
  const { budget, paid, spent, allotted, inDoubt, holders } = value
  const totalsTable = formatTable(['BUDGET', 'PAID', 'SPENT', 'ALLOTTED', 'IN DOUBT', 'LEFT'],
    [[budget, paid, spent, allotted, inDoubt, paid - spent - allotted]])
  const rows = holders.map(({ holder, held, ageMs, state }) => [holder, held, state, formatAge(ageMs)])
  const holdersTable = rows.length === 0 ? '' : `\n\n${formatTable(['HOLDER', 'HELD', 'STATE', 'HEARD'], rows)}`
  return { value, text: totalsTable + holdersTable }
}
