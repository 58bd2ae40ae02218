/**
 * Chooses a runner for each request. An unkeyed request goes to the eligible runner with the lowest
 * predicted cost among two random candidates and those believed to cache part of its prompt; all
 * candidates are evaluated before a refusal. A keyed request goes to the first eligible runner in
 * the order that all VMs share.
 */
import type { Instant } from '../clock/clockTypes.js'
import { boundEjections } from './ejectionBound.js'
import { FleetView } from './fleetView.js'
import { keyedOrder } from './keyedOrder.js'
import { predict } from './latencyModel.js'
import { localWindow } from './localWindow.js'
import { refuseOverloaded, refuseDeadline, refuseNoRunner } from './routeRefusal.js'
import { ENGINE_QUEUE_SHARE, type RequestDemand, type RunnerEvaluation, type RunnerState } from './runnerState.js'
import type { RouteDecider, RouteDecision, RouteEvent, RouteRequest, RunnerStatus, RunnerView } from './routingTypes.js'

/** A keyed request skips a runner whose load exceeds this multiple of the mean. */
const KEYED_LOAD_FACTOR = 1.25

/** A runner below this share of busy slots is never skipped. */
const KEYED_MIN_LOAD_SHARE = 0.75

/** Share of busy slots up to which a first token certainly did not wait for a slot, although reports lag. */
const UNQUEUED_MAX_SHARE = 0.75

interface RoutingContext {
  readonly req: RouteRequest
  readonly now: Instant
  readonly usable: readonly RunnerState[]
  readonly demand: RequestDemand
  /** Requests of all VMs per slot, over the usable runners. */
  readonly meanPerSlot: number
}

export class RunnerRouter implements RouteDecider {
  private readonly view: FleetView

  /**
   * @param vm - name of this VM
   * @param domain - failure domain of this VM
   */
  constructor (vm: string, domain: string) {
    this.view = new FleetView(vm, domain)
  }

  observe (event: RouteEvent, now: Instant): void {
    this.view.observe(event, now)
  }

  inFlight (runner: string): number {
    return this.view.find(runner)?.load.count ?? 0
  }

  /** State of each runner as this VM sees it, for operators. */
  states (now: Instant): readonly RunnerStatus[] {
    return this.view.all().map(state => state.standing(now.mono))
  }

  /** Runners whose load reports and cache events this VM should poll. */
  watched (): readonly RunnerView[] {
    return this.view.watchedRunners()
  }

  /**
   * Cautious prediction for a request on a busy runner, for the queue in front of this router.
   * @returns milliseconds; 0 while there are too few recent samples
   */
  serviceMs (promptTokens: number, answerTokens: number, now: Instant): number {
    const { fleet } = this.view
    const input = { uncachedTokens: promptTokens, answerTokens, load: 0, slots: 1 }
    return fleet.isTrusted(now.mono) ? predict(fleet, fleet, input, true).totalMs : 0
  }

  route (req: RouteRequest, now: Instant, random: () => number): RouteDecision {
    const runners = this.view.runnersOf(req.model)
    const pool = req.keyed ? runners.all : runners.watched
    const candidates = pool.filter(state => !state.isLeaving && !req.exclude.includes(state.view.runner))
    const { usable, forcedCount } = boundEjections(preferLoaded(candidates, req.model), now.mono)
    const context = this.contextOf(req, now, usable)
    const note = forcedCount > 0 ? `; ${forcedCount} ejected runners used because too many are ejected` : ''
    return req.keyed ? this.routeKeyed(context, runners.all, note) : this.routeUnkeyed(context, note, random)
  }

  private contextOf (req: RouteRequest, now: Instant, usable: readonly RunnerState[]): RoutingContext {
    const cached = this.view.prefixes.cachedShares(req.prefixHashes, now.mono)
    const slots = Math.max(1, slotsOf(usable))
    const localCount = usable.reduce((sum, state) => sum + state.load.count, 0)
    const window = localWindow(usable, ENGINE_QUEUE_SHARE)
    const demand = {
      mono: now.mono,
      promptTokens: req.promptTokens,
      cached,
      boundTokens: req.maxTokens,
      expectedTokens: Math.min(req.maxTokens, this.view.fleet.answerTokens.mean),
      remainingMs: req.deadline.mono - now.mono,
      prior: this.view.remotePerSlot,
      windowPerSlot: localCount < window ? window / slots : 0
    }
    return { req, now, usable, demand, meanPerSlot: localCount / slots + this.view.remotePerSlot }
  }

  private routeUnkeyed (context: RoutingContext, note: string, random: () => number): RouteDecision {
    const { usable } = context
    if (usable.length === 0) return refuseNoRunner(context.req, [])
    const sampled = sampleCandidates(context, random).map(state => this.evaluate(state, context))
    const bestSampled = lowestCost(sampled)
    if (bestSampled !== undefined) return this.routed(context, bestSampled, [], sampled, `best of ${sampled.length} sampled from ${usable.length}${note}`)
    const evaluated = usable.map(state => this.evaluate(state, context))
    const bestOfAll = lowestCost(evaluated)
    if (bestOfAll !== undefined) return this.routed(context, bestOfAll, [], evaluated, `best of all ${evaluated.length}, none of the sampled runners was eligible${note}`)
    return this.refuse(context, evaluated, [])
  }

