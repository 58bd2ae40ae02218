/**
 * Recovers the allotments of terminated holders. Each step requires proof: the holder terminated, every other holder of
 * its failure domain has no unrecorded transfer with it, every declared runner reported its runs, and none of them is
 * still running. Otherwise all tokens stay in doubt until the next pass.
 */
import { EitherAsync, type Either } from 'purify-ts'
import { Failure, toFailure } from '@rosemaryspread/decisions/codes/failure.js'
import { elapsedMs, type Instant } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { BudgetPolicy } from '@rosemaryspread/decisions/budget/budgetPolicy.js'
import { planRecovery, recoveryKeys, type OwedBill, type RecoveryRequest, type RecoveryPlan } from '@rosemaryspread/decisions/budget/recoveryPlan.js'
import { vmOf } from '@rosemaryspread/decisions/names/nameTypes.js'
import { TerminatedVms, hasExpired, hasSuccessor, mayRunsBeDiscarded, successorSince, type PlacedHolder } from '@rosemaryspread/decisions/budget/recoveryRules.js'
import type { Metrics } from '../metrics/metricsTypes.js'
import type { BudgetPeers } from './budgetPeers.js'
import type { BudgetRegistry, ClosedAllotment, HolderAtVersion } from './budgetRegistry.js'
import type { RunOwner } from './budgetRecoveryRuns.js'
import { surveyBudget, type AgedAllotment, type BudgetSurvey } from './budgetSurvey.js'
import type { BudgetTable, Committed } from './budgetTable.js'

/** The platform's list of VMs as far as recovery needs it. */
export interface VmListEvidence {
  readonly asOf: number
  readonly vms: ReadonlyArray<{ readonly vm: string, readonly state: string }>
}

/** Finds what terminated holders spent that no segment has billed. */
export interface UnbilledRuns {
  /** Discards the results of the previous pass. */
  beginPass (): void
  /**
   * Milliseconds since the holder itself wrote to the table.
   * @param now - milliseconds of the table's clock
   */
  contactAgeMs (item: AgedAllotment, now: number): Promise<number>
  /**
   * Bills that are owed; fails while that is not certain.
   * @param owners - terminated holders
   * @param wall - milliseconds of the table's clock
   */
  unbilled (budget: string, owners: readonly RunOwner[], wall: number): Promise<Either<Failure, readonly OwedBill[]>>
}

export interface RecoveryParts {
  readonly holder: string
  readonly policy: BudgetPolicy
  readonly peers: BudgetPeers
  readonly runs: UnbilledRuns
  readonly log: EventLog
  /** Absent where bills come from the records of runs. */
  readonly metrics?: Pick<Metrics, 'count'> | undefined
  /** Fences a terminated holder at this VM; returns true if no transfer with it is unrecorded here. */
  confirmLocally (holder: string): boolean
}

/** Holders of one failure domain, classified for one pass. */
interface DomainView {
  /** Proved to have terminated, by the platform's list or by a later process in the same place. */
  readonly ended: readonly HolderAtVersion[]
  /** Neither proved terminated nor a member; their allotments may have expired. */
  readonly absent: readonly HolderAtVersion[]
  readonly present: readonly HolderAtVersion[]
  readonly placed: readonly PlacedHolder[]
}

function pendingFailure (detail: string): Failure {
  return new Failure('budgetPending', detail, { ran: 'no' })
}

export class BudgetRecovery {
  private readonly gone = new TerminatedVms()
  private readonly registry: BudgetRegistry
  private readonly runs: UnbilledRuns
  private readonly absentSince = new Map<string, Instant>()
  private running = false

  constructor (private readonly table: BudgetTable, private readonly parts: RecoveryParts, registry: BudgetRegistry) {
    this.registry = registry
    this.runs = parts.runs
  }

  /**
   * Runs one pass over all failure domains; passes don't overlap. Returns whether it completed and nothing stayed in
   * doubt.
   * @param list - the platform's list, if it could be read
   * @param vm - if given, recovers only what earlier processes of this VM held
   */
  async pass (list?: VmListEvidence, vm?: string): Promise<boolean> {
    if (list !== undefined) this.gone.record(list.asOf, list.vms)
    if (this.running) return false
    this.running = true
    this.runs.beginPass()
    try {
      const holders = await this.registry.all()
      const placed = await this.registry.listPlaces()
      if (holders.isLeft() || placed.isLeft()) return false
      return await this.recoverAll(holders.unsafeCoerce(), placed.unsafeCoerce(), vm)
    } finally {
      this.running = false
    }
  }

  private async recoverAll (holders: readonly HolderAtVersion[], placed: readonly PlacedHolder[], vm?: string): Promise<boolean> {
    let isDone = true
    for (const domain of new Set(holders.map(item => item.domain))) {
      const view = this.classifyHolders(holders.filter(item => item.domain === domain), placed)
      isDone = await this.recoverDomain(vm === undefined ? view : restrictToVm(view, vm)) && isDone
    }
    return isDone
  }

