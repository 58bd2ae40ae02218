/**
 * Helpers of the routing specs: instants, runners, requests, a seeded random source and a
 * configurable faulty router.
 */
import type { Instant } from '../clock/clockTypes.js'
import { RunnerRouter } from './runnerRouter.js'
import type { RouteDecider, RouteDecision, RouteEvent, RouteRequest, RunnerView } from './routingTypes.js'

export const MODEL = 'llm'

export const at = (ms: number): Instant => ({ mono: ms, wall: 1_700_000_000_000 + ms })

export function runners (count: number, slots = 8): readonly RunnerView[] {
  return Array.from({ length: count }, (_, i) => ({ runner: `r${i}`, address: `10.0.0.${i}:80`, domain: 'abc'[i % 3] ?? 'a', slots }))
}

export function request (over: Partial<RouteRequest> = {}): RouteRequest {
  const base = { requestId: 'q', team: 't', model: MODEL, keyed: false, promptTokens: 100, maxTokens: 100 }
  return { ...base, prefixHashes: [], deadline: at(10_000_000), exclude: [], ...over }
}

/** Mulberry32 generator, so that every run gets the same random numbers. */
export function seeded (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

export function configuredRouter (views: readonly RunnerView[], vm = 'vm1', domain = 'a'): RunnerRouter {
  const router = new RunnerRouter(vm, domain)
  router.observe({ kind: 'configured', model: MODEL, runners: views }, at(0))
  return router
}

/** Faulty router: observes the same events as {@link RunnerRouter} but always chooses the runner with the lowest score. */
export class LowestScoreRouter implements RouteDecider {
  readonly counts = new Map<string, number>()
  readonly reports = new Map<string, number>()
  readonly holders = new Map<string, string>()
  readonly left = new Set<string>()

  constructor (readonly views: readonly RunnerView[], private readonly score: (router: LowestScoreRouter, runner: string, req: RouteRequest) => number) {}

  observe (event: RouteEvent): void {
    if (event.kind === 'dispatched') this.counts.set(event.runner, this.inFlight(event.runner) + 1)
    if (event.kind === 'ended') this.counts.set(event.runner, this.inFlight(event.runner) - 1)
    if (event.kind === 'loadReported') this.reports.set(event.runner, event.running + event.waiting)
    if (event.kind === 'leaving' && event.source === 'config') this.left.add(event.runner)
    if (event.kind === 'cacheReported') for (const hash of event.stored) this.holders.set(hash, event.runner)
  }

  route (req: RouteRequest): RouteDecision {
    const names = this.views.filter(view => !this.left.has(view.runner) && !req.exclude.includes(view.runner))
    const scored = [...names].sort((a, b) => this.score(this, a.runner, req) - this.score(this, b.runner, req))
    const [choice] = scored
    if (choice === undefined) throw new Error('no runner')
    return { kind: 'routed', choice, runnersToSeal: [], candidates: names.map(view => view.runner), reason: 'lowest score' }
  }

  inFlight (runner: string): number {
    return this.counts.get(runner) ?? 0
  }
}

/** Runner id of a routed decision, or the code of a refusal. */
export function outcome (decision: RouteDecision): string {
  return decision.kind === 'routed' ? decision.choice.runner : decision.failure.code
}

/** Routes a request and reports its dispatch. */
export function dispatch (router: RouteDecider, req: RouteRequest, ms: number, random: () => number): string {
  const name = outcome(router.route(req, at(ms), random))
  router.observe({ kind: 'dispatched', runner: name, requestId: req.requestId, tokens: req.promptTokens + req.maxTokens }, at(ms))
  return name
}

/** Routes a request and reports its end at once, with the given times. */
export function serve (router: RouteDecider, req: RouteRequest, ms: number, random: () => number, times: (runner: string) => { firstMs: number, totalMs: number, ok?: boolean }): string {
  const runner = dispatch(router, req, ms, random)
  const { firstMs, totalMs, ok = true } = times(runner)
  if (ok) router.observe({ kind: 'firstToken', runner, requestId: req.requestId, afterMs: firstMs }, at(ms))
  router.observe({ kind: 'ended', runner, requestId: req.requestId, ok, tokens: ok ? 50 : 0, totalMs }, at(ms))
  return runner
}

export function shareOf (names: readonly string[], name: string): number {
  return names.filter(other => other === name).length / names.length
}