  private routeKeyed (context: RoutingContext, all: readonly RunnerState[], note: string): RouteDecision {
    const allowed = new Set(context.usable)
    const skipped: RunnerState[] = []
    const evaluated: RunnerEvaluation[] = []
    let fallback: { evaluation: RunnerEvaluation, skipped: number } | undefined
    for (const state of keyedOrder(context.req.requestId, context.req.model, all, context.now.wall)) {
      if (allowed.has(state)) {
        const evaluation = this.evaluate(state, context)
        evaluated.push(evaluation)
        if (evaluation.isEligible && isUnderLoadBound(evaluation, context.meanPerSlot)) {
          return this.routed(context, evaluation, skipped, evaluated, `place ${skipped.length + 1} in the order of the key${note}`)
        }
        if (evaluation.isEligible) fallback ??= { evaluation, skipped: skipped.length }
      }
      skipped.push(state)
    }
    if (fallback !== undefined) {
      const reason = `place ${fallback.skipped + 1} in the order of the key, all over the load bound${note}`
      return this.routed(context, fallback.evaluation, skipped.slice(0, fallback.skipped), evaluated, reason)
    }
    const lookupRunners = skipped.map(state => state.view)
    return evaluated.length === 0 ? refuseNoRunner(context.req, lookupRunners) : this.refuse(context, evaluated, lookupRunners)
  }

  private evaluate (state: RunnerState, { demand }: RoutingContext): RunnerEvaluation {
    return state.evaluate(demand, this.view.fleet)
  }

  /** Refuses as overloaded if a runner at capacity would be fast enough, so that the request may wait for it. */
  private refuse ({ req, demand }: RoutingContext, evaluated: readonly RunnerEvaluation[], lookupRunners: readonly RunnerView[]): RouteDecision {
    const totalMs = (item: RunnerEvaluation, load: number): number => item.state.predictCautiously(demand, this.view.fleet, load).totalMs
    const presentMs = Math.min(...evaluated.map(item => totalMs(item, item.load)))
    const isWorthWaiting = !evaluated.some(item => item.hasCapacity) || presentMs <= demand.remainingMs
    if (isWorthWaiting) return refuseOverloaded(req, this.view.fleet, evaluated, lookupRunners)
    const idleMs = Math.min(...evaluated.map(item => totalMs(item, 0)))
    return refuseDeadline(req, { presentMs, idleMs, remainingMs: demand.remainingMs }, evaluated, lookupRunners)
  }

  private routed ({ req, now }: RoutingContext, chosen: RunnerEvaluation, skipped: readonly RunnerState[], evaluated: readonly RunnerEvaluation[], reason: string): RouteDecision {
    const { state, load, uncachedTokens } = chosen
    this.view.recordRouted(req.requestId, {
      maxTokens: req.maxTokens,
      uncachedTokens,
      hadFreeSlot: state.load.isFresh(now.mono) && load + 1 <= state.view.slots * UNQUEUED_MAX_SHARE,
      prefixHashes: req.prefixHashes
    })
    return {
      kind: 'routed',
      choice: state.view,
      runnersToSeal: skipped.map(item => item.view),
      candidates: evaluated.map(item => item.state.view.runner),
      reason: `${reason}; load ${load.toFixed(1)} of ${state.view.slots}, cost ${Math.round(chosen.costMs)} ms`
    }
  }
}

/** Two random runners, in random order because ties go to the first, and those believed to cache part of the prompt. */
function sampleCandidates ({ usable, demand }: RoutingContext, random: () => number): readonly RunnerState[] {
  const first = Math.floor(random() * usable.length)
  const second = (first + 1 + Math.floor(random() * (usable.length - 1))) % usable.length
  const sampled = new Set([usable[first], usable[second]])
  if (demand.cached.size > 0) for (const state of usable) if (demand.cached.has(state.view.runner)) sampled.add(state)
  return [...sampled].filter(state => state !== undefined)
}

/** Eligible runner with the lowest predicted cost. */
function lowestCost (evaluated: readonly RunnerEvaluation[]): RunnerEvaluation | undefined {
  let found: RunnerEvaluation | undefined
  for (const item of evaluated) {
    if (item.isEligible && (found === undefined || item.costMs < found.costMs)) found = item
  }
  return found
}

function slotsOf (states: readonly RunnerState[]): number {
  return states.reduce((sum, state) => sum + state.view.slots, 0)
}

/** Whether the load of a runner is low enough for a keyed request not to skip it. */
function isUnderLoadBound (evaluation: RunnerEvaluation, meanPerSlot: number): boolean {
  const share = Math.max(KEYED_MIN_LOAD_SHARE, KEYED_LOAD_FACTOR * meanPerSlot)
  return evaluation.load + 1 <= evaluation.state.view.slots * share
}

/** Runners that report the model as not loaded are used only when all do, because reports lag. */
function preferLoaded (candidates: readonly RunnerState[], model: string): readonly RunnerState[] {
  const loaded = candidates.filter(state => !state.lacksModel(model))
  return loaded.length > 0 ? loaded : candidates
}
