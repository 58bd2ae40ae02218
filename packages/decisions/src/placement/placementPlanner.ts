/**
 * Plans the orders that bring the runners to the declared state. It acts only while this process holds the
 * placement lease and once the presence of every runner is determined. Each decision compares declared and
 * reported state anew, so it does not depend on plans of an earlier holder.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { FleetConfig, RunnerConfig } from '../config/configSchema.js'
import { FencingAnnouncement } from './fencingAnnouncement.js'
import { ModelPlan, type ProposedOrder } from './modelPlan.js'
import { PendingOrders } from './pendingOrders.js'
import { defaultPlacementLimits, type LoadedModel, type PlacementAction, type PlacementDecider, type PlacementEvent, type PlacementLimits, type PlacementOutcome } from './placementTypes.js'
import { ReportInterval } from './reportInterval.js'
import { RunnerRecord } from './runnerRecord.js'
import type { ModelDeclaration, PlacementRunner } from './runnerView.js'
import { WeightRateLimiter } from './weightRateLimiter.js'

/** Order in which proposals are carried out. */
const KIND_ORDER: readonly ProposedOrder['kind'][] = ['load', 'loadAdapter', 'unload']

/** Placement planner of one process. */
export class PlacementPlanner implements PlacementDecider {
  private config: FleetConfig | undefined
  private announcement: FencingAnnouncement | undefined
  /** Order counter over all lease terms of this process; keeps order ids unique. */
  private sequence = 0
  private lastEventAt: Instant | undefined
  /** When an engine last reported a higher fencing number. */
  private higherFencingAt: Instant | undefined
  private readonly records = new Map<string, RunnerRecord>()
  private readonly surplusSince = new Map<string, Instant>()
  private readonly pendingOrders: PendingOrders
  private readonly weightLimiter: WeightRateLimiter
  private readonly reports = new ReportInterval()

