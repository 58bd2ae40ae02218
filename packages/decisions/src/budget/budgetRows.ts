/**
 * Arithmetic on budget and allotment rows. All changes of these rows go through these functions; each rejects amounts that
 * are not whole numbers and preserves `spent + allotted <= paid` and `held >= 0`.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '../codes/failure.js'
import type { AllotmentRow, BudgetRow, DeclaredPaid, Transfer } from './budgetTypes.js'

/** Maximum tokens in one operation. */
export const MAX_TOKENS = 1_000_000_000_000

/** A budget row and the allotment row that changes with it. */
export interface RowPair {
  readonly budget: BudgetRow
  readonly allotment: AllotmentRow
}

export interface TransferPair {
  readonly sender: AllotmentRow
  readonly receiver: AllotmentRow
}

/** Whether a value is a whole number of tokens from 0 to {@link MAX_TOKENS}. */
export function isAmount (tokens: unknown): tokens is number {
  return Number.isSafeInteger(tokens) && (tokens as number) >= 0 && (tokens as number) <= MAX_TOKENS
}

function invalidAmount<T> (tokens: unknown): Either<Failure, T> {
  return Left(new Failure('amountInvalid', `${String(tokens)} is not a valid number of tokens`, { ran: 'no' }))
}

function invariantViolation<T> (detail: string): Either<Failure, T> {
  return Left(new Failure('internal', detail, { ran: 'no' }))
}

function closed<T> (row: AllotmentRow): Either<Failure, T> {
  return Left(new Failure('allotmentClosed', `the allotment of ${row.holder} in ${row.budget} is closed`, { ran: 'no' }))
}

/** Tokens of a budget that are neither spent nor allotted. */
export function unallotted (row: BudgetRow): number {
  return row.paid - row.spent - row.allotted
}

/** Creates an empty allotment row. */
export function emptyAllotment (budget: string, holder: string, domain: string): AllotmentRow {
  return { budget, holder, domain, held: 0, settled: 0, state: 'open' }
}

function checkBudget (row: BudgetRow): Either<Failure, BudgetRow> {
  if (row.spent < 0 || row.allotted < 0) return invariantViolation(`negative amounts in budget ${row.budget}`)
  if (row.spent + row.allotted > row.paid) return invariantViolation(`budget ${row.budget} would be overspent`)
  return Right(row)
}

/**
 * Adds paid tokens, or lowers the budget if `tokens` is negative.
 * @param row - undefined for a new budget
 * @param tokens - whole tokens, not 0
 */
export function applyTopUp (row: BudgetRow | undefined, budget: string, tokens: number): Either<Failure, BudgetRow> {
  if (!isAmount(Math.abs(tokens)) || tokens === 0) return invalidAmount(tokens)
  const before = row ?? { budget, paid: 0, spent: 0, allotted: 0 }
  const paid = before.paid + tokens
  if (!Number.isSafeInteger(paid)) return invalidAmount(tokens)
  if (paid < before.spent + before.allotted) {
    const committed = before.spent + before.allotted
    return Left(new Failure('budgetBelowCommitted', `${committed} tokens of ${budget} are spent or allotted`, { ran: 'no' }))
  }
  return Right({ ...before, paid })
}

/**
 * Applies the paid amount of a configuration; ignores a version that is not newer.
 * @param row - undefined for a new budget
 */
export function applyDeclared (row: BudgetRow | undefined, budget: string, declared: DeclaredPaid): BudgetRow {
  const before = row ?? { budget, paid: 0, spent: 0, allotted: 0 }
  if (before.declared !== undefined && before.declared.version >= declared.version) return before
  return withDeclaredPaid({ ...before, declared })
}

function withDeclaredPaid (row: BudgetRow): BudgetRow {
  if (row.declared === undefined) return row
  return { ...row, paid: Math.max(row.declared.tokens, row.spent + row.allotted) }
}

