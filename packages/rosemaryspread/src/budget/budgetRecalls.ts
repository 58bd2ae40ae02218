/**
 * Recalls by way of the table, for VMs that have no links to each other: who lacks tokens writes a
 * row, the feed of its table tells the other holders, and they return what they can spare. There
 * are no transfers between holders.
 */
import { z } from 'zod'
import { Right, type Either } from 'purify-ts'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { FeedRow, TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { recallAskSchema, type BudgetMember, type BudgetPeers, type ConfirmAnswer, type GiveAnswer, type RecallAnswer, type RecallAsk } from './budgetPeers.js'

const RECALL_TABLE = 'recalls'
/** Milliseconds until holders that heard a recall have returned tokens: the feed, a read and a write. */
const RETURN_MS = 60

const recallRowSchema = recallAskSchema.extend({
  /** Holder that lacks tokens. */
  by: z.string(),
  /** Number of the recall at that holder, so that every recall is a change of the row. */
  number: z.number().int()
})

/** What recalls work with. */
export interface RecallParts {
  readonly holder: string
  readonly table: TableStore
  readonly feed: TableFeed
  readonly log: EventLog
  members (): readonly BudgetMember[]
  /** Returns tokens of this holder to the table. */
  onRecall (ask: RecallAsk): Promise<RecallAnswer>
  /** Milliseconds to wait; a timer of the system. */
  pause (ms: number): Promise<unknown>
}

/** The other holders, reached through the table. */
export class BudgetRecalls implements BudgetPeers {
  readonly transfersNothing = true
  private readonly asking = new Map<string, Promise<unknown>>()
  private number = 0

  constructor (private readonly parts: RecallParts) {}

  /** Begins to follow the recalls of others; stops when the answer is called. */
  start (): () => void {
    return this.parts.feed.follow(RECALL_TABLE, {
      replaced: () => {},
      changed: rows => { for (const row of rows) this.heard(row) },
      failed: () => {}
    })
  }

  members (): readonly BudgetMember[] {
    return this.parts.members()
  }

  async give (): Promise<Either<Failure, GiveAnswer>> {
    return Right({})
  }

  async confirmNoTransfers (): Promise<Either<Failure, ConfirmAnswer>> {
    return Right({ none: true })
  }

  /** One row asks all holders, so the asks of one round share it; what was returned shows at the next draw. */
  async recall (_holder: string, ask: RecallAsk): Promise<Either<Failure, RecallAnswer>> {
    const open = this.asking.get(ask.budget) ?? this.ask(ask)
    this.asking.set(ask.budget, open)
    await open
    return Right({ returned: 0 })
  }

  private async ask (ask: RecallAsk): Promise<void> {
    this.number += 1
    const value = { ...ask, by: this.parts.holder, number: this.number }
    const written = await this.parts.table.transact({ checks: [], writes: [{ table: RECALL_TABLE, key: ask.budget, value }] })
    written.ifLeft(({ code }) => { this.parts.log.write('platformFault', { service: 'table', operation: 'recall', code }) })
    if (written.isRight()) await this.parts.pause(RETURN_MS)
    this.asking.delete(ask.budget)
  }

  private heard ({ value }: FeedRow): void {
    const row = recallRowSchema.safeParse(value)
    if (!row.success || row.data.by === this.parts.holder) return
    const { budget, wanted, atLeast } = row.data
    this.parts.onRecall({ budget, wanted, atLeast }).catch((err: unknown) => { this.parts.log.write('fault', { err: String(err) }) })
  }
}