  private classifyHolders (holders: readonly HolderAtVersion[], placed: readonly PlacedHolder[]): DomainView {
    const members = new Set([this.parts.holder, ...this.parts.peers.members().map(member => member.holder)])
    const isEnded = (item: HolderAtVersion): boolean => this.gone.proves(item) || hasSuccessor(item.holder, placed)
    const ended = holders.filter(isEnded)
    const rest = holders.filter(item => !isEnded(item))
    for (const holder of members) this.absentSince.delete(holder)
    return { ended, absent: rest.filter(item => !members.has(item.holder)), present: rest.filter(item => members.has(item.holder)), placed }
  }

  private async recoverDomain (view: DomainView): Promise<boolean> {
    const budgets = new Set<string>()
    let isDone = true
    for (const { holder } of [...view.ended, ...view.absent]) {
      const found = await this.registry.listBudgets(holder)
      isDone &&= found.isRight()
      for (const budget of found.orDefault([])) budgets.add(budget)
    }
    for (const budget of budgets) isDone = await this.recoverBudget(view, budget) && isDone
    for (const item of view.ended) await this.removeWhenClosed(view, item)
    for (const item of view.absent) if (this.isAbsentBeyondExpiry(item)) await this.removeWhenClosed(view, item)
    return isDone
  }

  private async recoverBudget (view: DomainView, budget: string): Promise<boolean> {
    const result = await EitherAsync<Failure, void>(async ({ fromPromise, throwE }) => {
      const before = await fromPromise(surveyBudget(this.table.store, budget))
      if (this.selectClosing(view, before).length === 0) return
      // Rows are read after the confirmations, as a transfer may be recorded just before its holder confirms.
      const confirmed = await this.confirmedHolders(view)
      const survey = await fromPromise(surveyBudget(this.table.store, budget))
      const closing = this.selectClosing(view, survey)
      const open = closing.find(item => !confirmed.has(item.row.holder))
      if (open !== undefined) throwE(pendingFailure(`transfers with ${open.row.holder} may be unrecorded: a holder of its failure domain has not confirmed`))
      const reason = await this.blockedReason(view, survey, closing)
      if (reason !== undefined) throwE(reason)
      const owed = await fromPromise(this.owed(view, survey, closing, budget))
      const request = { budget, owed, closing: closing.map(item => ({ holder: item.row.holder, version: item.version })) }
      const { plan } = await fromPromise(this.close(request))
      if (plan.kind === 'write') this.report(closing, plan, view.placed)
    }).mapLeft(toFailure).run()
    result.ifLeft(failure => this.parts.log.write('budgetFault', { operation: 'recover', budget, code: failure.code, detail: failure.message }))
    return result.isRight()
  }

  private selectClosing (view: DomainView, survey: BudgetSurvey): readonly AgedAllotment[] {
    const ended = new Set(view.ended.map(item => item.holder))
    const absent = new Set(view.absent.map(item => item.holder))
    return survey.allotments.filter(({ row, ageMs }) => row.state === 'open' &&
      (ended.has(row.holder) || (absent.has(row.holder) && hasExpired(this.parts.policy, ageMs))))
  }

  /** Returns why the allotments cannot be closed yet, if so. */
  private async blockedReason (view: DomainView, survey: BudgetSurvey, closing: readonly AgedAllotment[]): Promise<Failure | undefined> {
    const unsureHolder = this.parts.peers.hasNoTransfers === true ? undefined : this.findUnsureHolder(view, survey, closing)
    if (unsureHolder !== undefined) return pendingFailure(`absent holder ${unsureHolder.holder} may hold transferred tokens that have not expired`)
    for (const item of closing) {
      if (mayRunsBeDiscarded(this.parts.policy, await this.runs.contactAgeMs(item, survey.now))) {
        return pendingFailure(`runners may no longer have the records of runs of ${item.row.holder}; an operator has to decide`)
      }
    }
    return undefined
  }

  /**
   * Finds an absent holder that may still spend tokens received from an allotment to be closed. Without its own row it
   * can only hold received tokens, which expire no later than those of their granter.
   */
  private findUnsureHolder (view: DomainView, survey: BudgetSurvey, closing: readonly AgedAllotment[]): HolderAtVersion | undefined {
    const closed = new Set(closing.map(item => item.row.holder))
    const open = new Set(survey.allotments.filter(item => item.row.state === 'open').map(item => item.row.holder))
    const haveAllExpired = closing.every(item => hasExpired(this.parts.policy, item.ageMs))
    return view.absent.find(({ holder }) => !closed.has(holder) && (open.has(holder) || !haveAllExpired))
  }

