/**
 * Plans the orders that bring the runners to the declared state. It acts only while this process holds the
 * placement lease and once the presence of every runner is determined. Each decision compares declared and
 * reported state anew, so it does not depend on plans of an earlier holder.
 */
import { elapsedMs, type Instant } from '../clock/clockTypes.js'
import type { FleetConfig, RunnerConfig } from '../config/configSchema.js'
import { FencePass } from './fencePass.js'
import { ModelPlan, type PlacementWish } from './modelPlan.js'
import { OrderBook } from './orderBook.js'
import { defaultPlacementLimits, type LoadedModel, type PlacementAction, type PlacementDecider, type PlacementEvent, type PlacementLimits, type PlacementOutcome } from './placementTypes.js'
import { ReportPace } from './reportPace.js'
import { RunnerRecord } from './runnerRecord.js'
import type { ModelTarget, PlacementRunner } from './runnerView.js'
import { WeightPace } from './weightPace.js'

/** Order in which proposals are carried out. */
const KIND_ORDER: readonly PlacementWish['kind'][] = ['load', 'loadAdapter', 'unload']

/** Placement planner of one process. */
export class PlacementPlanner implements PlacementDecider {
  private config: FleetConfig | undefined
  private pass: FencePass | undefined
  /** Order counter over all lease terms of this process; keeps order ids unique. */
  private sequence = 0
  private lastEventAt: Instant | undefined
  /** When an engine last reported a higher fencing number. */
  private doubtedAt: Instant | undefined
  private readonly records = new Map<string, RunnerRecord>()
  private readonly surplusSince = new Map<string, Instant>()
  private readonly book: OrderBook
  private readonly pace: WeightPace
  private readonly reports = new ReportPace()

  constructor (private readonly limits: PlacementLimits = defaultPlacementLimits) {
    this.book = new OrderBook(limits)
    this.pace = new WeightPace(limits.weightsPerMinute, limits.weightsBurst)
  }

  handle (event: PlacementEvent, now: Instant): readonly PlacementAction[] {
    this.noticePause(now)
    switch (event.kind) {
      case 'configured': return this.configure(event.config, now)
      case 'taken': return this.take(event.fencing, now)
      case 'lost': return this.lose()
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
      this.book.drop(runner)
    }
    for (const runner of Object.keys(config.runners)) {
      if (!this.records.has(runner)) this.records.set(runner, new RunnerRecord(now, this.limits, this.reports))
    }
    this.book.keepOnly(({ kind, model, version }) => kind === 'unload' || config.models[model]?.version === version)
    return []
  }

  private take (fencing: number, now: Instant): readonly PlacementAction[] {
    this.pass = new FencePass(fencing, now, this.limits, this.reports)
    this.doubtedAt = undefined
    this.book.clear()
    this.listenAnew(now)
    return []
  }

  private lose (): readonly PlacementAction[] {
    this.pass = undefined
    this.book.clear()
    return []
  }

  private report (runner: string, models: readonly LoadedModel[], leaving: boolean, now: Instant): readonly PlacementAction[] {
    this.records.get(runner)?.report(models, leaving, now)
    this.book.reported(runner, models)
    return []
  }

  private answer (orderId: string, outcome: PlacementOutcome, now: Instant): readonly PlacementAction[] {
    if (outcome.kind === 'oldFencing') this.doubtedAt = now
    const isPass = this.pass?.answered(orderId, outcome) ?? false
    if (!isPass) this.book.answered(orderId, outcome, now)
    if (outcome.kind === 'refused' && outcome.retryAfterMs !== undefined) this.pace.refused(outcome.retryAfterMs, now)
    return this.next(now)
  }

  /** Resets reports after a pause of the process, as missing reports then do not indicate failed runners. */
  private noticePause (now: Instant): void {
    const last = this.lastEventAt
    this.lastEventAt = now
    if (last !== undefined && elapsedMs(last, now) >= this.limits.pauseMs) this.listenAnew(now)
  }

  private listenAnew (now: Instant): void {
    this.surplusSince.clear()
    for (const record of this.records.values()) record.listenAnew(now)
  }

  private next (now: Instant): readonly PlacementAction[] {
    const { config, pass } = this
    if (config === undefined || pass === undefined || this.isInDoubt(now)) return []
    const answering = this.answering(config, now)
    const fences = pass.next(answering, now, runner => this.idOf(pass.fencing, runner))
    if (!pass.isDone(answering, now) || this.isAnyUnknown(config, now)) return fences
    const wishes = this.wishes(config, now)
    return [...fences, ...this.book.expire(now), ...this.grant(wishes, config, pass.fencing, now)]
  }

