/**
 * State of all runners as one VM sees it, updated by routing events. {@link RunnerRouter} decides
 * on the basis of this state.
 */
import type { Instant } from '../clock/clockTypes.js'
import { Ewma } from './ewma.js'
import { LatencyModel } from './latencyModel.js'
import { PrefixIndex } from './prefixIndex.js'
import { subsetOf } from './runnerSubset.js'
import { RunnerState } from './runnerState.js'
import type { RouteEvent, RunnerView } from './routingTypes.js'

/** Routed requests that are stored until their `dispatched` event. */
const MAX_ROUTED_REQUESTS = 4_096

/** A runner is ejected when its prefill time per token exceeds this multiple of the median. */
const SLOW_FACTOR = 3

/** First tokens of a runner between two comparisons with the median of its peers. */
const SLOW_CHECK_INTERVAL_SAMPLES = 8

/** Samples are clipped at this multiple of the mean, so that one slow runner does not make the whole fleet look slow. */
const FLEET_CLIP_FACTOR = 1.5

/** With fewer peers a median says too little to eject a runner. */
const MIN_MEDIAN_PEERS = 3

/** Details of a routing decision, used when the request is dispatched. */
export interface RoutedRequest {
  readonly maxTokens: number
  readonly uncachedTokens: number
  readonly hadFreeSlot: boolean
  readonly prefixHashes: readonly string[]
}

/** Runners of one model; `watched` are those in the subset of this VM. */
export interface ModelRunners {
  readonly all: readonly RunnerState[]
  readonly watched: readonly RunnerState[]
}

type EventOf<K extends RouteEvent['kind']> = Extract<RouteEvent, { kind: K }>

export class FleetView {
  readonly prefixes = new PrefixIndex()
  readonly fleet = new LatencyModel(FLEET_CLIP_FACTOR)
  private readonly runners = new Map<string, RunnerState>()
  private readonly models = new Map<string, ModelRunners>()
  private readonly routed = new Map<string, RoutedRequest>()
  private readonly remotePerSlotMean = new Ewma()

  /**
   * @param vm - name of this VM
   * @param domain - failure domain of this VM
   */
  constructor (private readonly vm: string, private readonly domain: string) {}

  /** Average number of requests from other VMs per slot, over all runners that report. */
  get remotePerSlot (): number {
    return this.remotePerSlotMean.mean
  }

  runnersOf (model: string): ModelRunners {
    return this.models.get(model) ?? { all: [], watched: [] }
  }

  /** Runners whose load reports and cache events this VM should poll. */
  watchedRunners (): readonly RunnerView[] {
    const states = new Set([...this.models.values()].flatMap(model => model.watched))
    return [...states].map(state => state.view)
  }

  all (): readonly RunnerState[] {
    return [...this.runners.values()]
  }

  find (runner: string): RunnerState | undefined {
    return this.runners.get(runner)
  }

  recordRouted (requestId: string, request: RoutedRequest): void {
    this.routed.delete(requestId)
    this.routed.set(requestId, request)
    if (this.routed.size <= MAX_ROUTED_REQUESTS) return
    const oldest = this.routed.keys().next()
    if (oldest.done !== true) this.routed.delete(oldest.value)
  }

  observe (event: RouteEvent, now: Instant): void {
    if (event.kind === 'configured') {
      this.configured(event)
      return
    }
    const state = this.runners.get(event.runner)
    if (state !== undefined) this.observeRunner(state, event, now.mono)
  }

  private observeRunner (state: RunnerState, event: Exclude<RouteEvent, { kind: 'configured' }>, mono: number): void {
    switch (event.kind) {
      case 'dispatched': return this.dispatched(state, event, mono)
      case 'firstToken': return this.firstToken(state, event, mono)
      case 'ended': return this.ended(state, event, mono)
      case 'loadReported': return this.loadReported(state, event, mono)
      case 'cacheReported': return this.cacheReported(event, mono)
      case 'leaving': return state.leaving(event.source ?? 'config', mono)
    }
  }

