/**
 * Everything one VM knows of one runner, and the judgement of it for one request.
 */
import { LatencyModel, predict, type Prediction, type Work } from './latencyModel.js'
import { hashName } from './rendezvous.js'
import { TargetHealth } from './targetHealth.js'
import { RunnerLoad } from './runnerLoad.js'
import type { RunnerStanding, RunnerView } from './routingTypes.js'

/** Requests that may wait at an engine, as a share of its slots, so that a freed slot finds work. */
export const ENGINE_QUEUE_SHARE = 1 / 32

/** The same for a request whose prompt is believed to be cached there: the wait costs less than the prompt. */
const CACHED_QUEUE_SHARE = 1 / 4

/** Times its even part of the window that one runner may get of this VM's requests. */
const OWN_SPREAD = 1.25

/** A request as runners are judged for it. */
export interface Demand {
  readonly mono: number
  readonly promptTokens: number
  /** Share of the prompt believed to be cached, 0 to 1, by runner. */
  readonly cached: ReadonlyMap<string, number>
  /** Bound and expectation of the generated tokens. */
  readonly boundTokens: number
  readonly expectedTokens: number
  readonly remainingMs: number
  /** Requests of others for each slot, where no report says better. */
  readonly prior: number
  /** Own requests that one slot may get, from the window of this VM; 0 when the window is full. */
  readonly windowPerSlot: number
}

/** One runner judged for one request. */
export interface Judgement {
  readonly state: RunnerState
  /** Requests there now, by estimate. */
  readonly load: number
  readonly uncachedTokens: number
  /** Whether one more request is allowed there. */
  readonly hasRoom: boolean
  /** Whether the cautious prediction is before the deadline; false when there is no room. */
  readonly fits: boolean
  /** Expected time in milliseconds, with what the request costs the others there; infinite when it would not do. */
  readonly costMs: number
}

/** One runner. */
export class RunnerState {
  readonly nameHash: number
  readonly load = new RunnerLoad()
  readonly health = new TargetHealth()
  /** Models it is configured for, each with the wall milliseconds since which it serves it, when known. */
  readonly models = new Map<string, number | undefined>()
  latency = new LatencyModel()
  private loaded: ReadonlySet<string> | undefined
  private leavingByConfig = false
  private leavingByReport = false
  private leavingByRunnerAt: number | undefined

  constructor (public view: RunnerView) {
    this.nameHash = hashName(view.runner)
    this.configured(view)
  }

  get isLeaving (): boolean {
    return this.leavingByConfig || this.leavingByReport || this.leavingByRunnerAt !== undefined
  }

  /**
   * State of the runner for people; it changes nothing.
   * @param mono - present time
   */
  standing (mono: number): RunnerStanding {
    const reportAgeMs = this.load.reportAgeMs(mono)
    return {
      runner: this.view.runner,
      ...this.stateAndReason(),
      inFlight: this.load.count,
      ...(reportAgeMs === undefined ? {} : { reportAgeMs: Math.round(reportAgeMs) })
    }
  }

  private stateAndReason (): Pick<RunnerStanding, 'state' | 'reason'> {
    if (this.leavingByConfig) return { state: 'leaving', reason: 'the configuration says so' }
    if (this.isLeaving) return { state: 'leaving', reason: 'the runner says so' }
    if (this.health.isOut) return { state: 'ejected', reason: this.health.reason }
    const missing = [...this.models.keys()].filter(model => this.lacks(model))
    if (missing.length === 0) return { state: 'active', reason: 'healthy' }
    const reason = `not loaded: ${missing.join(', ')}`
    return { state: missing.length === this.models.size ? 'notLoaded' : 'active', reason }
  }

  configured (view: RunnerView): void {
    this.view = view
    if (view.leaving !== undefined) this.leavingByConfig = view.leaving
  }

  /**
   * Takes what a report says of loaded models.
   * @param models - their names
   */
  reportedModels (models: readonly string[]): void {
    this.loaded = new Set(models)
  }

  /**
   * Whether the runner itself says that it has not loaded a model.
   * @param model - name of the model
   */
  lacks (model: string): boolean {
    return this.loaded !== undefined && !this.loaded.has(model)
  }

  leaving (source: 'config' | 'runner', mono: number): void {
    if (source === 'config') this.leavingByConfig = true
    else this.leavingByRunnerAt = mono
  }

  /**
   * Takes what a report says of leaving.
   * @param leaving - what it says
   * @param at - monotonic milliseconds when it held
   */
  reportedLeaving (leaving: boolean, at: number): void {
    this.leavingByReport = leaving
    if (!leaving && this.leavingByRunnerAt !== undefined && at > this.leavingByRunnerAt) this.leavingByRunnerAt = undefined
  }

  /**
   * Judges the runner for one request.
   * @param demand - the request
   * @param fleet - measured speed of all runners
   */
  judge (demand: Demand, fleet: LatencyModel): Judgement {
    const slots = this.slots(demand.mono)
    const load = this.load.estimate(demand.mono, demand.prior * this.view.slots)
    const cachedShare = demand.cached.get(this.view.runner) ?? 0
    const uncachedTokens = demand.promptTokens * (1 - cachedShare)
    const queueShare = ENGINE_QUEUE_SHARE + (CACHED_QUEUE_SHARE - ENGINE_QUEUE_SHARE) * cachedShare
    const hasRoom = this.load.known(demand.mono) + 1 <= slots * (1 + queueShare) && this.load.count < this.ownLimit(slots, demand)
    const work = { uncachedTokens, load, slots }
    const fits = hasRoom && this.fits(work, demand, fleet)
    const costMs = fits ? this.costMs(work, demand, fleet) : Infinity
    return { state: this, load, uncachedTokens, hasRoom, fits, costMs }
  }

  /**
   * Cautious prediction for a request.
   * @param demand - the request
   * @param fleet - measured speed of all runners
   * @param load - requests assumed there
   */
  cautious (demand: Demand, fleet: LatencyModel, load: number): Prediction {
    const uncachedTokens = demand.promptTokens * (1 - (demand.cached.get(this.view.runner) ?? 0))
    const work = { uncachedTokens, load, slots: this.view.slots, answerTokens: demand.boundTokens }
    return predict(this.latency, fleet, work, true)
  }

  private fits (work: Omit<Work, 'answerTokens'>, demand: Demand, fleet: LatencyModel): boolean {
    if (!fleet.isTrusted(demand.mono)) return demand.remainingMs > 0
    const cautious = predict(this.latency, fleet, { ...work, answerTokens: demand.boundTokens }, true)
    return cautious.totalMs <= demand.remainingMs
  }

  /** Computing a prompt holds up every request in the batch; a silent runner will keep this request waiting as well. */
  private costMs (work: Omit<Work, 'answerTokens'>, demand: Demand, fleet: LatencyModel): number {
    const expected = predict(this.latency, fleet, { ...work, answerTokens: demand.expectedTokens }, false)
    const silenceMs = Math.max(0, this.load.oldestWaitMs(demand.mono) - expected.firstTokenMs)
    return expected.totalMs + silenceMs + expected.prefillMs * Math.min(work.load, work.slots)
  }

  /** All VMs see a free slot late and at once; a bound on the own part keeps each from filling it alone. */
  private ownLimit (slots: number, demand: Demand): number {
    return demand.windowPerSlot === 0 ? 0 : Math.max(1, slots * OWN_SPREAD * demand.windowPerSlot)
  }

  /** Slots that may be used now; fewer while the runner comes back from an ejection. */
  private slots (mono: number): number {
    return Math.max(1, this.view.slots * this.health.share(mono, this.load.count))
  }
}