/** Moves billed tokens of an allotment to `spent` of its budget. */
export function foldSettled (pair: RowPair): RowPair {
  const { budget, allotment } = pair
  return {
    budget: { ...budget, spent: budget.spent + allotment.settled, allotted: budget.allotted - allotment.settled },
    allotment: { ...allotment, settled: 0 }
  }
}

/** Allots tokens to a holder. */
export function applyDraw (pair: RowPair, tokens: number, drawId: string): Either<Failure, RowPair> {
  if (!isAmount(tokens)) return invalidAmount(tokens)
  if (pair.allotment.state === 'closed') return closed(pair.allotment)
  const { budget, allotment } = foldSettled(pair)
  const granted = { ...allotment, held: allotment.held + tokens, lastDraw: { drawId, tokens } }
  return checkBudget({ ...budget, allotted: budget.allotted + tokens })
    .map(row => ({ budget: row, allotment: granted }))
}

/** Bills tokens against an allotment. */
export function applySettle (row: AllotmentRow, tokens: number): Either<Failure, AllotmentRow> {
  if (!isAmount(tokens)) return invalidAmount(tokens)
  if (row.state === 'closed') return closed(row)
  if (tokens > row.held) return invariantViolation(`${row.holder} settles ${tokens} tokens with only ${row.held} allotted in ${row.budget}`)
  return Right({ ...row, held: row.held - tokens, settled: row.settled + tokens })
}

/** Returns unspent tokens to the budget. */
export function applyReturn (pair: RowPair, tokens: number): Either<Failure, RowPair> {
  if (!isAmount(tokens)) return invalidAmount(tokens)
  if (pair.allotment.state === 'closed') return closed(pair.allotment)
  if (tokens > pair.allotment.held) return invariantViolation(`${pair.allotment.holder} returns more than its allotment`)
  const { budget, allotment } = foldSettled(pair)
  return checkBudget({ ...budget, allotted: budget.allotted - tokens })
    .map(row => ({ budget: withDeclaredPaid(row), allotment: { ...allotment, held: allotment.held - tokens } }))
}

/** Records a transfer between two holders. */
export function applyTransfer (pair: TransferPair, transfer: Transfer): Either<Failure, TransferPair> {
  const { sender, receiver } = pair
  if (!isAmount(transfer.tokens)) return invalidAmount(transfer.tokens)
  if (sender.state === 'closed') return closed(sender)
  if (receiver.state === 'closed') return closed(receiver)
  if (sender.domain !== receiver.domain) return invariantViolation('transfer between different failure domains')
  if (transfer.tokens > sender.held) return invariantViolation(`${sender.holder} transferred more than its allotment in ${sender.budget}`)
  return Right({
    sender: { ...sender, held: sender.held - transfer.tokens },
    receiver: { ...receiver, held: receiver.held + transfer.tokens }
  })
}

/**
 * Closes the allotments of terminated holders of one domain: bills what they owe and returns the rest.
 * @param allotments - open rows of the terminated holders
 * @param billed - tokens of runs that are not billed in a segment
 */
export function applyClose (
  budget: BudgetRow, allotments: readonly AllotmentRow[], billed: number
): Either<Failure, { readonly budget: BudgetRow, readonly allotments: readonly AllotmentRow[] }> {
  if (!isAmount(billed)) return invalidAmount(billed)
  const alreadyClosed = allotments.find(row => row.state === 'closed')
  if (alreadyClosed !== undefined) return closed(alreadyClosed)
  const held = allotments.reduce((sum, row) => sum + row.held, 0)
  const settled = allotments.reduce((sum, row) => sum + row.settled, 0)
  if (billed > held) return invariantViolation(`${billed} tokens are owed but only ${held} are allotted in ${budget.budget}`)
  const after = { ...budget, spent: budget.spent + settled + billed, allotted: budget.allotted - settled - held }
  return checkBudget(after).map(row => ({
    budget: withDeclaredPaid(row),
    allotments: allotments.map(item => ({ ...item, held: 0, settled: 0, state: 'closed' as const }))
  }))
}