  /**
   * Whether a higher fencing number was reported recently; within the lease duration it becomes clear whether
   * the lease is still held.
   */
  private isInDoubt (now: Instant): boolean {
    return this.doubtedAt !== undefined && elapsedMs(this.doubtedAt, now) < this.limits.takeoverMs
  }

  private answering (config: FleetConfig, now: Instant): readonly (readonly [string, RunnerConfig])[] {
    return Object.entries(config.runners).filter(([runner, { state }]) => state === 'active' && this.records.get(runner)?.look(now) === 'up')
  }

  private isAnyUnknown (config: FleetConfig, now: Instant): boolean {
    return Object.entries(config.runners).some(([runner, { state }]) => state === 'active' && this.records.get(runner)?.look(now) === 'unknown')
  }

  private wishes (config: FleetConfig, now: Instant): readonly PlacementWish[] {
    const runners = Object.entries(config.runners).map(([runner, cfg]) => this.viewOf(runner, cfg, now))
    const wishes = [...runnersByModel(config, runners)].flatMap(([model, concerned]) => {
      const found = new ModelPlan(targetOf(config, model), concerned, this.limits).next()
      return this.withoutYoungSurplus(model, found, now)
    })
    return wishes.sort((a, b) => KIND_ORDER.indexOf(a.kind) - KIND_ORDER.indexOf(b.kind) || a.serving - b.serving)
  }

  private viewOf (runner: string, cfg: RunnerConfig, now: Instant): PlacementRunner {
    const record = this.records.get(runner)
    const isUp = record?.look(now) === 'up'
    const isServing = isUp && cfg.state === 'active' && !record.leaving
    if (!isServing) this.book.drop(runner)
    return {
      runner,
      domain: cfg.domain,
      allowed: cfg.models,
      isServing,
      isSteady: record?.isSteady(now) ?? false,
      downs: record?.downs ?? 0,
      loaded: isUp ? record.models : [],
      blocked: this.book.blocked(runner, now),
      awaited: this.book.of(runner)
    }
  }

  private withoutYoungSurplus (model: string, wishes: readonly PlacementWish[], now: Instant): readonly PlacementWish[] {
    if (!wishes.some(({ isSurplus }) => isSurplus)) this.surplusSince.delete(model)
    else if (!this.surplusSince.has(model)) this.surplusSince.set(model, now)
    const since = this.surplusSince.get(model)
    const isOld = since !== undefined && elapsedMs(since, now) >= this.limits.surplusMs + this.reports.stretchMs(now)
    return wishes.filter(({ isSurplus }) => !isSurplus || isOld)
  }

  private grant (wishes: readonly PlacementWish[], config: FleetConfig, fencing: number, now: Instant): readonly PlacementAction[] {
    const actions: PlacementAction[] = []
    for (const wish of wishes) {
      if (this.book.size >= this.limits.maxOutstanding) break
      const { runner, kind, model } = wish
      if (this.book.of(runner) !== undefined || this.book.blocked(runner, now).includes(model)) continue
      if (kind !== 'unload' && !this.pace.take(now)) continue
      const action = this.actionOf(wish, config.runners[runner]?.address ?? '', fencing)
      this.book.sent(action, now)
      actions.push(action)
    }
    return actions
  }

  private actionOf ({ runner, kind, model, version, adapter, reason }: PlacementWish, address: string, fencing: number): PlacementAction {
    const orderId = `${this.idOf(fencing, runner)}/${kind}/${model}@${version}${adapter === undefined ? '' : `+${adapter}`}`
    const order = { orderId, fencing, kind, model, version, ...(adapter === undefined ? {} : { adapter }) }
    return { kind: 'order', runner, address, order, reason }
  }

  private idOf (fencing: number, runner: string): string {
    this.sequence += 1
    return `placement/${fencing}/${runner}/${this.sequence}`
  }
}

/** Groups runners by the models that they declare, have or await, so that a plan reads only related runners. */
function runnersByModel (config: FleetConfig, runners: readonly PlacementRunner[]): ReadonlyMap<string, readonly PlacementRunner[]> {
  const found = new Map<string, PlacementRunner[]>(Object.keys(config.models).sort().map(model => [model, []]))
  for (const runner of runners) {
    const models = new Set([...runner.allowed, ...runner.loaded.map(({ model }) => model)])
    if (runner.awaited !== undefined) models.add(runner.awaited.model)
    for (const model of models) {
      const concerned = found.get(model)
      if (concerned === undefined) found.set(model, [runner])
      else concerned.push(runner)
    }
  }
  return found
}

function targetOf (config: FleetConfig, model: string): ModelTarget {
  const declared = config.models[model]
  return { model, version: declared?.version, adapters: declared?.adapters ?? [], copies: declared?.copies }
}
