/**
 * Everything one VM knows of one runner, and the judgement of it for one request.
 */
import { LatencyModel, predict, type Prediction } from './latencyModel.js'
import { hashName } from './rendezvous.js'
import { RunnerHealth } from './runnerHealth.js'
import { RunnerLoad } from './runnerLoad.js'
import type { RunnerView } from './routingTypes.js'

/** Requests that may wait at an engine, as a share of its slots, so that a freed slot finds work. */
const ENGINE_QUEUE_SHARE = 0.25

/** How the request looks to one runner. */
export interface Demand {
  readonly mono: number
  readonly promptTokens: number
  /** Share of the prompt believed to be cached there, 0 to 1. */
  readonly cachedShare: number
  /** Bound and expectation of the generated tokens. */
  readonly boundTokens: number
  readonly expectedTokens: number
  readonly remainingMs: number
  /** Requests of others for each slot, where no report says better. */
  readonly prior: number
}

/** One runner judged for one request. */
export interface Judgement {
  readonly state: RunnerState
  readonly load: number
  readonly uncachedTokens: number
  /** Whether one more request is allowed there. */
  readonly hasRoom: boolean
  /** Whether the cautious prediction is before the deadline. */
  readonly fits: boolean
  readonly expected: Prediction
  readonly cautious: Prediction
}

/** One runner. */
export class RunnerState {
  readonly nameHash: number
  readonly load = new RunnerLoad()
  readonly health = new RunnerHealth()
  readonly models = new Set<string>()
  latency = new LatencyModel()
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

  configured (view: RunnerView): void {
    this.view = view
    if (view.leaving !== undefined) this.leavingByConfig = view.leaving
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
   * @param demand - the request as it looks to this runner
   * @param fleet - measured speed of all runners
   */
  judge (demand: Demand, fleet: LatencyModel): Judgement {
    const slots = this.slots(demand.mono)
    const load = this.load.estimate(demand.mono, demand.prior * this.view.slots)
    const uncachedTokens = demand.promptTokens * (1 - demand.cachedShare)
    const work = { uncachedTokens, load, slots }
    const expected = predict(this.latency, fleet, { ...work, answerTokens: demand.expectedTokens }, false)
    const cautious = predict(this.latency, fleet, { ...work, answerTokens: demand.boundTokens }, true)
    return {
      state: this,
      load,
      uncachedTokens,
      hasRoom: load + 1 <= slots * (1 + ENGINE_QUEUE_SHARE),
      fits: !fleet.trusted || cautious.totalMs <= demand.remainingMs,
      expected: this.withSilence(expected, demand.mono),
      cautious
    }
  }

  /** Slots that may be used now; fewer while the runner comes back from an ejection. */
  private slots (mono: number): number {
    return Math.max(1, this.view.slots * this.health.share(mono, this.load.count))
  }

  /** A runner that has kept a request waiting for its first token longer than predicted will keep the next one too. */
  private withSilence (expected: Prediction, mono: number): Prediction {
    const extraMs = Math.max(0, this.load.oldestWaitMs(mono) - expected.firstTokenMs)
    return { ...expected, firstTokenMs: expected.firstTokenMs + extraMs, totalMs: expected.totalMs + extraMs }
  }
}
