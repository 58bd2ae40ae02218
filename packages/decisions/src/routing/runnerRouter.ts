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
import { ownWindow } from './ownWindow.js'
import { refuseFull, refuseLate, refuseNoRunner } from './routeRefusal.js'
import { ENGINE_QUEUE_SHARE, type Demand, type Judgement, type RunnerState } from './runnerState.js'
import type { RouteDecider, RouteDecision, RouteEvent, RouteRequest, RunnerStanding, RunnerView } from './routingTypes.js'

/** A keyed request skips a runner whose load exceeds this multiple of the mean. */
const KEYED_LOAD_FACTOR = 1.25

/** A runner below this share of busy slots is never skipped. */
const KEYED_FREE_SHARE = 0.75

/** Share of busy slots up to which a first token certainly did not wait for a slot, although reports lag. */
const UNQUEUED_SHARE = 0.75

interface RouteCase {
  readonly req: RouteRequest
  readonly now: Instant
  readonly usable: readonly RunnerState[]
  readonly demand: Demand
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
  states (now: Instant): readonly RunnerStanding[] {
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
    const work = { uncachedTokens: promptTokens, answerTokens, load: 0, slots: 1 }
    return fleet.isTrusted(now.mono) ? predict(fleet, fleet, work, true).totalMs : 0
  }

  route (req: RouteRequest, now: Instant, random: () => number): RouteDecision {
    const runners = this.view.runnersOf(req.model)
    const pool = req.keyed ? runners.all : runners.watched
    const candidates = pool.filter(state => !state.isLeaving && !req.exclude.includes(state.view.runner))
    const { usable, forced } = boundEjections(preferLoaded(candidates, req.model), now.mono)
    const job = this.caseOf(req, now, usable)
    const note = forced > 0 ? `; ${forced} ejected runners used because too many are ejected` : ''
    return req.keyed ? this.routeKeyed(job, runners.all, note) : this.routePlain(job, note, random)
  }

  private caseOf (req: RouteRequest, now: Instant, usable: readonly RunnerState[]): RouteCase {
    const cached = this.view.prefixes.shares(req.prefixHashes, now.mono)
    const slots = Math.max(1, slotsOf(usable))
    const own = usable.reduce((sum, state) => sum + state.load.count, 0)
    const window = ownWindow(usable, ENGINE_QUEUE_SHARE)
    const demand = {
      mono: now.mono,
      promptTokens: req.promptTokens,
      cached,
      boundTokens: req.maxTokens,
      expectedTokens: Math.min(req.maxTokens, this.view.fleet.answerTokens.mean),
      remainingMs: req.deadline.mono - now.mono,
      prior: this.view.prior,
      windowPerSlot: own < window ? window / slots : 0
    }
    return { req, now, usable, demand, meanPerSlot: own / slots + this.view.prior }
  }

  private routePlain (job: RouteCase, note: string, random: () => number): RouteDecision {
    const { usable } = job
    if (usable.length === 0) return refuseNoRunner(job.req, [])
    const drawn = draw(job, random).map(state => this.judge(state, job))
    const first = best(drawn)
    if (first !== undefined) return this.routed(job, first, [], drawn, `best of ${drawn.length} sampled from ${usable.length}${note}`)
    const judged = usable.map(state => this.judge(state, job))
    const any = best(judged)
    if (any !== undefined) return this.routed(job, any, [], judged, `best of all ${judged.length}, none of the sampled runners was eligible${note}`)
    return this.refuse(job, judged, [])
  }

