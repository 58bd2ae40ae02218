/** Targets of the gateway as listed in the platform's register, with a log line for each change. */
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { EvacuationChange } from '@rosemaryspread/decisions/gateway/domainEvacuations.js'
import type { EventLog } from '@rosemaryspread/decisions/events/logEvents.js'
import type { TargetBalancer } from '@rosemaryspread/decisions/gateway/targetBalancer.js'
import { isPlausibleWarmUp } from '@rosemaryspread/decisions/gateway/warmUpShare.js'
import type { TargetProcess, TargetReport } from '@rosemaryspread/decisions/gateway/targetReports.js'
import { TargetSet, type AvailableTargets, type TargetView } from '@rosemaryspread/decisions/gateway/targetSet.js'
import type { ServiceVersions } from '@rosemaryspread/decisions/streams/streamTypes.js'
import { VersionHistory } from '@rosemaryspread/decisions/streams/versionHistory.js'
import { MalformedValueLog } from './malformedValueLog.js'
import type { TargetDirectory } from './gatewayTypes.js'

export interface TargetsParts {
  readonly clock: Clock
  readonly balancer: TargetBalancer
  readonly log: EventLog
}

/** A target as shown to operators. */
export interface TargetRow extends Pick<TargetView, 'id' | 'service' | 'domain'> {
  readonly state: 'serving' | 'leaving' | 'evacuated' | 'paused'
}

export class GatewayTargets implements TargetDirectory {
  private readonly set = new TargetSet()
  private readonly versionHistory = new VersionHistory()
  private readonly malformedEntries: MalformedValueLog
  private readonly malformedAnswers: MalformedValueLog

  constructor (private readonly parts: TargetsParts) {
    this.malformedEntries = new MalformedValueLog(parts.log, 'register')
    this.malformedAnswers = new MalformedValueLog(parts.log, 'target')
  }

  available (service: string): AvailableTargets {
    return this.set.available(service, this.mono)
  }

  /** Targets of a service that are neither leaving nor evacuated. */
  serving (service: string): readonly TargetView[] {
    return this.set.serving(service)
  }

  /** Services that have such targets. */
  get services (): readonly string[] {
    return this.set.services
  }

  /**
   * Software versions of a service.
   * @param spanMs - time until now that is considered
   * @param stored - versions of the service as the store has them
   */
  versions (service: string, spanMs: number, stored: ServiceVersions): ServiceVersions {
    return this.versionHistory.versions(service, spanMs, this.mono, stored)
  }

  /**
   * Software versions of a service that the register has listed.
   * @param spanMs - time until now that is considered
   */
  listedVersions (service: string, spanMs: number): readonly string[] {
    return this.versionHistory.listed(service, spanMs, this.mono)
  }

  /** Number of targets that have paused this VM. */
  get paused (): number {
    return this.set.all().filter(({ id }) => this.set.isPaused(id, this.mono)).length
  }

  isEvacuated (service: string): boolean {
    return this.set.isEvacuated(service)
  }

  /** Targets as shown to operators; the state says why one gets no new work. */
  list (): readonly TargetRow[] {
    return this.set.all().map(view => ({ id: view.id, service: view.service, domain: view.domain, state: this.stateOf(view) }))
  }

  /** Failure domains that operators have evacuated. */
  evacuated (): readonly string[] {
    return [...this.set.evacuated]
  }

  /**
   * Replaces all evacuation orders.
   * @param domains - the evacuated failure domains
   */
  replaceEvacuations (domains: ReadonlySet<string>): void {
    this.logEvacuations(this.set.replaceEvacuations(domains))
  }

  /** Sets or lifts one evacuation order. */
  setEvacuation (domain: string, isEvacuated: boolean): void {
    this.logEvacuations(this.set.setEvacuation(domain, isEvacuated))
  }

  /** Replaces all targets after a full read of the register. */
  replaceAll (views: readonly TargetView[]): void {
    for (const view of views) this.updateBalancer(view)
    this.set.replace(views, this.mono)
    this.handleRead(views)
    this.parts.balancer.forgetUnlisted(id => this.set.has(id))
    for (const malformedLog of [this.malformedEntries, this.malformedAnswers]) malformedLog.forgetUnlisted(id => this.set.has(id))
    this.parts.log.write('targetsRead', { targets: views.length })
  }

  /** Adds or updates one target. */
  put (view: TargetView): void {
    const { id, isLeaving } = view
    if (this.set.isChange(view)) this.parts.log.write('runnerState', { runner: id, state: isLeaving ? 'leaving' : 'active', reason: 'listed in the register' })
    this.updateBalancer(view)
    this.set.put(view)
    this.handleRead([view])
  }

  /**
   * Removes a target whose entry is malformed, also if an earlier entry was valid.
   * @param id - id of the entry
   */
  handleMalformed (id: string, detail: string): void {
    if (this.set.has(id)) this.parts.log.write('runnerState', { runner: id, state: 'leaving', reason: 'its register entry is malformed' })
    this.parts.log.write('platformFault', { service: 'register', operation: 'decode', code: id, detail })
    this.set.discard(id)
  }

  /**
   * Handles the removal of an entry.
   * @param id - id of the target
   */
  removed (id: string): void {
    this.set.remove(id, this.mono)
    this.handleRead([])
    this.parts.log.write('runnerState', { runner: id, state: 'leaving', reason: 'its register entry was removed' })
  }

  recordReport (process: TargetProcess, report: TargetReport): void {
    for (const state of this.set.recordReport(process, report, this.parts.clock.now())) {
      this.parts.log.write('runnerState', { runner: process.id, state, reason: 'reported with an answer', ...(state === 'paused' ? { pauseMs: report.pauseMs } : {}) })
    }
    if (report.flaw !== undefined) this.malformedAnswers.logOnce(process.id, `malformed report '${report.flaw}'`)
  }

  /** Records that a read of the register failed. */
  registerFailed (): void {
    this.versionHistory.readFailed()
    this.set.registerFailed(this.mono)
  }

  /** Updates states that depend on time; to be called several times a second. */
  tick (): void {
    this.set.tick(this.mono)
    this.versionHistory.observe(this.set.all(), this.mono)
  }

  private handleRead (views: readonly TargetView[]): void {
    this.versionHistory.readSucceeded()
    this.versionHistory.observe(views, this.mono)
  }

  private stateOf (view: TargetView): TargetRow['state'] {
    if (this.set.isLeaving(view)) return 'leaving'
    if (this.set.evacuated.has(view.domain)) return 'evacuated'
    return this.set.isPaused(view.id, this.mono) ? 'paused' : 'serving'
  }

  private updateBalancer (view: TargetView): void {
    const { balancer, log } = this.parts
    if (this.set.isRestarted(view)) {
      balancer.resetTarget(view.id)
      log.write('runnerState', { runner: view.id, state: 'active', reason: 'replaced by another process with the same id' })
    }
    const leftMs = view.warmUpMs ?? 0
    if (isPlausibleWarmUp(leftMs)) balancer.updateWarmUp(view.id, leftMs, this.mono)
    else this.malformedEntries.logOnce(view.id, `implausible warm-up time of ${leftMs} ms; the previous value remains`)
  }

  private logEvacuations (changes: readonly EvacuationChange[]): void {
    for (const { domain, isEvacuated } of changes) this.parts.log.write('domainEvacuated', { domain, isEvacuated, targets: this.list().filter(target => target.domain === domain).length })
  }

  private get mono (): number {
    return this.parts.clock.now().mono
  }
}