  private configured (event: EventOf<'configured'>): void {
    for (const state of this.runnersOf(event.model).all) state.models.delete(event.model)
    const all = event.runners.map(view => this.configuredRunner(view, event.model))
    const subset = new Set(subsetOf(this.vm, this.domain, event.runners).map(view => view.runner))
    const watched = all.filter(state => subset.has(state.view.runner))
    if (all.length === 0) this.models.delete(event.model)
    else this.models.set(event.model, { all, watched })
    for (const state of this.runners.values()) this.deleteIfUnused(state)
  }

  private configuredRunner (view: RunnerView, model: string): RunnerState {
    const state = this.runners.get(view.runner) ?? new RunnerState(view)
    state.configured(view)
    state.models.set(model, view.addedAt)
    this.runners.set(view.runner, state)
    return state
  }

  private deleteIfUnused (state: RunnerState): void {
    if (state.models.size === 0 && state.load.count === 0) this.runners.delete(state.view.runner)
  }

  private dispatched (state: RunnerState, event: EventOf<'dispatched'>, mono: number): void {
    const routed = this.routed.get(event.requestId)
    this.routed.delete(event.requestId)
    state.load.dispatched(event.requestId, {
      atMono: mono,
      tokens: event.tokens,
      maxTokens: routed?.maxTokens ?? 0,
      uncachedTokens: routed?.uncachedTokens ?? event.tokens,
      hadFreeSlot: routed?.hadFreeSlot ?? false
    })
    for (const hash of routed?.prefixHashes ?? []) this.prefixes.stored(hash, state.view.runner, mono)
  }

  private firstToken (state: RunnerState, event: EventOf<'firstToken'>, mono: number): void {
    const request = state.load.firstToken(event.requestId, event.afterMs)
    state.health.recordResponse(mono)
    if (request?.hadFreeSlot !== true) return
    state.latency.recordFirstToken(event.afterMs, request.uncachedTokens)
    this.fleet.recordFirstToken(event.afterMs, request.uncachedTokens)
    if (state.latency.firstTokenMs.count % SLOW_CHECK_INTERVAL_SAMPLES === 0) this.ejectIfSlow(state, mono)
  }

  private ended (state: RunnerState, event: EventOf<'ended'>, mono: number): void {
    const request = state.load.ended(event.requestId, mono)
    if (event.ok) state.health.recordSuccess(mono)
    else state.health.recordFailure(mono)
    if (event.ok && request?.firstTokenMs !== undefined) {
      const busyShare = Math.min(1, state.load.estimate(mono, this.remotePerSlot * state.view.slots) / state.view.slots)
      const decodeMs = event.totalMs - request.firstTokenMs
      state.latency.recordCompletion(decodeMs, event.tokens, busyShare, mono)
      this.fleet.recordCompletion(decodeMs, event.tokens, busyShare, mono)
    }
    this.deleteIfUnused(state)
  }

  private loadReported (state: RunnerState, event: EventOf<'loadReported'>, mono: number): void {
    const reportedAt = mono - Math.max(0, event.reportAgeMs)
    const remote = state.load.reported(event.running + event.waiting, reportedAt)
    if (remote === undefined) return
    this.remotePerSlotMean.add(remote / state.view.slots)
    state.reportedLeaving(event.leaving, reportedAt)
    if (event.models !== undefined) state.reportedModels(event.models)
  }

  private cacheReported (event: EventOf<'cacheReported'>, mono: number): void {
    for (const hash of event.stored) this.prefixes.stored(hash, event.runner, mono)
    for (const hash of event.evicted) this.prefixes.evicted(hash, event.runner)
  }

  private ejectIfSlow (state: RunnerState, mono: number): void {
    const [model] = state.models.keys()
    const peers = this.runnersOf(model ?? '').watched.filter(peer => peer !== state && peer.latency.isTrusted(mono))
    if (peers.length < MIN_MEDIAN_PEERS) return
    const prefillTimes = peers.map(peer => peer.latency.prefillTokenMs(0)).sort((a, b) => a - b)
    const median = prefillTimes[Math.floor(prefillTimes.length / 2)] ?? Infinity
    if (state.latency.prefillTokenMs(0) <= SLOW_FACTOR * median) return
    state.health.eject('slow first tokens', mono)
    state.latency = new LatencyModel()
  }
}
