/**
 * Executes the actions that the ledger decides on: draws, flushes, requests to peers, and replies to reservations.
 * Reports the outcome of each back to the ledger as an event.
 */
import { toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { BudgetOwnership } from '@rosemaryspread/decisions/budget/budgetOwners.js'
import { defaultBudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import type { BudgetAction, BudgetEvent, GrantedTokens } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import { TransferRequester } from './transferRequester.js'
import { DrawExecutor, type DrawAction } from './drawExecutor.js'
import type { BudgetDriverParts, GrantOutcome } from './budgetDriverTypes.js'
import { FlushExecutor } from './flushExecutor.js'
import type { BudgetRegistry } from './budgetRegistry.js'
import type { BudgetTable } from './budgetTable.js'
import { DrawQueue } from './drawQueue.js'
import type { OpenReservations } from './openReservations.js'

/** Components that the actions use. */
export interface BudgetActionContext {
  readonly table: BudgetTable
  readonly registry: BudgetRegistry
  readonly owners: BudgetOwnership
  readonly reservations: OpenReservations
  /** Passes an event to the ledger. */
  readonly dispatch: (event: BudgetEvent) => void
}

/** Executes the actions of one holder. */
export class BudgetActionExecutor {
  private readonly drawExecutor: DrawExecutor
  private readonly draws: DrawQueue
  private readonly flushExecutor: FlushExecutor
  private readonly transferRequester: TransferRequester
  /** Callbacks of recalls that wait until the returned tokens of a budget are in the table. */
  private readonly returnWaiters = new Map<string, Array<() => void>>()
  private inDoubt = 0

  constructor (private readonly parts: BudgetDriverParts, private readonly targets: BudgetActionContext) {
    const { holder, domain, store, peers, clock, log } = parts
    const { table, registry, owners, dispatch } = targets
    const policy = parts.policy ?? defaultBudgetPolicy
    this.drawExecutor = new DrawExecutor(table, { holder, domain, policy, holders: () => owners.count, declared: parts.declared ?? (() => undefined) }, log)
    this.draws = new DrawQueue(policy)
    this.flushExecutor = new FlushExecutor(table, { holder, domain }, log)
    const isRegistered = (): boolean => registry.isRegistered
    this.transferRequester = new TransferRequester({ holder, domain, peers, store, clock, log, isRegistered, dispatch })
  }

  /** Whether no transfer request is pending. */
  get isIdle (): boolean {
    return this.transferRequester.isIdle
  }

  /** Total tokens in doubt at the time their allotments were closed, since the start. */
  get inDoubtTokens (): number {
    return this.inDoubt
  }

  /** Sends due draws, retries pending transfer requests and renews the registration of this holder. */
  tick (): void {
    this.run(this.performDraws(this.draws.dequeueDue(this.parts.clock.now())))
    this.run(this.transferRequester.retryPending())
    this.run(this.targets.registry.register())
  }

  /** Starts an action without awaiting it; a failure is logged. */
  perform (action: BudgetAction): void {
    const { reservations } = this.targets
    switch (action.kind) {
      case 'admit': reservations.answer(action.reservationId); break
      case 'refuse': reservations.answer(action.reservationId, action.failure); break
      case 'draw': this.run(this.performDraws(this.draws.add(action, this.parts.clock.now()))); break
      case 'flush': this.run(this.performFlush(action)); break
      case 'requestTransfer': this.run(this.transferRequester.requestTransfer(action)); break
      case 'requestGrant': this.run(this.requestGrant(action)); break
      case 'handOver': this.run(this.handOver(action)); break
      case 'handBack': this.run(this.handBack(action)); break
      case 'recall': this.run(this.transferRequester.recall(action)); break
      case 'closed': this.reportClosed(action); break
      case 'answerTransfer':
      case 'answerGrant':
      case 'answerRecall': break
    }
  }

  /** Resolves when the returned tokens of a budget are in the table. */
  async returned (budget: string): Promise<void> {
    await new Promise<void>(resolve => {
      const list = this.returnWaiters.get(budget) ?? []
      list.push(resolve)
      this.returnWaiters.set(budget, list)
    })
  }

  /** Opens a link to an owner of a budget. */
  connectOwner (budget: string): void {
    if (this.parts.grantRequester !== undefined) this.run(this.parts.grantRequester.connectOwner(budget))
  }

  private run (work: Promise<void>): void {
    work.catch((err: unknown) => this.parts.log.write('fault', { err: toFailure(err).message }))
  }

  private async performDraws (actions: readonly DrawAction[]): Promise<void> {
    if (actions.length === 0) return
    const outcomes = await this.drawExecutor.draw(actions)
    this.draws.done(actions)
    actions.forEach(({ drawId }, index) => {
      this.targets.dispatch({ kind: 'drawAnswered', drawId, outcome: outcomes[index] ?? { kind: 'unavailable' } })
    })
  }

  private async requestGrant ({ giftId, budget, tokens, priority }: Extract<BudgetAction, { kind: 'requestGrant' }>): Promise<void> {
    let outcome: GrantOutcome = { tokens: 0, isReached: false }
    try {
      outcome = await this.parts.grantRequester?.ask(giftId, budget, tokens, priority) ?? outcome
    } finally {
      // Without this event the ledger would never request a grant again.
      this.targets.dispatch({ kind: 'grantAnswered', giftId, budget, ...outcome })
    }
  }

  private async handOver ({ budget, tokens }: Extract<BudgetAction, { kind: 'handOver' }>): Promise<void> {
    const isTaken = await this.parts.grantRequester?.handOver(budget, tokens) ?? false
    this.parts.log.write('budgetHandedOver', { budget, tokens, isTaken })
  }

  private async handBack ({ grants }: Extract<BudgetAction, { kind: 'handBack' }>): Promise<void> {
    const { kept, short } = await this.parts.grantRequester?.handBack(grants) ?? { kept: grants, short: [] }
    for (const { budget, tokens } of kept) if (tokens > 0) this.targets.dispatch({ kind: 'handoverReceived', budget, tokens })
    if (sumOf(grants) > 0) this.parts.log.write('budgetHandedBack', { budgets: grants.length, tokens: sumOf(grants), kept: sumOf(kept) })
    for (const budget of short) this.targets.dispatch({ kind: 'ownerShort', budget })
  }

  private async performFlush (action: Extract<BudgetAction, { kind: 'flush' }>): Promise<void> {
    const outcome = await this.flushExecutor.flush(action)
    this.targets.dispatch({ kind: 'flushAnswered', seq: action.seq, outcome })
    if (outcome.kind === 'unavailable') return
    for (const item of action.returns) {
      for (const resolve of this.returnWaiters.get(item.budget) ?? []) resolve()
      this.returnWaiters.delete(item.budget)
    }
  }

  private reportClosed (action: Extract<BudgetAction, { kind: 'closed' }>): void {
    this.inDoubt += action.inDoubt
    this.targets.registry.markUnregistered()
    this.parts.log.write('allotmentClosed', { budget: action.budget, inDoubt: action.inDoubt })
  }
}

function sumOf (grants: readonly GrantedTokens[]): number {
  return grants.reduce((sum, { tokens }) => sum + tokens, 0)
}
