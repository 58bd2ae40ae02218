/**
 * Connects the budget ledger to its surroundings: requests and peers enter as events, and the actions of the ledger go
 * out to the table service and to peers. It has no timer; its user calls `tick` several times a second.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { isAllotmentOf } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { BudgetLedger } from '@rosemaryspread/decisions/budget/budgetLedger.js'
import { ownedByAll, type BudgetOwnership } from '@rosemaryspread/decisions/budget/budgetOwners.js'
import { defaultBudgetPolicy, type BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import type { Bill, BudgetAction, BudgetEvent, BudgetView, GrantedTokens, TopUpRow } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import type { BudgetAnswer } from '@rosemaryspread/operators/admin/adminTypes.js'
import { vmOf } from '@rosemaryspread/decisions/names/nameTypes.js'
import { BudgetActionExecutor } from './budgetActionExecutor.js'
import { BudgetRowCache } from './budgetRowCache.js'
import type { BudgetCounters, BudgetDriverParts } from './budgetDriverTypes.js'
import type { GrantResponse, GrantRequest } from './budgetGrantCalls.js'
import type { HandBackResponse } from './grantReturnCalls.js'
import type { ConfirmResponse, ConfirmRequest, TransferResponse, TransferRequest, RecallResponse, RecallRequest } from './budgetPeers.js'
import type { BudgetPort, Reservation } from './budgetPort.js'
import { BudgetRecovery, type VmListEvidence } from './budgetRecovery.js'
import { RecoveryRuns } from './budgetRecoveryRuns.js'
import { BudgetRegistry } from './budgetRegistry.js'
import type { AgedAllotment } from './budgetSurvey.js'
import { BudgetTable } from './budgetTable.js'
import { BudgetTopUps } from './budgetTopUps.js'
import { OpenReservations } from './openReservations.js'

/**
 * Key hashed to choose the VMs that recover terminated holders. If all 60 VMs of a fleet did this, each of their passes
 * would read the holders and places of the whole fleet, and after a restart of the fleet the holdings of each holder
 * would be read 60 times.
 */
const RECOVERY_ROLE_KEY = 'recovery of ended holders'

export class BudgetDriver implements BudgetPort {
  private readonly ledger: BudgetLedger
  private readonly table: BudgetTable
  private readonly actions: BudgetActionExecutor
  private readonly reservations: OpenReservations
  private readonly topUps: BudgetTopUps
  private readonly registry: BudgetRegistry
  private readonly recovery: BudgetRecovery | undefined
  private readonly policy: BudgetPolicy
  private readonly owners: BudgetOwnership
  private drainWaiters: Array<() => void> = []
  private notifyWaiting: () => void = () => {}

  constructor (private readonly parts: BudgetDriverParts) {
    const { holder, domain, store, clock } = parts
    this.policy = parts.policy ?? defaultBudgetPolicy
    this.owners = parts.owners ?? ownedByAll(() => parts.peers.members().length + 1)
    this.ledger = new BudgetLedger(holder, this.policy, this.owners, parts.grantPolicy)
    this.table = new BudgetTable(store, clock, new BudgetRowCache(key => isAllotmentOf(key, holder)))
    this.registry = new BudgetRegistry(this.table, { holder, domain, place: parts.place, processStartedAt: parts.processStartedAt })
    this.reservations = new OpenReservations(holder)
    const context = { table: this.table, registry: this.registry, owners: this.owners, reservations: this.reservations, dispatch: (event: BudgetEvent) => { this.dispatch(event) } }
    this.actions = new BudgetActionExecutor(parts, context)
    this.recovery = this.createRecovery(parts)
    this.topUps = new BudgetTopUps(this.table, item => this.isInDoubt(item))
  }

  async reserve (budget: string, tokens: number, giveUpAfterMs: number, priority?: number): Promise<Either<Failure, Reservation>> {
    return await this.reservations.add(budget, tokens, ({ reservationId }) => {
      this.dispatch({ kind: 'reserve', reservationId, budget, tokens, giveUpAfterMs, ...(priority === undefined ? {} : { priority }) })
      if (this.isWaiting) this.notifyWaiting()
    })
  }