  private routeKeyed (job: RouteCase, all: readonly RunnerState[], note: string): RouteDecision {
    const allowed = new Set(job.usable)
    const passed: RunnerState[] = []
    const judged: Judgement[] = []
    let fallback: { judgement: Judgement, passed: number } | undefined
    for (const state of keyedOrder(job.req.requestId, job.req.model, all, job.now.wall)) {
      if (allowed.has(state)) {
        const judgement = this.judge(state, job)
        judged.push(judgement)
        if (judgement.fits && isUnderBound(judgement, job.meanPerSlot)) {
          return this.routed(job, judgement, passed, judged, `place ${passed.length + 1} in the order of the key${note}`)
        }
        if (judgement.fits) fallback ??= { judgement, passed: passed.length }
      }
      passed.push(state)
    }
    if (fallback !== undefined) {
      const reason = `place ${fallback.passed + 1} in the order of the key, all over the load bound${note}`
      return this.routed(job, fallback.judgement, passed.slice(0, fallback.passed), judged, reason)
    }
    const lookIn = passed.map(state => state.view)
    return judged.length === 0 ? refuseNoRunner(job.req, lookIn) : this.refuse(job, judged, lookIn)
  }

  private judge (state: RunnerState, { demand }: RouteCase): Judgement {
    return state.judge(demand, this.view.fleet)
  }

  /** Refuses as overloaded if a runner at capacity would be fast enough, so that the request may wait for it. */
  private refuse ({ req, demand }: RouteCase, judged: readonly Judgement[], lookIn: readonly RunnerView[]): RouteDecision {
    const totalMs = (item: Judgement, load: number): number => item.state.cautious(demand, this.view.fleet, load).totalMs
    const presentMs = Math.min(...judged.map(item => totalMs(item, item.load)))
    const isWorthWaiting = !judged.some(item => item.hasRoom) || presentMs <= demand.remainingMs
    if (isWorthWaiting) return refuseFull(req, this.view.fleet, judged, lookIn)
    const idleMs = Math.min(...judged.map(item => totalMs(item, 0)))
    return refuseLate(req, { presentMs, idleMs, remainingMs: demand.remainingMs }, judged, lookIn)
  }

  private routed ({ req, now }: RouteCase, chosen: Judgement, passed: readonly RunnerState[], judged: readonly Judgement[], reason: string): RouteDecision {
    const { state, load, uncachedTokens } = chosen
    this.view.remember(req.requestId, {
      maxTokens: req.maxTokens,
      uncachedTokens,
      unqueued: state.load.isFresh(now.mono) && load + 1 <= state.view.slots * UNQUEUED_SHARE,
      prefixHashes: req.prefixHashes
    })
    return {
      kind: 'routed',
      choice: state.view,
      before: passed.map(item => item.view),
      candidates: judged.map(item => item.state.view.runner),
      reason: `${reason}; load ${load.toFixed(1)} of ${state.view.slots}, cost ${Math.round(chosen.costMs)} ms`
    }
  }
}

/** Two random runners, in random order because ties go to the first, and those believed to cache part of the prompt. */
function draw ({ usable, demand }: RouteCase, random: () => number): readonly RunnerState[] {
  const first = Math.floor(random() * usable.length)
  const second = (first + 1 + Math.floor(random() * (usable.length - 1))) % usable.length
  const drawn = new Set([usable[first], usable[second]])
  if (demand.cached.size > 0) for (const state of usable) if (demand.cached.has(state.view.runner)) drawn.add(state)
  return [...drawn].filter(state => state !== undefined)
}

/** Eligible runner with the lowest predicted cost. */
function best (judged: readonly Judgement[]): Judgement | undefined {
  let found: Judgement | undefined
  for (const item of judged) {
    if (item.fits && (found === undefined || item.costMs < found.costMs)) found = item
  }
  return found
}

function slotsOf (states: readonly RunnerState[]): number {
  return states.reduce((sum, state) => sum + state.view.slots, 0)
}

/** Whether the load of a runner is low enough for a keyed request not to skip it. */
function isUnderBound (judgement: Judgement, meanPerSlot: number): boolean {
  const share = Math.max(KEYED_FREE_SHARE, KEYED_LOAD_FACTOR * meanPerSlot)
  return judgement.load + 1 <= judgement.state.view.slots * share
}

/** Runners that report the model as not loaded are used only when all do, because reports lag. */
function preferLoaded (candidates: readonly RunnerState[], model: string): readonly RunnerState[] {
  const loaded = candidates.filter(state => !state.lacks(model))
  return loaded.length > 0 ? loaded : candidates
}
