/**
 * Targets listed in the platform's register. An entry disappears when its target leaves, but also when the target could not reach
 * the register for too long. After a failure of the register, removed entries are therefore retained for the time in which live
 * targets are listed again.
 */
import type { Instant } from '../clock/clockTypes.js'
import { DomainEvacuations, type EvacuationChange } from './domainEvacuations.js'
import { isLaterProcess, TargetReports, type ReportChange, type TargetProcess, type TargetReport } from './targetReports.js'

/** One registered target. */
export interface TargetView {
  /** Differs from the id of any other process at the same address. */
  readonly id: string
  readonly service: string
  readonly address: string
  readonly domain: string
  /** Requests that it handles concurrently. */
  readonly slots: number
  readonly isLeaving: boolean
  /** Version of its software, which may differ among the targets of a service; absent if not listed. */
  readonly version?: string
  /** Start of its process in Unix milliseconds; absent if not reported. A process may restart under the same id. */
  readonly startedAt?: number
  /** Milliseconds of warm-up left when it was reported; absent or 0 for a warm target. */
  readonly warmUpMs?: number
}

/** Software version of a target; empty if it is not listed. */
export function versionOf ({ version = '' }: Pick<TargetView, 'version'>): string {
  return version
}

/** Time after a register failure for which removed entries are retained; live targets are listed again within two seconds. */
export const RELIST_TIMEOUT_MS = 2_200

/** Targets of a service that accept requests now, and the pauses of the others. */
export interface AvailableTargets {
  readonly targets: readonly TargetView[]
  /** Milliseconds left of the pause of each of the others. */
  readonly pausesMs: readonly number[]
}

interface ListedTarget {
  readonly view: TargetView
  /** Set when the entry was removed but may be listed again. */
  readonly removedAt?: number
}

/** Registered targets of all services. Times are monotonic milliseconds. */
export class TargetSet {
  private readonly listed = new Map<string, ListedTarget>()
  private byService = new Map<string, readonly TargetView[]>()
  private readonly evacuations = new DomainEvacuations()
  private readonly reports = new TargetReports()
  private registerFailedAt = -Infinity

  /** Replaces all entries by a complete read of the register. */
  replace (views: readonly TargetView[], mono: number): void {
    const present = new Set(views.map(view => view.id))
    for (const id of this.listed.keys()) if (!present.has(id)) this.removeEntry(id, mono)
    for (const view of views) this.list(view)
    this.rebuild()
  }

  /** Adds or updates one entry. */
  put (view: TargetView): void {
    this.list(view)
    this.rebuild()
  }

  /**
   * Records what a target reported about itself.
   * @returns the states that the report changed
   */
  recordReport (process: TargetProcess, report: TargetReport, now: Instant): readonly ReportChange[] {
    const listed = this.listed.get(process.id)?.view
    if (listed !== undefined && isLaterProcess(listed, process)) return []
    const wasLeaving = this.reports.isLeaving(process.id)
    const changes = this.reports.record(process, report, now)
    // A report of a later process also clears the leaving state of the one before it.
    if (this.reports.isLeaving(process.id) !== wasLeaving) this.rebuild()
    return changes
  }

  /** Handles the removal of an entry. */
  remove (id: string, mono: number): void {
    this.removeEntry(id, mono)
    this.rebuild()
  }

  /** Records a failed read of the register. */
  registerFailed (mono: number): void {
    this.registerFailedAt = mono
  }

  /** Drops removed entries that were not listed again in time; to be called several times a second. */
  tick (mono: number): void {
    if (this.reports.tick(id => this.listed.has(id), mono)) this.rebuild()
    if (mono - this.registerFailedAt <= RELIST_TIMEOUT_MS) return
    const expired = [...this.listed].filter(([, { removedAt }]) => removedAt !== undefined)
    if (expired.length === 0) return
    for (const [id] of expired) this.listed.delete(id)
    this.rebuild()
  }

