/**
 * The targets that the platform's register lists. An entry can disappear because its target left,
 * or because the register was out of reach of the target for too long. After trouble with the
 * register, removed entries are therefore kept for the time in which live targets are listed again.
 */
import type { Instant } from '../clock/clockTypes.js'
import { DomainEvacuations, type EvacuationChange } from './domainEvacuations.js'
import { isLaterProcess, TargetReports, type ReportNews, type TargetProcess, type TargetReport } from './targetReports.js'

/** One registered target. */
export interface TargetView {
  /** Unlike that of any other process at the same address. */
  readonly id: string
  readonly service: string
  readonly address: string
  readonly domain: string
  /** Requests that it works on at once. */
  readonly slots: number
  readonly isLeaving: boolean
  /** Unix milliseconds of the start of its process, which may start again under the same id; absent where it is not told. */
  readonly startedAt?: number
  /** Milliseconds for which it still warmed up when it said so; absent or 0 for a warm target. */
  readonly warmUpMs?: number
}

/** Milliseconds after trouble with the register for which a removed entry counts as lapsed; live targets are back within two seconds. */
export const RELIST_MS = 2_200

/** Targets of a service by whether they take a request now. */
export interface AvailableTargets {
  readonly targets: readonly TargetView[]
  /** Milliseconds until each of the others takes one. */
  readonly pausesMs: readonly number[]
}

interface Listed {
  readonly view: TargetView
  /** Set when the entry was removed and may come back. */
  readonly removedAt?: number
}

/** Registered targets of all services. Times are monotonic milliseconds. */
export class TargetSet {
  private readonly listed = new Map<string, Listed>()
  private byService = new Map<string, readonly TargetView[]>()
  private readonly evacuations = new DomainEvacuations()
  private readonly reports = new TargetReports()
  private troubleAt = -Infinity

  /**
   * Takes the whole register.
   * @param views - all entries
   * @param mono - present time
   */
  replace (views: readonly TargetView[], mono: number): void {
    const present = new Set(views.map(view => view.id))
    for (const id of this.listed.keys()) if (!present.has(id)) this.drop(id, mono)
    for (const view of views) this.list(view)
    this.rebuild()
  }

  /**
   * Takes one entry that was written.
   * @param view - the entry
   */
  put (view: TargetView): void {
    this.list(view)
    this.rebuild()
  }

  /**
   * Takes what a target said of itself with an answer.
   * @param process - the process that answered
   * @param report - what it said
   * @param now - present time
   * @returns what was not known before
   */
  reported (process: TargetProcess, report: TargetReport, now: Instant): readonly ReportNews[] {
    const listed = this.listed.get(process.id)?.view
    if (listed !== undefined && isLaterProcess(listed, process)) return []
    const wasLeaving = this.reports.isLeaving(process.id)
    const news = this.reports.take(process, report, now)
    // A later process also ends what the one before it said.
    if (this.reports.isLeaving(process.id) !== wasLeaving) this.rebuild()
    return news
  }

  /**
   * Takes the removal of an entry.
   * @param id - id of the target
   * @param mono - present time
   */
  remove (id: string, mono: number): void {
    this.drop(id, mono)
    this.rebuild()
  }

  /**
   * Notes that the register could not be read.
   * @param mono - present time
   */
  registerFailed (mono: number): void {
    this.troubleAt = mono
  }

  /**
   * Forgets removed entries that were not listed again in time; to be called several times a second.
   * @param mono - present time
   */
  tick (mono: number): void {
    if (this.reports.tick(id => this.listed.has(id), mono)) this.rebuild()
    if (mono - this.troubleAt <= RELIST_MS) return
    const gone = [...this.listed].filter(([, { removedAt }]) => removedAt !== undefined)
    if (gone.length === 0) return
    for (const [id] of gone) this.listed.delete(id)
    this.rebuild()
  }

  /** Failure domains whose targets get no new work. */
  get evacuated (): ReadonlySet<string> {
    return this.evacuations.all
  }

  /**
   * Takes all orders of evacuation.
   * @param domains - the domains to be evacuated
   * @returns what changed
   */
  replaceEvacuations (domains: ReadonlySet<string>): readonly EvacuationChange[] {
    return this.rebuiltAfter(this.evacuations.replace(domains))
  }

  /**
   * Takes one order of evacuation, or that it was taken back.
   * @param domain - the failure domain
   * @param isEvacuated - whether the order is in force
   * @returns what changed
   */
  setEvacuation (domain: string, isEvacuated: boolean): readonly EvacuationChange[] {
    return this.rebuiltAfter(this.evacuations.set(domain, isEvacuated))
  }

  /** All listed targets, also those that get no new work. */
  all (): readonly TargetView[] {
    return [...this.listed.values()].map(({ view }) => view)
  }

  /**
   * Whether a service has targets that would take new work, all of them in evacuated domains.
   * @param service - name of the service
   */
  isEvacuated (service: string): boolean {
    if (this.serving(service).length > 0) return false
    return this.all().some(view => view.service === service && !this.isLeaving(view))
  }

  /**
   * Whether a target is leaving, by its entry or by its own answers.
   * @param view - its entry
   */
  isLeaving ({ id, isLeaving }: TargetView): boolean {
    return isLeaving || this.reports.isLeaving(id)
  }

  /**
   * Targets of a service that take new work.
   * @param service - name of the service
   */
  serving (service: string): readonly TargetView[] {
    return this.byService.get(service) ?? []
  }

  /**
   * Targets of a service that take new work now, and those that asked this VM to wait.
   * @param service - name of the service
   * @param mono - present time
   */
  available (service: string, mono: number): AvailableTargets {
    const pausesMs: number[] = []
    const targets = this.serving(service).filter(({ id }) => {
      const pauseMs = this.reports.pauseMs(id, mono)
      if (pauseMs > 0) pausesMs.push(pauseMs)
      return pauseMs === 0
    })
    return { targets, pausesMs }
  }

  /**
   * Whether a target asked this VM to wait.
   * @param id - id of the target
   * @param mono - present time
   */
  isPaused (id: string, mono: number): boolean {
    return this.reports.pauseMs(id, mono) > 0
  }

  /**
   * Whether a target is listed.
   * @param id - id of the target
   */
  has (id: string): boolean {
    return this.listed.has(id)
  }

  /**
   * Whether an entry tells more than a heartbeat.
   * @param view - the entry
   */
  isNew (view: TargetView): boolean {
    return this.listed.get(view.id)?.view.isLeaving !== view.isLeaving
  }

  /**
   * Whether an entry is of a later process than the one listed under its id.
   * @param view - the entry
   */
  isRestarted (view: TargetView): boolean {
    const known = this.listed.get(view.id)?.view
    return known !== undefined && known.startedAt !== view.startedAt
  }

  /**
   * Takes an entry out of use at once: what its row says names no target.
   * @param id - id of the target
   */
  discard (id: string): void {
    if (this.listed.delete(id)) this.rebuild()
  }

  private list (view: TargetView): void {
    this.listed.set(view.id, { view })
    this.reports.listed(view)
  }

  private drop (id: string, mono: number): void {
    const known = this.listed.get(id)
    if (known === undefined) return
    const mayLapse = mono - this.troubleAt <= RELIST_MS && !this.isLeaving(known.view)
    if (mayLapse) this.listed.set(id, { view: known.view, removedAt: known.removedAt ?? mono })
    else this.listed.delete(id)
  }

  private rebuiltAfter (changes: readonly EvacuationChange[]): readonly EvacuationChange[] {
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
