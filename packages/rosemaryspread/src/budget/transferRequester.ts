/**
 * Requests tokens from other holders: transfers within the failure domain, and recalls from all domains. A request whose
 * response was lost is repeated under the same id until its outcome is known, so that granted tokens are not lost.
 */
import type { Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { allotmentKey, budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { allotmentRowSchema, transferSchema, type BudgetAction, type BudgetEvent } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { surveyBudget, type AgedAllotment } from './budgetSurvey.js'
import type { BudgetPeers, TransferResponse, TransferRequest } from './budgetPeers.js'

type TransferRequestAction = Extract<BudgetAction, { kind: 'requestTransfer' }>
type RecallAction = Extract<BudgetAction, { kind: 'recall' }>

/** A transfer request whose outcome is not known yet. */
interface PendingTransferRequest {
  readonly granter: string
  readonly ask: TransferRequest
}

/** Pending requests retried in one tick. */
const RETRIES_PER_TICK = 8

export interface TransferRequesterParts {
  readonly holder: string
  readonly domain: string
  readonly peers: BudgetPeers
  readonly store: TableStore
  readonly clock: Clock
  readonly log: EventLog
  /** Whether this holder is registered; recovery would not find its runs otherwise. */
  isRegistered (): boolean
  dispatch (event: BudgetEvent): void
}

/** Sends transfer requests and recalls to other holders. */
export class TransferRequester {
  private readonly open = new Map<string, PendingTransferRequest>()
  private isRetrying = false

  constructor (private readonly parts: TransferRequesterParts) {}

  /** Requests a transfer from one holder of the local domain after another until enough was granted. */
  async requestTransfer (action: TransferRequestAction): Promise<void> {
    let missing = action.atLeast
    for (const granter of this.domainPeers()) {
      if (missing <= 0) break
      const transferId = `${action.transferId}/${granter}`
      const { holder: to, domain } = this.parts
      missing -= await this.ask({ granter, ask: { transferId, budget: action.budget, to, domain, wanted: action.tokens, atLeast: missing } })
    }
    this.parts.dispatch({ kind: 'transferAnswered', transferId: action.transferId })
  }

  /** Retries requests whose response was lost; called on each tick. */
  async retryPending (): Promise<void> {
    if (this.isRetrying || this.open.size === 0) return
    this.isRetrying = true
    const present = new Set(this.domainPeers())
    for (const item of [...this.open.values()].slice(0, RETRIES_PER_TICK)) {
      if (present.has(item.granter)) await this.ask({ granter: item.granter, ask: { ...item.ask, isRepeat: true } })
      if (this.open.has(item.ask.transferId)) await this.resolveFromTable(item)
    }
    this.isRetrying = false
  }

  /**
   * Looks for the outcome in the table: the granter may have recorded the transfer, and can no longer do so once its
   * allotment is closed.
   */
  private async resolveFromTable (item: PendingTransferRequest): Promise<void> {
    const { transferId, budget } = item.ask
    const requestedAt = this.parts.clock.now()
    const read = await this.parts.store.read([
      { table: budgetTables.transfers, key: transferId },
      { table: budgetTables.allotments, key: allotmentKey(budget, item.granter) }
    ])
    if (read.isLeft()) return
    const [recorded, allotment] = read.unsafeCoerce().rows
    const isOpen = allotment !== null && allotment !== undefined && allotmentRowSchema.parse(allotment.value).state === 'open'
    if ((recorded === null || recorded === undefined) && isOpen) return
    if (!this.open.delete(transferId) || recorded === null || recorded === undefined) return
    this.parts.dispatch({ kind: 'transferAnswered', transferId, transfer: transferSchema.parse(recorded.value), requestedAt })
  }

  /** Whether no request is pending. */
  get isIdle (): boolean {
    return this.open.size === 0
  }

  /** Requests all other holders of a budget to return what they can. */
  async recall (action: RecallAction): Promise<void> {
    const { budget, tokens, atLeast, recallId } = action
    this.parts.log.write('budgetRecalled', { budget, tokens })
    const survey = await surveyBudget(this.parts.store, budget)
    const others = survey.map(found => found.allotments).orDefault([])
      .filter(item => item.row.holder !== this.parts.holder && item.row.state === 'open' && item.row.held > 0)
    const answers = await Promise.all(others.map(async item => await this.recallFrom(item, tokens, atLeast)))
    const returned = answers.reduce((sum, item) => sum + item.returned, 0)
    const unreachable = answers.reduce((sum, item) => sum + item.unreachable, 0)
    this.parts.dispatch({ kind: 'recallAnswered', recallId, returned, unreachable })
  }

  private async ask (item: PendingTransferRequest): Promise<number> {
    const requestedAt = this.parts.clock.now()
    this.open.set(item.ask.transferId, item)
    const answer: Either<Failure, TransferResponse> = await this.parts.peers.requestTransfer(item.granter, item.ask)
    if (answer.isLeft()) {
      const failure = answer.extract()
      if (failure.ran === 'no') this.open.delete(item.ask.transferId)
      this.parts.log.write('budgetFault', { operation: 'give', budget: item.ask.budget, peer: item.granter, code: failure.code })
      return 0
    }
    this.open.delete(item.ask.transferId)
    const { transfer } = answer.unsafeCoerce()
    if (transfer === undefined || transfer.transferId !== item.ask.transferId || transfer.to !== this.parts.holder) return 0
    this.parts.dispatch({ kind: 'transferAnswered', transferId: transfer.transferId, transfer, requestedAt })
    return transfer.tokens
  }

  private domainPeers (): readonly string[] {
    if (!this.parts.isRegistered()) return []
    return this.parts.peers.members()
      .filter(member => member.domain === this.parts.domain && member.holder !== this.parts.holder)
      .map(member => member.holder)
  }

  private async recallFrom (item: AgedAllotment, wanted: number, atLeast: number): Promise<{ returned: number, unreachable: number }> {
    const { budget, holder, held } = item.row
    const isMember = this.parts.peers.members().some(member => member.holder === holder)
    if (!isMember) return { returned: 0, unreachable: held }
    const answer = await this.parts.peers.recall(holder, { budget, wanted, atLeast })
    return answer.caseOf({
      Left: () => ({ returned: 0, unreachable: held }),
      Right: ({ returned }) => ({ returned, unreachable: 0 })
    })
  }
}