  /**
   * Terminated and absent holders with which no other holder has an unrecorded transfer; empty unless this is confirmed
   * for all of them.
   */
  private async confirmedHolders (view: DomainView): Promise<ReadonlySet<string>> {
    const confirmed = new Set<string>()
    for (const { holder } of [...view.ended, ...view.absent]) {
      if (!await this.isConfirmed(view, holder)) return new Set()
      confirmed.add(holder)
    }
    return confirmed
  }

  private async isConfirmed (view: DomainView, ended: string): Promise<boolean> {
    for (const { holder } of view.present) {
      const isConfirmedByHolder = holder === this.parts.holder
        ? this.parts.confirmLocally(ended)
        : (await this.parts.peers.confirmNoTransfers(holder, { holder: ended })).map(answer => answer.none).orDefault(false)
      if (!isConfirmedByHolder) return false
    }
    return true
  }

  /** Includes the runs of every terminated holder of the domain, as one may have spent tokens transferred from another. */
  private async owed (
    view: DomainView, survey: BudgetSurvey, closing: readonly AgedAllotment[], budget: string
  ): Promise<Either<Failure, readonly OwedBill[]>> {
    const ended = view.ended.map(item => item.holder)
    const holders = new Set([...ended, ...view.absent.map(item => item.holder), ...closing.map(item => item.row.holder)])
    const rows = new Map(survey.allotments.map(item => [item.row.holder, item]))
    return await this.runs.unbilled(budget, [...holders].map(holder => ({
      holder,
      lastSeq: rows.get(holder)?.row.lastSeq,
      ...allotmentOf(closing, holder),
      ...terminationOf(holder, view.placed),
      mayCancel: !ended.includes(holder)
    })), survey.now)
  }

  private async close (request: RecoveryRequest): Promise<Either<Failure, Committed<RecoveryPlan>>> {
    const id = `recover/${request.budget}/${request.closing.map(item => item.version).join('-')}`
    return await this.table.run(id, recoveryKeys(request), rows => planRecovery(rows, request))
  }

  private report (closing: readonly AgedAllotment[], { billed, returned }: Extract<RecoveryPlan, { kind: 'write' }>, placed: readonly PlacedHolder[]): void {
    const reports = closing.flatMap(({ row: { holder, report } }) => {
      const endedBy = successorSince(holder, placed)
      return report === undefined || endedBy === undefined ? [] : [{ tokens: report.tokens, perMs: report.perMs, ageMs: endedBy - report.since }]
    })
    const ended = closing.map(({ row }) => row.holder).join(' ')
    const budget = closing[0]?.row.budget
    this.parts.metrics?.count('tokens_assumed_spent', billed, budget)
    this.parts.log.write('budgetRecovered', { ended, budget, billed, returned, ...(reports.length === 0 ? {} : { reports }) })
  }

  /** Whether this process has observed for a whole expiry period that the holder is no member. */
  private isAbsentBeyondExpiry (item: HolderAtVersion): boolean {
    const now = this.table.now()
    const since = this.absentSince.get(item.holder) ?? now
    this.absentSince.set(item.holder, since)
    return hasExpired(this.parts.policy, elapsedMs(since, now))
  }

  /**
   * Removes a holder whose allotments are closed. Nobody may record a transfer with a removed holder, so every other
   * holder must have confirmed first.
   */
  private async removeWhenClosed (view: DomainView, item: HolderAtVersion): Promise<void> {
    if (view.absent.some(other => other !== item && !this.isAbsentBeyondExpiry(other))) return
    if (!await this.isConfirmed(view, item.holder)) return
    const budgets = await this.registry.listBudgets(item.holder)
    if (budgets.isLeft()) return
    const closed: ClosedAllotment[] = []
    for (const budget of budgets.orDefault([])) {
      const survey = await surveyBudget(this.table.store, budget)
      const row = survey.map(value => value.allotments.find(other => other.row.holder === item.holder)).orDefault(undefined)
      if (survey.isLeft() || row?.row.state === 'open') return
      closed.push({ budget, version: row?.version ?? null })
    }
    await this.registry.remove(item, closed)
  }
}

function allotmentOf (closing: readonly AgedAllotment[], holder: string): Pick<RunOwner, 'allotment'> {
  const item = closing.find(other => other.row.holder === holder)
  return item === undefined ? {} : { allotment: item.row }
}

function terminationOf (holder: string, placed: readonly PlacedHolder[]): Pick<RunOwner, 'endedBy'> {
  const endedBy = successorSince(holder, placed)
  return endedBy === undefined ? {} : { endedBy }
}

/** Restricts a view to the terminated holders of one VM. */
function restrictToVm (view: DomainView, vm: string): DomainView {
  return { ...view, ended: view.ended.filter(({ holder }) => vmOf(holder) === vm), absent: [] }
}
