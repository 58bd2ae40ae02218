/** Targets of the gateway: what the platform's register lists, with a log line for each change. */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EvacuationChange } from '@rosemaryspread/decisions/gateway/domainEvacuations.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TargetBalancer } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import { isPlausibleWarmUp } from '@rosemaryspread/decisions/gateway/warmUpShare.js'
import type { TargetProcess, TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import { TargetSet, type AvailableTargets, type TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'
import { FlawLog } from './flawLog.js'
import type { TargetDirectory } from './gatewayTypes.js'

/** What following the register works with. */
export interface TargetsParts {
  readonly clock: Clock
  readonly balancer: TargetBalancer
  readonly log: EventLog
}

/** A target as operators see it. */
export interface TargetRow extends Pick<TargetView, 'id' | 'service' | 'domain'> {
  readonly state: 'serving' | 'leaving' | 'evacuated' | 'paused'
}

/** Follows the register of targets. */
export class GatewayTargets implements TargetDirectory {
  private readonly set = new TargetSet()
  private readonly entryFlaws: FlawLog
  private readonly answerFlaws: FlawLog

  constructor (private readonly parts: TargetsParts) {
    this.entryFlaws = new FlawLog(parts.log, 'register')
    this.answerFlaws = new FlawLog(parts.log, 'target')
  }

  available (service: string): AvailableTargets {
    return this.set.available(service, this.mono)
  }

  /** Number of targets that asked this VM to wait. */
  get paused (): number {
    return this.set.all().filter(({ id }) => this.set.isPaused(id, this.mono)).length
  }

  isEvacuated (service: string): boolean {
    return this.set.isEvacuated(service)
  }

  /** Targets as operators see them, with why one gets no new work. */
  list (): readonly TargetRow[] {
    return this.set.all().map(view => ({ id: view.id, service: view.service, domain: view.domain, state: this.stateOf(view) }))
  }

  /** Failure domains that operators evacuated. */
  evacuated (): readonly string[] {
    return [...this.set.evacuated]
  }

  /**
   * Takes all orders of evacuation.
   * @param domains - the domains to be evacuated
   */
  evacuationsRead (domains: ReadonlySet<string>): void {
    this.noteEvacuations(this.set.replaceEvacuations(domains))
  }

  /**
   * Takes one order of evacuation, or that it was taken back.
   * @param domain - the failure domain
   * @param isEvacuated - whether the order is in force
   */
  evacuationChanged (domain: string, isEvacuated: boolean): void {
    this.noteEvacuations(this.set.setEvacuation(domain, isEvacuated))
  }

  /**
   * Takes the whole register.
   * @param views - all entries
   */
  replaced (views: readonly TargetView[]): void {
    for (const view of views) this.noteState(view)
    this.set.replace(views, this.mono)
    this.parts.balancer.forgetUnlisted(id => this.set.has(id))
    for (const flaws of [this.entryFlaws, this.answerFlaws]) flaws.forget(id => this.set.has(id))
    this.parts.log.write('targetsRead', { targets: views.length })
  }

  /**
   * Takes one entry that was written.
   * @param view - the entry
   */
  changed (view: TargetView): void {
    const { id, isLeaving } = view
    if (this.set.isChange(view)) this.parts.log.write('runnerState', { runner: id, state: isLeaving ? 'leaving' : 'active', reason: 'the register says so' })
    this.noteState(view)
    this.set.put(view)
  }

  /**
   * Takes an entry that cannot be read: it names no target, also if it did before.
   * @param id - id of the entry
   * @param detail - what does not fit
   */
  unusable (id: string, detail: string): void {
    if (this.set.has(id)) this.parts.log.write('runnerState', { runner: id, state: 'leaving', reason: 'its entry cannot be read' })
    this.parts.log.write('platformFault', { service: 'register', operation: 'decode', code: id, detail })
    this.set.discard(id)
  }

  /**
   * Takes the removal of an entry.
   * @param id - id of the target
   */
  removed (id: string): void {
    this.set.remove(id, this.mono)
    this.parts.log.write('runnerState', { runner: id, state: 'leaving', reason: 'its entry was removed' })
  }

  reported (process: TargetProcess, report: TargetReport): void {
    for (const state of this.set.recordReport(process, report, this.parts.clock.now())) {
      this.parts.log.write('runnerState', { runner: process.id, state, reason: 'its answer says so', ...(state === 'paused' ? { pauseMs: report.pauseMs } : {}) })
    }
    if (report.flaw !== undefined) this.answerFlaws.note(process.id, `the time '${report.flaw}' to wait cannot be read`)
  }

  /** The register could not be read. */
  unreadable (): void {
    this.set.registerFailed(this.mono)
  }

  /** To be called several times a second. */
  tick (): void {
    this.set.tick(this.mono)
  }

  private stateOf (view: TargetView): TargetRow['state'] {
    if (this.set.isLeaving(view)) return 'leaving'
    if (this.set.evacuated.has(view.domain)) return 'evacuated'
    return this.set.isPaused(view.id, this.mono) ? 'paused' : 'serving'
  }

  private noteState (view: TargetView): void {
    const { balancer, log } = this.parts
    if (this.set.isRestarted(view)) {
      balancer.resetTarget(view.id)
      log.write('runnerState', { runner: view.id, state: 'active', reason: 'another process has its id' })
    }
    const leftMs = view.warmUpMs ?? 0
    if (isPlausibleWarmUp(leftMs)) balancer.updateWarmUp(view.id, leftMs, this.mono)
    else this.entryFlaws.note(view.id, `${leftMs} ms until it is warm cannot be; what was known before holds`)
  }

  private noteEvacuations (changes: readonly EvacuationChange[]): void {
    for (const { domain, isEvacuated } of changes) this.parts.log.write('domainEvacuated', { domain, isEvacuated, targets: this.list().filter(target => target.domain === domain).length })
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}
