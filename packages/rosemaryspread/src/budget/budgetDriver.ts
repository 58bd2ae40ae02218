/**
 * The shell around the budget ledger: request handling and peers come in as events, and the
 * actions of the ledger go out to the table service and the peers. It has no timer: its owner
 * calls `tick` several times a second.
 */
import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import { BudgetLedger } from '@rosemaryspread/decisions/budget/budgetLedger.js'
import { defaultBudgetPolicy, type BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import type { Bill, BudgetAction, BudgetEvent, BudgetView, TopUpRow } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { BudgetAnswer } from '@rosemaryspread/operators/admin/adminTypes.js'
import type { TableStore } from '@rosemaryspread/platform/table/tableTypes.js'
import { BudgetAsking } from './budgetAsking.js'
import { BudgetDrawing, type DrawAction } from './budgetDrawing.js'
import { DrawQueue } from './drawQueue.js'
import { BudgetFlushing } from './budgetFlushing.js'
import type { BudgetPeers, ConfirmAnswer, ConfirmAsk, GiveAnswer, GiveAsk, RecallAnswer, RecallAsk } from './budgetPeers.js'
import type { BudgetPort, Reservation } from './budgetPort.js'
import type { AgedAllotment } from './budgetSharing.js'
import { BudgetRecovery, type ListEvidence } from './budgetRecovery.js'
import type { RecoveryRunners } from './budgetRecoveryRuns.js'
import { BudgetRegistry } from './budgetRegistry.js'
import { BudgetTable } from './budgetTable.js'
import { BudgetTopUps } from './budgetTopUps.js'

/** What the driver is built from. */
export interface BudgetDriverParts {
  readonly holder: string
  readonly domain: string
  /** Name of the addresses on which this process listens. */
  readonly place?: string | undefined
  readonly store: TableStore
  readonly peers: BudgetPeers
  readonly clock: Clock
  readonly log: EventLog
  readonly policy?: BudgetPolicy
  /** Runners to ask on recovery; without them nothing is recovered. */
  readonly runners?: RecoveryRunners
}

/** Counters for metrics. */
export interface BudgetCounters {
  reserved: number
  refused: number
  tableWrites: number
  tableConflicts: number
  inDoubtTokens: number
}

type Waiter = (result: Either<Failure, Reservation>) => void

interface WaitingReservation {
  readonly reservation: Reservation
  readonly resolve: Waiter
}

/** Budgets of this VM. */
export class BudgetDriver implements BudgetPort {
  private readonly ledger: BudgetLedger
  private readonly table: BudgetTable
  private readonly drawing: BudgetDrawing
  private readonly draws: DrawQueue
  private readonly flushing: BudgetFlushing
  private readonly asking: BudgetAsking
  private readonly topUps: BudgetTopUps
  private readonly registry: BudgetRegistry
  private readonly recovery: BudgetRecovery | undefined
  private readonly policy: BudgetPolicy
  private readonly waiting = new Map<string, WaitingReservation>()
  /** Peers that wait until tokens of a budget are back in the table. */
  private readonly returnWaiters = new Map<string, Array<() => void>>()
  private drainWaiters: Array<() => void> = []
  private reservations = 0
  private readonly counts = { reserved: 0, refused: 0, inDoubtTokens: 0 }

  constructor (private readonly parts: BudgetDriverParts) {
    const { holder, domain, store, peers, clock, log } = parts
    this.policy = parts.policy ?? defaultBudgetPolicy
    this.ledger = new BudgetLedger(holder, this.policy)
    this.table = new BudgetTable(store, clock)
    const { shareDivisor } = this.policy
    this.drawing = new BudgetDrawing(this.table, { holder, domain, shareDivisor, holders: () => peers.members().length + 1 }, log)
    this.draws = new DrawQueue(this.policy.flushMs)
    this.flushing = new BudgetFlushing(this.table, { holder, domain }, log)
    this.registry = new BudgetRegistry(this.table, { holder, domain, place: parts.place })
    const isRegistered = (): boolean => this.registry.isRegistered
    this.asking = new BudgetAsking({ holder, domain, peers, store, clock, log, isRegistered, dispatch: event => this.dispatch(event) })
    this.recovery = this.recoveryOf(parts)
    this.topUps = new BudgetTopUps(this.table, item => this.isInDoubt(item))
  }

  async reserve (budget: string, tokens: number, giveUpAfterMs: number): Promise<Either<Failure, Reservation>> {
    this.reservations += 1
    const reservationId = `${this.parts.holder}.r${this.reservations}`
    const reservation = { reservationId, budget, tokens }
    return await new Promise(resolve => {
      this.waiting.set(reservationId, { reservation, resolve })
      this.dispatch({ kind: 'reserve', reservationId, budget, tokens, giveUpAfterMs })
    })
  }

  confirm (reservation: Reservation): Either<Failure, void> {
    if (this.ledger.isValid(reservation.reservationId, this.parts.clock.now())) return Right(undefined)
    return Left(new Failure('allotmentClosed', 'the allotment lapsed or was closed before the run began', { retryAfterMs: 1000 }))
  }

  settle (reservation: Reservation, bill?: Bill): void {
    const { reservationId } = reservation
    this.dispatch({ kind: 'settle', reservationId, ...(bill === undefined ? {} : { bill }) })
  }

  /** Moves time on; to be called every 100 to 200 ms. */
  tick (): void {
    this.dispatch({ kind: 'tick' })
    this.run(this.performDraws(this.draws.due(this.parts.clock.now())))
    this.run(this.asking.repeatOpen())
    this.run(this.registry.register())
  }

  /** Stops admitting; resolves when every bill is durable and every free token returned. Ticks have to go on. */
  async drain (): Promise<void> {
    this.dispatch({ kind: 'drain' })
    if (!this.isDrained) await new Promise<void>(resolve => this.drainWaiters.push(resolve))
    await this.registry.retire()
  }

  /**
   * Adds paid tokens, or lowers the budget.
   * @param topUp - the operation with its id
   */
  async topUp (topUp: TopUpRow): Promise<Either<Failure, BudgetAnswer>> {
    return await this.topUps.topUp(topUp)
  }

  /**
   * A budget with its holders and what is in doubt.
   * @param budget - budget id
   */
  async show (budget: string): Promise<Either<Failure, BudgetAnswer>> {
    return await this.topUps.show(budget)
  }

  /**
   * One pass of recovery over holders that ended; to be called every few seconds by at least one VM.
   * @param list - the platform's list of VMs, when it could be read
   */
  async recoverDead (list?: ListEvidence): Promise<void> {
    await this.recovery?.pass(list)
  }

  /** Budgets as this holder sees them. */
  views (): readonly BudgetView[] {
    return this.ledger.views()
  }

  counters (): BudgetCounters {
    return { ...this.counts, tableWrites: this.table.writes, tableConflicts: this.table.conflicts }
  }

  /**
   * Serves the ask of another holder for a transfer.
   * @param ask - the ask
   */
  onGive (ask: GiveAsk): GiveAnswer {
    const { transferId, budget, to, wanted, atLeast, isRepeat } = ask
    const sameDomain = ask.domain === this.parts.domain
    const actions = this.dispatch({ kind: 'giveAsked', transferId, budget, to, wanted, atLeast, sameDomain, isRepeat })
    const given = actions.find(action => action.kind === 'give')
    return given?.transfer === undefined ? {} : { transfer: given.transfer }
  }

  /**
   * Serves a recall; answers when the tokens are in the table.
   * @param ask - the ask
   */
  async onRecall (ask: RecallAsk): Promise<RecallAnswer> {
    const { budget, wanted, atLeast } = ask
    const actions = this.dispatch({ kind: 'recallAsked', budget, wanted, atLeast })
    const returned = actions.find(action => action.kind === 'returning')?.tokens ?? 0
    if (returned > 0) await new Promise<void>(resolve => this.waitForReturn(budget, resolve))
    return { returned }
  }

  /**
   * Serves the question whether transfers with an ended holder are unrecorded; none begins afterwards.
   * @param ask - the ended holder
   */
  onConfirm (ask: ConfirmAsk): ConfirmAnswer {
    this.dispatch({ kind: 'fence', holder: ask.holder })
    return { none: !this.ledger.hasTransferWith(ask.holder) }
  }

  private get isDrained (): boolean {
    return this.ledger.isSettled && this.asking.isIdle
  }

  private recoveryOf (parts: BudgetDriverParts): BudgetRecovery | undefined {
    const { holder, peers, log, runners } = parts
    if (runners === undefined) return undefined
    const confirmOwn = (ended: string): boolean => this.onConfirm({ holder: ended }).none
    return new BudgetRecovery(this.table, { holder, policy: this.policy, peers, runners, log, confirmOwn }, this.registry)
  }

  private isInDoubt (item: AgedAllotment): boolean {
    const { holder, state } = item.row
    const isPresent = holder === this.parts.holder || this.parts.peers.members().some(member => member.holder === holder)
    return state === 'open' && (!isPresent || item.ageMs > this.policy.lapseMs)
  }

  private waitForReturn (budget: string, resolve: () => void): void {
    const list = this.returnWaiters.get(budget) ?? []
    list.push(resolve)
    this.returnWaiters.set(budget, list)
  }

  private dispatch (event: BudgetEvent): readonly BudgetAction[] {
    const actions = this.ledger.handle(event, this.parts.clock.now())
    for (const action of actions) this.perform(action)
    if (this.drainWaiters.length > 0 && this.isDrained) {
      const waiters = this.drainWaiters
      this.drainWaiters = []
      for (const resolve of waiters) resolve()
    }
    return actions
  }

  private perform (action: BudgetAction): void {
    switch (action.kind) {
      case 'admit': this.answer(action.reservationId); break
      case 'refuse': this.answer(action.reservationId, action.failure); break
      case 'draw': this.run(this.performDraws(this.draws.add(action, this.parts.clock.now()))); break
      case 'flush': this.run(this.performFlush(action)); break
      case 'askGive': this.run(this.asking.askGive(action)); break
      case 'recall': this.run(this.asking.recall(action)); break
      case 'closed': this.reportClosed(action); break
      case 'give':
      case 'returning': break
    }
  }

  private run (work: Promise<void>): void {
    work.catch((err: unknown) => this.parts.log.write('fault', { err: toFailure(err).message }))
  }

  private answer (reservationId: string, failure?: Failure): void {
    const item = this.waiting.get(reservationId)
    if (item === undefined) return
    this.waiting.delete(reservationId)
    if (failure === undefined) this.counts.reserved += 1
    else this.counts.refused += 1
    item.resolve(failure === undefined ? Right(item.reservation) : Left(failure))
  }

  private async performDraws (actions: readonly DrawAction[]): Promise<void> {
    if (actions.length === 0) return
    const outcomes = await this.drawing.draw(actions)
    this.draws.done(actions)
    actions.forEach(({ drawId }, index) => {
      this.dispatch({ kind: 'drawAnswered', drawId, outcome: outcomes[index] ?? { kind: 'unavailable' } })
    })
  }

  private async performFlush (action: Extract<BudgetAction, { kind: 'flush' }>): Promise<void> {
    const outcome = await this.flushing.flush(action)
    this.dispatch({ kind: 'flushAnswered', seq: action.seq, outcome })
    if (outcome.kind === 'unavailable') return
    for (const item of action.returns) {
      for (const resolve of this.returnWaiters.get(item.budget) ?? []) resolve()
      this.returnWaiters.delete(item.budget)
    }
  }

  private reportClosed (action: Extract<BudgetAction, { kind: 'closed' }>): void {
    this.counts.inDoubtTokens += action.inDoubt
    this.registry.forget()
    this.parts.log.write('allotmentClosed', { budget: action.budget, inDoubt: action.inDoubt })
  }
}