  /** Failure domains whose targets get no new requests. */
  get evacuated (): ReadonlySet<string> {
    return this.evacuations.all
  }

  /**
   * Replaces all evacuations by those of `domains`.
   * @returns the changes
   */
  replaceEvacuations (domains: ReadonlySet<string>): readonly EvacuationChange[] {
    return this.rebuildAfter(this.evacuations.replace(domains))
  }

  /**
   * Sets or lifts the evacuation of one failure domain.
   * @returns the changes
   */
  setEvacuation (domain: string, isEvacuated: boolean): readonly EvacuationChange[] {
    return this.rebuildAfter(this.evacuations.set(domain, isEvacuated))
  }

  /** All listed targets, including those that get no new requests. */
  all (): readonly TargetView[] {
    return [...this.listed.values()].map(({ view }) => view)
  }

  /** Whether all targets of a service that are not leaving are in evacuated domains, with at least one such target. */
  isEvacuated (service: string): boolean {
    if (this.serving(service).length > 0) return false
    return this.all().some(view => view.service === service && !this.isLeaving(view))
  }

  /** Whether a target is leaving, by its register entry or its own reports. */
  isLeaving ({ id, isLeaving }: TargetView): boolean {
    return isLeaving || this.reports.isLeaving(id)
  }

  /** Targets of a service that accept new requests. */
  serving (service: string): readonly TargetView[] {
    return this.byService.get(service) ?? []
  }

  /** Services that have targets which accept new requests. */
  get services (): readonly string[] {
    return [...this.byService.keys()]
  }

  /** Targets of a service that accept new requests now, and the pauses of those that requested one. */
  available (service: string, mono: number): AvailableTargets {
    const pausesMs: number[] = []
    const targets = this.serving(service).filter(({ id }) => {
      const pauseMs = this.reports.pauseMs(id, mono)
      if (pauseMs > 0) pausesMs.push(pauseMs)
      return pauseMs === 0
    })
    return { targets, pausesMs }
  }

  /** Whether a target requested a pause that has not ended. */
  isPaused (id: string, mono: number): boolean {
    return this.reports.pauseMs(id, mono) > 0
  }

  has (id: string): boolean {
    return this.listed.has(id)
  }

  /** Whether an entry is new or changes the leaving state; otherwise it is only a heartbeat. */
  isChange (view: TargetView): boolean {
    return this.listed.get(view.id)?.view.isLeaving !== view.isLeaving
  }

  /** Whether an entry belongs to another process than the one listed under its id. */
  isRestarted (view: TargetView): boolean {
    const current = this.listed.get(view.id)?.view
    return current !== undefined && current.startedAt !== view.startedAt
  }

  /** Removes an entry at once, without retention: its row does not describe a valid target. */
  discard (id: string): void {
    if (this.listed.delete(id)) this.rebuild()
  }

  private list (view: TargetView): void {
    this.listed.set(view.id, { view })
    this.reports.handleListing(view)
  }

  private removeEntry (id: string, mono: number): void {
    const current = this.listed.get(id)
    if (current === undefined) return
    const mayBeRelisted = mono - this.registerFailedAt <= RELIST_TIMEOUT_MS && !this.isLeaving(current.view)
    if (mayBeRelisted) this.listed.set(id, { view: current.view, removedAt: current.removedAt ?? mono })
    else this.listed.delete(id)
  }

  private rebuildAfter (changes: readonly EvacuationChange[]): readonly EvacuationChange[] {
    if (changes.length > 0) this.rebuild()
    return changes
  }

  private rebuild (): void {
    const byService = new Map<string, TargetView[]>()
    for (const { view } of this.listed.values()) {
      if (this.isLeaving(view) || this.evacuated.has(view.domain)) continue
      const views = byService.get(view.service) ?? []
      views.push(view)
      byService.set(view.service, views)
    }
    this.byService = byService
  }
}