  confirm (reservation: Reservation): Either<Failure, void> {
    if (this.ledger.isValid(reservation.reservationId, this.parts.clock.now())) return Right(undefined)
    return Left(new Failure('allotmentClosed', 'the allotment expired or was closed before the run started', { ran: 'no', retryAfterMs: 1000 }))
  }

  settle (reservation: Reservation, bill?: Bill): void {
    const { reservationId } = reservation
    this.dispatch({ kind: 'settle', reservationId, ...(bill === undefined ? {} : { bill }) })
  }

  /** Sets the listener called when a request starts to wait for tokens; ticks should be more frequent then. */
  onWaiting (listener: () => void): void {
    this.notifyWaiting = listener
  }

  /** Whether a request waits for tokens and ticks should be frequent. */
  get isWaiting (): boolean {
    return this.reservations.isWaiting
  }

  /** Advances time; to be called every 100 to 200 ms, and more often while a request waits. */
  tick (): void {
    this.refreshOwners()
    this.dispatch({ kind: 'tick' })
    this.actions.tick()
  }

  /**
   * Stops admitting requests. Resolves when every bill is durable and every free token is returned; ticks have to
   * continue until then.
   */
  async drain (): Promise<void> {
    this.dispatch({ kind: 'drain' })
    if (!this.isDrained) await new Promise<void>(resolve => this.drainWaiters.push(resolve))
    await this.registry.retire()
  }

  /** Adds paid tokens, or lowers the budget when the amount is negative. */
  async topUp (topUp: TopUpRow): Promise<Either<Failure, BudgetAnswer>> {
    return await this.topUps.topUp(topUp)
  }

  /** Reads a budget with its holders and the tokens in doubt. */
  async show (budget: string): Promise<Either<Failure, BudgetAnswer>> {
    return await this.topUps.show(budget)
  }

  /**
   * Runs one recovery pass over terminated holders; to be called every few seconds. In a large fleet only a few VMs do
   * this for all.
   * @param list - the platform's list of VMs, if it could be read
   */
  async recoverTerminated (list?: VmListEvidence): Promise<void> {
    if (this.owners.owns(this.parts.holder, RECOVERY_ROLE_KEY)) await this.recovery?.pass(list)
  }

  /** Handles a change of the paid amount in the configuration. */
  paidChanged (budget: string, isLowered: boolean): void {
    this.dispatch({ kind: 'paidChanged', budget, isLowered })
  }

  /**
   * Draws tokens of a budget ahead of requests, or opens a link to an owner of it. To be repeated before the budget
   * counts as idle.
   */
  prepare (budget: string): void {
    this.refreshOwners()
    this.dispatch({ kind: 'prepare', budget })
    if (!this.owners.owns(this.parts.holder, budget)) this.actions.connectOwner(budget)
  }

  /** Handles the start of another holder, which needs its share of the budgets allotted to this one. */
  holderJoined (holder: string): void {
    this.refreshOwners()
    this.dispatch({ kind: 'holderJoined', holder })
  }

  /**
   * Registers this holder and recovers what earlier processes of its VM held. To be repeated from the start on until it
   * returns true.
   */
  async recoverPredecessors (): Promise<boolean> {
    await this.registry.register()
    const isRecovered = await this.recovery?.pass(undefined, vmOf(this.parts.holder)) ?? true
    return this.registry.isRegistered && isRecovered
  }

  /** Budgets as seen by this holder. */
  views (): readonly BudgetView[] {
    return this.ledger.views()
  }

  counters (): BudgetCounters {
    const { reserved, refused } = this.reservations
    const { inDoubtTokens } = this.actions
    return { reserved, refused, inDoubtTokens, tableWrites: this.table.writes, tableConflicts: this.table.conflicts }
  }

