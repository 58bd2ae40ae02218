/**
 * State of one runner as one VM sees it, and its evaluation for a request.
 */
import { LatencyModel, predict, type Prediction, type PredictionInput } from './latencyModel.js'
import { hashName } from './rendezvous.js'
import { TargetHealth } from './targetHealth.js'
import { RunnerLoad } from './runnerLoad.js'
import type { RunnerStatus, RunnerView } from './routingTypes.js'

/** Requests that may wait at an engine, as a share of its slots, so that a freed slot is used at once. */
export const ENGINE_QUEUE_SHARE = 1 / 32

/** The same for a request whose prompt is cached at the runner: waiting costs less than computing the prompt elsewhere. */
const CACHED_QUEUE_SHARE = 1 / 4

/** Multiple of its fair share of this VM's window that one runner may get. */
const FAIR_SHARE_FACTOR = 1.25

/** A request for which runners are evaluated. */
export interface RequestDemand {
  readonly mono: number
  readonly promptTokens: number
  /** Share of the prompt believed to be cached, 0 to 1, by runner. */
  readonly cached: ReadonlyMap<string, number>
  /** Upper bound and expected number of generated tokens. */
  readonly boundTokens: number
  readonly expectedTokens: number
  readonly remainingMs: number
  /** Load from other VMs per slot, assumed without a recent report. */
  readonly prior: number
  /** Requests of this VM allowed per slot by its window; 0 when the window is full. */
  readonly windowPerSlot: number
}

/** Evaluation of one runner for one request. */
export interface RunnerEvaluation {
  readonly state: RunnerState
  /** Estimated requests at the runner now, from all VMs. */
  readonly load: number
  readonly uncachedTokens: number
  /** Whether the runner may get one more request. */
  readonly hasCapacity: boolean
  /** Whether it has capacity and the cautious prediction meets the deadline. */
  readonly isEligible: boolean
  /** Expected time plus the delay that the request causes to others at the runner; infinite when not eligible. */
  readonly costMs: number
}

export class RunnerState {
  readonly nameHash: number
  readonly load = new RunnerLoad()
  readonly health = new TargetHealth()
  /** Configured models, each with the wall time in milliseconds when it was added, if known. */
  readonly models = new Map<string, number | undefined>()
  latency = new LatencyModel()
  private loadedModels: ReadonlySet<string> | undefined
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

  /** State of the runner for operators. */
  standing (mono: number): RunnerStatus {
    const reportAgeMs = this.load.reportAgeMs(mono)
    return {
      runner: this.view.runner,
      ...this.stateAndReason(),
      inFlight: this.load.count,
      ...(reportAgeMs === undefined ? {} : { reportAgeMs: Math.round(reportAgeMs) })
    }
  }

  private stateAndReason (): Pick<RunnerStatus, 'state' | 'reason'> {
    if (this.leavingByConfig) return { state: 'leaving', reason: 'marked as leaving in the configuration' }
    if (this.isLeaving) return { state: 'leaving', reason: 'reported by the runner' }
    if (this.health.isAwaitingProbe) return { state: 'ejected', reason: this.health.reason }
    const missing = [...this.models.keys()].filter(model => this.lacksModel(model))
    if (missing.length === 0) return { state: 'active', reason: 'healthy' }
    const reason = `not loaded: ${missing.join(', ')}`
    return { state: missing.length === this.models.size ? 'notLoaded' : 'active', reason }
  }

  configured (view: RunnerView): void {
    this.view = view
    if (view.leaving !== undefined) this.leavingByConfig = view.leaving
  }

  reportedModels (models: readonly string[]): void {
    this.loadedModels = new Set(models)
  }

  /** Whether the runner reports that a model is not loaded; false before its first report. */
  lacksModel (model: string): boolean {
    return this.loadedModels !== undefined && !this.loadedModels.has(model)
  }

  leaving (source: 'config' | 'runner', mono: number): void {
    if (source === 'config') this.leavingByConfig = true
    else this.leavingByRunnerAt = mono
  }

  /**
   * Applies the leaving flag of a load report.
   * @param at - monotonic time in milliseconds to which the report refers
   */
  reportedLeaving (leaving: boolean, at: number): void {
    this.leavingByReport = leaving
    if (!leaving && this.leavingByRunnerAt !== undefined && at > this.leavingByRunnerAt) this.leavingByRunnerAt = undefined
  }

  evaluate (demand: RequestDemand, fleet: LatencyModel): RunnerEvaluation {
    const slots = this.slots(demand.mono)
    const load = this.load.estimate(demand.mono, demand.prior * this.view.slots)
    const cachedShare = demand.cached.get(this.view.runner) ?? 0
    const uncachedTokens = demand.promptTokens * (1 - cachedShare)
    const queueShare = ENGINE_QUEUE_SHARE + (CACHED_QUEUE_SHARE - ENGINE_QUEUE_SHARE) * cachedShare
    const hasCapacity = this.load.confirmedLoad(demand.mono) + 1 <= slots * (1 + queueShare) && this.load.count < this.localLimit(slots, demand)
    const input = { uncachedTokens, load, slots }
    const fits = hasCapacity && this.meetsDeadline(input, demand, fleet)
    const costMs = fits ? this.costMs(input, demand, fleet) : Infinity
    return { state: this, load, uncachedTokens, hasCapacity, isEligible: fits, costMs }
  }

  /** Cautious prediction for a request at an assumed load. */
  predictCautiously (demand: RequestDemand, fleet: LatencyModel, load: number): Prediction {
    const uncachedTokens = demand.promptTokens * (1 - (demand.cached.get(this.view.runner) ?? 0))
    const input = { uncachedTokens, load, slots: this.view.slots, answerTokens: demand.boundTokens }
    return predict(this.latency, fleet, input, true)
  }

  private meetsDeadline (input: Omit<PredictionInput, 'answerTokens'>, demand: RequestDemand, fleet: LatencyModel): boolean {
    if (!fleet.isTrusted(demand.mono)) return demand.remainingMs > 0
    const cautious = predict(this.latency, fleet, { ...input, answerTokens: demand.boundTokens }, true)
    return cautious.totalMs <= demand.remainingMs
  }

  /** Computing a prompt delays every request in the batch; an unresponsive runner will make this request wait as well. */
  private costMs (input: Omit<PredictionInput, 'answerTokens'>, demand: RequestDemand, fleet: LatencyModel): number {
    const expected = predict(this.latency, fleet, { ...input, answerTokens: demand.expectedTokens }, false)
    const stallMs = Math.max(0, this.load.oldestWaitMs(demand.mono) - expected.firstTokenMs)
    return expected.totalMs + stallMs + expected.prefillMs * Math.min(input.load, input.slots)
  }

  /** All VMs see a free slot late and at the same time; a bound on the local share keeps each from filling it alone. */
  private localLimit (slots: number, demand: RequestDemand): number {
    return demand.windowPerSlot === 0 ? 0 : Math.max(1, slots * FAIR_SHARE_FACTOR * demand.windowPerSlot)
  }

  /** Slots that may be used now; fewer while the runner ramps up after an ejection. */
  private slots (mono: number): number {
    return Math.max(1, this.view.slots * this.health.share(mono, this.load.count))
  }
}
