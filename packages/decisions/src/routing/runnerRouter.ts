/**
 * Chooses a runner for each request. Plain requests: the better of two random candidates and the
 * one believed to hold the prompt's prefix, by predicted time, provided it has room and the
 * cautious prediction meets the deadline; all candidates are looked at before a refusal. Keyed
 * requests: the first in the common order that will do.
 */
import type { Instant } from '../clock/clockTypes.js'
import { boundEjections } from './ejectionBound.js'
import { FleetView } from './fleetView.js'
import { keyedOrder } from './keyedOrder.js'
import { refuseNoRunner, refuseUnfit } from './routeRefusal.js'
import type { Judgement, RunnerState } from './runnerState.js'
import type { RouteDecider, RouteDecision, RouteEvent, RouteRequest, RunnerView } from './routingTypes.js'

/** Times the mean load at which a keyed request goes past a runner. */
const KEYED_LOAD_FACTOR = 1.25

/** Share of busy slots below which a runner is never past the bound. */
const KEYED_FREE_SHARE = 0.75

/** Routes requests of one VM. */
export class RunnerRouter implements RouteDecider {
  private readonly view: FleetView

  /**
   * @param vm - name of this VM
   * @param domain - its failure domain
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

  /** Runners whose load reports and cache events this VM should ask for. */
  watched (): readonly RunnerView[] {
    return this.view.watchedRunners()
  }

  route (req: RouteRequest, now: Instant, random: () => number): RouteDecision {
    const runners = this.view.runnersOf(req.model)
    const pool = req.keyed ? runners.all : runners.watched
    const candidates = pool.filter(state => !state.isLeaving && !req.exclude.includes(state.view.runner))
    const { usable, forced } = boundEjections(candidates, now.mono)
    const note = forced > 0 ? `; ${forced} ejected runners used, too many were out` : ''
    return req.keyed
      ? this.routeKeyed(req, now, runners.all, usable, note)
      : this.routePlain(req, now, usable, note, random)
  }

  private routePlain (req: RouteRequest, now: Instant, usable: readonly RunnerState[], note: string, random: () => number): RouteDecision {
    if (usable.length === 0) return refuseNoRunner(req, [])
    const drawn = this.draw(req, now, usable, random).map(state => this.judge(state, req, now))
    const first = best(drawn)
    if (first !== undefined) return this.routed(req, first, [], drawn, `best of ${drawn.length} drawn from ${usable.length}${note}`)
    const judged = usable.map(state => this.judge(state, req, now))
    const any = best(judged)
    if (any !== undefined) return this.routed(req, any, [], judged, `best of all ${judged.length}, the drawn ones would not do${note}`)
    return refuseUnfit(req, now, judged, [])
  }

  private routeKeyed (req: RouteRequest, now: Instant, all: readonly RunnerState[], usable: readonly RunnerState[], note: string): RouteDecision {
    const order = keyedOrder(req.requestId, all, now.wall)
    const allowed = new Set(usable)
    const passed: RunnerState[] = []
    const judged: Judgement[] = []
    let fallback: { judgement: Judgement, passed: number } | undefined
    for (const state of order) {
      if (allowed.has(state)) {
        const judgement = this.judge(state, req, now)
        judged.push(judgement)
        if (judgement.hasRoom && judgement.fits) {
          if (this.underBound(judgement)) {
            const reason = `place ${passed.length + 1} in the order of the key${note}`
            return this.routed(req, judgement, passed, judged, reason)
          }
          fallback ??= { judgement, passed: passed.length }
        }
      }
      passed.push(state)
    }
    if (fallback !== undefined) {
      const reason = `place ${fallback.passed + 1} in the order of the key, all over the load bound${note}`
      return this.routed(req, fallback.judgement, passed.slice(0, fallback.passed), judged, reason)
    }
    const lookIn = passed.map(state => state.view)
    return judged.length === 0 ? refuseNoRunner(req, lookIn) : refuseUnfit(req, now, judged, lookIn)
  }

  private draw (req: RouteRequest, now: Instant, usable: readonly RunnerState[], random: () => number): readonly RunnerState[] {
    const first = Math.floor(random() * usable.length)
    const second = (first + 1 + Math.floor(random() * (usable.length - 1))) % usable.length
    const chosen = new Set([usable[first], usable[second]])
    const holders = this.view.prefixes.holders(req.prefixHashes, now.mono)
    if (holders.length > 0) for (const state of usable) if (holders.includes(state.view.runner)) chosen.add(state)
    return [...chosen].filter(state => state !== undefined)
  }

  private judge (state: RunnerState, req: RouteRequest, now: Instant): Judgement {
    return state.judge({
      mono: now.mono,
      promptTokens: req.promptTokens,
      cachedShare: this.view.prefixes.share(req.prefixHashes, state.view.runner, now.mono),
      boundTokens: req.maxTokens,
      expectedTokens: Math.min(req.maxTokens, this.view.fleet.answerTokens.mean),
      remainingMs: req.deadline.mono - now.mono,
      prior: this.view.prior
    }, this.view.fleet)
  }

  private underBound (judgement: Judgement): boolean {
    const { slots } = judgement.state.view
    const share = Math.max(KEYED_FREE_SHARE, KEYED_LOAD_FACTOR * this.view.prior)
    return judgement.load + 1 <= slots * share
  }

  private routed (req: RouteRequest, chosen: Judgement, passed: readonly RunnerState[], judged: readonly Judgement[], reason: string): RouteDecision {
    const { state, load, uncachedTokens } = chosen
    this.view.remember(req.requestId, {
      maxTokens: req.maxTokens,
      uncachedTokens,
      unqueued: load + 1 <= state.view.slots,
      prefixHashes: req.prefixHashes
    })
    return {
      kind: 'routed',
      choice: state.view,
      before: passed.map(item => item.view),
      candidates: judged.map(item => item.state.view.runner),
      reason: `${reason}; load ${load.toFixed(1)} of ${state.view.slots}, predicted ${Math.round(chosen.expected.totalMs)} ms`
    }
  }
}

/** The quickest by prediction of those that will do. */
function best (judged: readonly Judgement[]): Judgement | undefined {
  let found: Judgement | undefined
  for (const item of judged) {
    if (!item.hasRoom || !item.fits) continue
    if (found === undefined || item.expected.totalMs < found.expected.totalMs) found = item
  }
  return found
}
