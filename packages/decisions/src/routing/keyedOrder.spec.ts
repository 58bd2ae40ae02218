/**
 * A keyed request repeated at VMs with different views of the runners runs at most once, provided
 * that engines store seals. Without seals, or without the common order, it runs more than once.
 */
import { expect } from 'chai'
import { at, MODEL, outcome, configuredRouter, request, runners, seeded } from './routing.fixture.js'
import { RunnerRouter } from './runnerRouter.js'
import type { RouteDecider, RouteDecision, RouteRequest, RunnerView } from './routingTypes.js'

/** Records of one request id at the engines. */
class SealedEngines {
  readonly marks = new Map<string, 'run' | 'sealed'>()

  get runs (): number {
    return [...this.marks.values()].filter(mark => mark === 'run').length
  }

  /** One attempt as the dispatcher makes it: seal the skipped runners, join a run found there, otherwise submit. */
  attempt (decision: RouteDecision): 'done' | 'sealed' | 'refused' {
    if (decision.kind === 'refused') return 'refused'
    for (const { runner } of decision.runnersToSeal) {
      if (this.marks.get(runner) === 'run') return 'done'
      this.marks.set(runner, 'sealed')
    }
    if (this.marks.get(decision.choice.runner) === 'sealed') return 'sealed'
    this.marks.set(decision.choice.runner, 'run')
    return 'done'
  }
}

/** Applies random state to a router: some runners leaving, some failing, some loaded. */
function applyRandomState (router: RouteDecider, views: readonly RunnerView[], random: () => number): void {
  for (const { runner } of views) {
    const draw = random()
    if (draw < 0.2) router.observe({ kind: 'leaving', runner, source: 'runner' }, at(10))
    if (draw > 0.8) router.observe({ kind: 'loadReported', runner, running: 8, waiting: 1, reportAgeMs: 0, leaving: false }, at(10))
    if (draw > 0.4 && draw < 0.6) {
      for (let i = 0; i < 3; i++) router.observe({ kind: 'ended', runner, requestId: `f${i}`, ok: false, tokens: 0, totalMs: 1 }, at(10))
    }
  }
}

function routeUntilUnsealed (router: RouteDecider, engines: SealedEngines, req: RouteRequest, random: () => number): void {
  const exclude: string[] = []
  for (let i = 0; i < 20; i++) {
    const decision = router.route({ ...req, exclude }, at(20), random)
    if (engines.attempt(decision) !== 'sealed') return
    exclude.push(outcome(decision))
  }
}

function maxRuns (makeRouter: (vm: string, domain: string) => RouteDecider, views: readonly RunnerView[], keyed: boolean): number {
  const random = seeded(3)
  let most = 0
  for (let i = 0; i < 150; i++) {
    const engines = new SealedEngines()
    for (const [vm, domain] of [['vm1', 'a'], ['vm2', 'b'], ['vm3', 'c']] as const) {
      const router = makeRouter(vm, domain)
      router.observe({ kind: 'configured', model: MODEL, runners: views }, at(0))
      applyRandomState(router, views, random)
      routeUntilUnsealed(router, engines, request({ requestId: `id${i}`, keyed }), random)
    }
    most = Math.max(most, engines.runs)
  }
  return most
}

/** Faulty: common order, but runners that a VM skips are not sealed. */
class UnsealedRouter extends RunnerRouter {
  override route (req: RouteRequest, now: ReturnType<typeof at>, random: () => number): RouteDecision {
    const decision = super.route(req, now, random)
    return decision.kind === 'routed' ? { ...decision, runnersToSeal: [] } : decision
  }
}

describe('keyed requests', () => {
  for (const total of [2, 12, 60]) {
    it(`${total} runners: three VMs with different views run it once, and more often without seals or without the common order`, () => {
      const views = runners(total)
      expect(maxRuns((vm, domain) => new RunnerRouter(vm, domain), views, true)).to.equal(1)
      expect(maxRuns((vm, domain) => new UnsealedRouter(vm, domain), views, true)).to.be.above(1)
      expect(maxRuns((vm, domain) => new RunnerRouter(vm, domain), views, false)).to.be.above(1)
    })
  }

  it('places runners added within the record retention time last, so that an earlier run is still found', () => {
    const old = runners(12)
    const added = { runner: 'new', address: '10.0.1.1:80', domain: 'a', slots: 8, addedAt: at(0).wall }
    const before = configuredRouter(old)
    const after = configuredRouter([added, ...old])
    for (let i = 0; i < 200; i++) {
      const req = request({ requestId: `id${i}`, keyed: true })
      expect(outcome(after.route(req, at(1_000), seeded(1)))).to.equal(outcome(before.route(req, at(1_000), seeded(1))))
    }
    const later = Array.from({ length: 200 }, (_, i) => outcome(after.route(request({ requestId: `id${i}`, keyed: true }), at(7_200_001), seeded(1))))
    expect(later).to.include('new')
  })

  it('places a runner last only for the model that it was recently added to', () => {
    const old = runners(12)
    const router = configuredRouter(old)
    router.observe({ kind: 'configured', model: 'other', runners: old.map(view => ({ ...view, addedAt: at(0).wall })) }, at(0))
    const alone = configuredRouter(old)
    for (let i = 0; i < 200; i++) {
      const req = request({ requestId: `id${i}`, keyed: true })
      expect(outcome(router.route(req, at(1_000), seeded(1)))).to.equal(outcome(alone.route(req, at(1_000), seeded(1))))
    }
  })

  it('refuses with ran unknown and lists where an earlier run may be found, including leaving runners', () => {
    const views = runners(3)
    const router = configuredRouter(views)
    for (const view of views) router.observe({ kind: 'leaving', runner: view.runner }, at(1))
    const decision = router.route(request({ keyed: true }), at(2), seeded(1))
    if (decision.kind !== 'refused') throw new Error('not refused')
    expect(decision.failure.ran).to.equal('unknown')
    expect(decision.lookupRunners?.map(view => view.runner)).to.have.members(['r0', 'r1', 'r2'])
  })

  it('skips a runner over the load bound and lists it for sealing', () => {
    const router = configuredRouter(runners(4))
    const req = request({ keyed: true })
    const first = outcome(router.route(req, at(1), seeded(1)))
    for (const { runner } of runners(4)) {
      router.observe({ kind: 'loadReported', runner, running: runner === first ? 7 : 2, waiting: 0, reportAgeMs: 0, leaving: false }, at(2))
    }
    const decision = router.route(req, at(3), seeded(1))
    if (decision.kind !== 'routed') throw new Error('not routed')
    expect(decision.runnersToSeal.map(view => view.runner)).to.deep.equal([first])
    expect(decision.reason).to.match(/^place 2 in the order of the key/)
  })
})