  /** Handles a transfer request of another holder. */
  onTransferRequest (request: TransferRequest): TransferResponse {
    const { transferId, budget, to, wanted, atLeast, isRepeat } = request
    const sameDomain = request.domain === this.parts.domain
    const actions = this.dispatch({ kind: 'transferRequested', transferId, budget, to, wanted, atLeast, sameDomain, isRepeat })
    const granted = actions.find(action => action.kind === 'answerTransfer')
    return granted?.transfer === undefined ? {} : { transfer: granted.transfer }
  }

  /** Handles a recall; resolves when the returned tokens are in the table. */
  async onRecall (request: RecallRequest): Promise<RecallResponse> {
    const { budget, wanted, atLeast } = request
    const actions = this.dispatch({ kind: 'recallRequested', budget, wanted, atLeast })
    const returned = actions.find(action => action.kind === 'answerRecall')?.tokens ?? 0
    if (returned > 0) await this.actions.returned(budget)
    return { returned }
  }

  /** Handles a grant request of another holder: the tokens can be used at once. */
  onGrantRequest ({ giftId, budget, tokens, to, priority }: GrantRequest): GrantResponse {
    const actions = this.dispatch({ kind: 'grantRequested', giftId, budget, tokens, to, ...(priority === undefined ? {} : { priority }) })
    const grant = actions.find(action => action.kind === 'answerGrant')
    const answer = { tokens: grant?.tokens ?? 0, left: grant?.left ?? 0 }
    if (answer.tokens > 0) this.parts.log.write('budgetGiven', { budget, to, ...answer })
    return this.parts.grantPolicy?.() === undefined ? answer : { ...answer, takesBack: true }
  }

  /** Accepts tokens that another holder hands over. */
  onHandover (budget: string, tokens: number): void {
    this.dispatch({ kind: 'handoverReceived', budget, tokens })
  }

  /** Accepts tokens that another holder does not use, and says of which of its allotted budgets this owner lacks tokens. */
  onHandBack (grants: readonly GrantedTokens[]): HandBackResponse {
    for (const { budget, tokens } of grants) if (tokens > 0) this.onHandover(budget, tokens)
    const now = this.parts.clock.now()
    return { short: grants.filter(({ budget, isAllotted }) => isAllotted === true && this.ledger.isShort(budget, now)).map(({ budget }) => budget) }
  }

  /**
   * Confirms whether no transfer with a terminated holder is unrecorded here, and fences that holder: no transfer with it
   * starts afterwards.
   */
  onConfirmRequest (request: ConfirmRequest): ConfirmResponse {
    this.dispatch({ kind: 'fence', holder: request.holder })
    return { none: !this.ledger.hasTransferWith(request.holder) }
  }

  private refreshOwners (): void {
    this.parts.owners?.refresh(this.parts.peers.members().map(member => member.holder))
  }

  private get isDrained (): boolean {
    return this.ledger.isSettled && this.actions.isIdle
  }

  private createRecovery (parts: BudgetDriverParts): BudgetRecovery | undefined {
    const { holder, peers, log, metrics, runners } = parts
    const runs = parts.unbilledRuns ?? (runners === undefined ? undefined : new RecoveryRuns(this.table.store, runners))
    if (runs === undefined) return undefined
    const confirmLocally = (ended: string): boolean => this.onConfirmRequest({ holder: ended }).none
    return new BudgetRecovery(this.table, { holder, policy: this.policy, peers, runs, log, metrics, confirmLocally }, this.registry)
  }

  private isInDoubt (item: AgedAllotment): boolean {
    const { holder, state } = item.row
    const isPresent = holder === this.parts.holder || this.parts.peers.members().some(member => member.holder === holder)
    return state === 'open' && (!isPresent || item.ageMs > this.policy.allotmentExpiryMs)
  }

  private dispatch (event: BudgetEvent): readonly BudgetAction[] {
    const actions = this.ledger.handle(event, this.parts.clock.now())
    for (const action of actions) this.actions.perform(action)
    if (this.drainWaiters.length > 0 && this.isDrained) this.endDrain()
    return actions
  }

  private endDrain (): void {
    const waiters = this.drainWaiters
    this.drainWaiters = []
    for (const resolve of waiters) resolve()
  }
}
