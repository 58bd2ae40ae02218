/**
 * Executes flushes, which make the bills, returns and transfers of this holder durable in one transaction.
 */
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { BudgetAction, FlushOutcome } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import { budgetTables, segmentKey } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { flushKeys, planFlush, type FlushingHolder } from '@rosemaryspread/decisions/budget/flushPlan.js'
import { FirstAttemptTimes } from './firstAttemptTimes.js'
import type { BudgetTable } from './budgetTable.js'

type FlushAction = Extract<BudgetAction, { kind: 'flush' }>

export class FlushExecutor {
  private readonly since = new FirstAttemptTimes()

  constructor (
    private readonly table: BudgetTable,
    private readonly self: FlushingHolder,
    private readonly log: EventLog
  ) {}

  /** Writes a segment with its bills, returns and transfers. */
  async flush (action: FlushAction): Promise<FlushOutcome> {
    const keys = flushKeys(action, this.self)
    const id = `flush${action.seq}`
    // The segment cannot exist before the first attempt.
    if (this.since.record(id, this.table.tableNow)) this.table.assumeAbsent({ table: budgetTables.segments, key: segmentKey(this.self.holder, action.seq) })
    const request = { ...action, since: this.since.of(id) }
    const done = await this.table.run(id, keys, rows => planFlush(rows, request, this.self))
    if (done.isLeft()) return this.failed(action, done.extract())
    this.since.forget(id)
    const { plan, sentAt } = done.unsafeCoerce()
    if (plan.kind === 'closed') return plan
    this.report(action)
    return { kind: 'durable', sentAt }
  }

  private failed (action: FlushAction, failure: Failure): FlushOutcome {
    this.log.write('budgetFault', { operation: 'flush', seq: action.seq, code: failure.code, detail: failure.message })
    return { kind: 'unavailable' }
  }

  private report (action: FlushAction): void {
    const tokens = action.bills.reduce((sum, bill) => sum + bill.tokens, 0)
    if (action.bills.length > 0) this.log.write('budgetFlushed', { seq: action.seq, bills: action.bills.length, tokens })
    for (const item of action.returns) {
      if (item.tokens > 0) this.log.write('budgetReturned', { budget: item.budget, tokens: item.tokens })
    }
    for (const { budget, tokens, from, to } of action.transfers) {
      this.log.write('budgetTransferred', { budget, tokens, from, to })
    }
  }
}