  constructor (private readonly limits: PlacementLimits = defaultPlacementLimits) {
    this.pendingOrders = new PendingOrders(limits)
    this.weightLimiter = new WeightRateLimiter(limits.weightsPerMinute, limits.weightsBurst)
  }

  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    this.detectPause(now)
    switch (event.kind) {
      case 'configured': return this.configure(event.config, now)
      case 'taken': return this.startTerm(event.fencing, now)
      case 'lost': return this.endTerm()
      case 'reported': return this.report(event.runner, event.models, event.leaving, now)
      case 'answered': return this.answer(event.orderId, event.outcome, now)
      case 'tick': return this.next(now)
    }
  }

  private configure (config: FleetConfig, now: Instant): readonly PlacementAction[] {
    this.config = config
    this.reports.configure(Object.values(config.runners).filter(({ state }) => state === 'active').length, now)
    for (const runner of this.records.keys()) {
      if (config.runners[runner] !== undefined) continue
      this.records.delete(runner)
      this.pendingOrders.discard(runner)
    }
    for (const runner of Object.keys(config.runners)) {
      if (!this.records.has(runner)) this.records.set(runner, new RunnerRecord(now, this.limits, this.reports))
    }
    this.pendingOrders.retainWhere(({ kind, model, version }) => kind === 'unload' || config.models[model]?.version === version)
    return []
  }

  private startTerm (fencing: number, now: Instant): readonly PlacementAction[] {
    this.announcement = new FencingAnnouncement(fencing, now, this.limits, this.reports)
    this.higherFencingAt = undefined
    this.pendingOrders.clear()
    this.resetReports(now)
    return []
  }

  private endTerm (): readonly PlacementAction[] {
    this.announcement = undefined
    this.pendingOrders.clear()
    return []
  }

  private report (runner: string, models: readonly LoadedModel[], leaving: boolean, now: Instant): readonly PlacementAction[] {
    this.records.get(runner)?.report(models, leaving, now)
    this.pendingOrders.reported(runner, models)
    return []
  }

  private answer (orderId: string, outcome: PlacementOutcome, now: Instant): readonly PlacementAction[] {
    if (outcome.kind === 'oldFencing') this.higherFencingAt = now
    const isAnnouncement = this.announcement?.answered(orderId, outcome) ?? false
    if (!isAnnouncement) this.pendingOrders.answered(orderId, outcome, now)
    if (outcome.kind === 'refused' && outcome.retryAfterMs !== undefined) this.weightLimiter.refused(outcome.retryAfterMs, now)
    return this.next(now)
  }

  /** Resets reports after a pause of the process, as missing reports then do not indicate failed runners. */
  private detectPause (now: Instant): void {
    const last = this.lastEventAt
    this.lastEventAt = now
    if (last !== undefined && elapsedMs(last, now) >= this.limits.pauseMs) this.resetReports(now)
  }

  private resetReports (now: Instant): void {
    this.surplusSince.clear()
    for (const record of this.records.values()) record.resetReport(now)
  }

  private next (now: Instant): readonly PlacementAction[] {
    const { config, announcement } = this
    if (config === undefined || announcement === undefined || this.isLeaseInDoubt(now)) return []
    const reachable = this.reachableRunners(config, now)
    const announcements = announcement.next(reachable, now, runner => this.nextOrderId(announcement.fencing, runner))
    if (!announcement.isDone(reachable, now) || this.hasUnknownRunner(config, now)) return announcements
    const proposals = this.proposeOrders(config, now)
    return [...announcements, ...this.pendingOrders.expire(now), ...this.issueOrders(proposals, config, announcement.fencing, now)]
  }

  /**
   * Whether a higher fencing number was reported recently; within the lease duration it becomes clear whether
   * the lease is still held.
   */
  private isLeaseInDoubt (now: Instant): boolean {
    return this.higherFencingAt !== undefined && elapsedMs(this.higherFencingAt, now) < this.limits.takeoverMs
  }

  private reachableRunners (config: FleetConfig, now: Instant): readonly (readonly [string, RunnerConfig])[] {
    return Object.entries(config.runners).filter(([runner, { state }]) => state === 'active' && this.records.get(runner)?.updatePresence(now) === 'up')
  }

  private hasUnknownRunner (config: FleetConfig, now: Instant): boolean {
    return Object.entries(config.runners).some(([runner, { state }]) => state === 'active' && this.records.get(runner)?.updatePresence(now) === 'unknown')
  }

  private proposeOrders (config: FleetConfig, now: Instant): readonly ProposedOrder[] {
    const runners = Object.entries(config.runners).map(([runner, cfg]) => this.snapshotRunner(runner, cfg, now))
    const proposals = [...runnersByModel(config, runners)].flatMap(([model, related]) => {
      const proposed = new ModelPlan(declarationOf(config, model), related, this.limits).next()
      return this.withoutRecentSurplus(model, proposed, now)
    })
    return proposals.sort((a, b) => KIND_ORDER.indexOf(a.kind) - KIND_ORDER.indexOf(b.kind) || a.serving - b.serving)
  }

  private snapshotRunner (runner: string, cfg: RunnerConfig, now: Instant): PlacementRunner {
    const record = this.records.get(runner)
    const isUp = record?.updatePresence(now) === 'up'
    const isServing = isUp && cfg.state === 'active' && !record.leaving
    if (!isServing) this.pendingOrders.discard(runner)
    return {
      runner,
      domain: cfg.domain,
      declaredModels: cfg.models,
      isServing,
      isStable: record?.isStable(now) ?? false,
      failures: record?.failures ?? 0,
      loaded: isUp ? record.models : [],
      blockedModels: this.pendingOrders.blockedModels(runner, now),
      pendingOrder: this.pendingOrders.of(runner)
    }
  }

  private withoutRecentSurplus (model: string, proposals: readonly ProposedOrder[], now: Instant): readonly ProposedOrder[] {
    if (!proposals.some(({ isSurplus }) => isSurplus)) this.surplusSince.delete(model)
    else if (!this.surplusSince.has(model)) this.surplusSince.set(model, now)
    const since = this.surplusSince.get(model)
    const isExpired = since !== undefined && elapsedMs(since, now) >= this.limits.surplusMs + this.reports.extraDelayMs(now)
    return proposals.filter(({ isSurplus }) => !isSurplus || isExpired)
  }

  private issueOrders (proposals: readonly ProposedOrder[], config: FleetConfig, fencing: number, now: Instant): readonly PlacementAction[] {
    const actions: PlacementAction[] = []
    for (const proposal of proposals) {
      if (this.pendingOrders.size >= this.limits.maxPending) break
      const { runner, kind, model } = proposal
      if (this.pendingOrders.of(runner) !== undefined || this.pendingOrders.blockedModels(runner, now).includes(model)) continue
      if (kind !== 'unload' && !this.weightLimiter.tryAcquire(now)) continue
      const action = this.createAction(proposal, config.runners[runner]?.address ?? '', fencing)
      this.pendingOrders.sent(action, now)
      actions.push(action)
    }
    return actions
  }

  private createAction ({ runner, kind, model, version, adapter, reason }: ProposedOrder, address: string, fencing: number): PlacementAction {
    const orderId = `${this.nextOrderId(fencing, runner)}/${kind}/${model}@${version}${adapter === undefined ? '' : `+${adapter}`}`
    const order = { orderId, fencing, kind, model, version, ...(adapter === undefined ? {} : { adapter }) }
    return { kind: 'order', runner, address, order, reason }
  }

  private nextOrderId (fencing: number, runner: string): string {
    this.sequence += 1
    return `placement/${fencing}/${runner}/${this.sequence}`
  }
}

/** Groups runners by the models that they declare, have or await, so that a plan reads only related runners. */
function runnersByModel (config: FleetConfig, runners: readonly PlacementRunner[]): ReadonlyMap<string, readonly PlacementRunner[]> {
  const found = new Map<string, PlacementRunner[]>(Object.keys(config.models).sort().map(model => [model, []]))
  for (const runner of runners) {
    const models = new Set([...runner.declaredModels, ...runner.loaded.map(({ model }) => model)])
    if (runner.pendingOrder !== undefined) models.add(runner.pendingOrder.model)
    for (const model of models) {
      const related = found.get(model)
      if (related === undefined) found.set(model, [runner])
      else related.push(runner)
    }
  }
  return found
}

function declarationOf (config: FleetConfig, model: string): ModelDeclaration {
  const declared = config.models[model]
  return { model, version: declared?.version, adapters: declared?.adapters ?? [], copies: declared?.copies }
}
