/**
 * Runner choice under faults, compared with faulty routers that violate the same expectation.
 */
import { expect } from 'chai'
import { at, dispatch, LowestScoreRouter, MODEL, outcome, configuredRouter, request, runners, seeded, serve, shareOf } from './routing.fixture.js'
import { subsetOf } from './runnerSubset.js'
import type { RouteDecider, RouteEvent } from './routingTypes.js'

interface FaultCase {
  readonly fault: string
  readonly faultyName: string
  readonly weak: () => RouteDecider
  /** Simulates the fault; returns whether the expectation holds. */
  readonly holds: (router: RouteDecider) => boolean
}

const healthy = { firstMs: 50, totalMs: 1_000 }
const report = (runner: string, running: number, ageMs = 0, leaving = false): RouteEvent =>
  ({ kind: 'loadReported', runner, running, waiting: 0, reportAgeMs: ageMs, leaving })

function repeat (count: number, action: (i: number, random: () => number) => string): readonly string[] {
  const random = seeded(7)
  return Array.from({ length: count }, (_, i) => action(i, random))
}

function warmUp (router: RouteDecider): void {
  repeat(60, (i, random) => serve(router, request({ requestId: `w${i}` }), i * 20, random, () => healthy))
}

function staleReports (router: RouteDecider): boolean {
  for (let i = 0; i < 4; i++) router.observe(report(`r${i}`, i === 0 ? 0 : 3), at(1_000))
  const names = repeat(16, (i, random) => dispatch(router, request({ requestId: `q${i}` }), 1_001 + i, random))
  return shareOf(names, 'r0') <= 0.5
}

function slowRunner (router: RouteDecider): boolean {
  const names = repeat(400, (i, random) =>
    serve(router, request({ requestId: `q${i}` }), i * 50, random, name => name === 'r0' ? { firstMs: 250, totalMs: 5_000 } : healthy))
  return shareOf(names.slice(100), 'r0') < 0.1
}

function failingRunner (router: RouteDecider): boolean {
  const names = repeat(200, (i, random) =>
    serve(router, request({ requestId: `q${i}` }), i * 50, random, name => ({ ...healthy, ok: name !== 'r0' })))
  return shareOf(names.slice(20), 'r0') < 0.05
}

function unresponsiveRunner (router: RouteDecider): boolean {
  warmUp(router)
  const names = repeat(100, (i, random) => {
    const req = request({ requestId: `q${i}` })
    const name = dispatch(router, req, 2_000 + i * 50, random)
    if (name !== 'r0') router.observe({ kind: 'ended', runner: name, requestId: req.requestId, ok: true, tokens: 50, totalMs: 1_000 }, at(2_010 + i * 50))
    return name
  })
  return names.filter(name => name === 'r0').length <= 3
}

function lostEvictions (router: RouteDecider): boolean {
  warmUp(router)
  router.observe({ kind: 'cacheReported', runner: 'r0', stored: ['hot'], evicted: [] }, at(2_000))
  const names = repeat(20, (i, random) => dispatch(router, request({ requestId: `q${i}`, prefixHashes: ['hot'] }), 2_001 + i, random))
  return shareOf(names, 'r0') <= 0.6
}

const count = (router: LowestScoreRouter, runner: string): number => router.inFlight(runner)
const views = runners(4)

const faults: readonly FaultCase[] = [
  { fault: 'a stale report shows an idle runner', faultyName: 'a router that uses raw reports', weak: () => new LowestScoreRouter(views, (weak, name) => weak.reports.get(name) ?? 0), holds: staleReports },
  { fault: 'one runner is slow', faultyName: 'a least-in-flight router', weak: () => new LowestScoreRouter(views, count), holds: slowRunner },
  { fault: 'one runner fails quickly', faultyName: 'a least-in-flight router', weak: () => new LowestScoreRouter(views, count), holds: failingRunner },
  { fault: 'one runner becomes unresponsive', faultyName: 'a round-robin router', weak: () => new LowestScoreRouter(views, (weak, name, req) => (Number(name.slice(1)) - Number(req.requestId.slice(1)) + 400) % 4), holds: unresponsiveRunner },
  { fault: 'an eviction event is lost', faultyName: 'a router that always prefers the prefix holder', weak: () => new LowestScoreRouter(views, (weak, name, req) => weak.holders.get(req.prefixHashes[0] ?? '') === name ? -1 : weak.inFlight(name)), holds: lostEvictions }
]

describe('RunnerRouter under faults', () => {
  for (const { fault, faultyName, weak: createFaulty, holds } of faults) {
    it(`${fault}: limits the requests to that runner, ${faultyName} does not`, () => {
      expect(holds(configuredRouter(views))).to.equal(true)
      expect(holds(createFaulty())).to.equal(false)
    })
  }
})

describe('RunnerRouter and loaded models', () => {
  const cases = [
    { name: 'skips a runner that reports the model as not loaded', lacking: ['r0', 'r1'], allowed: ['r2', 'r3'] },
    { name: 'uses any runner when all report it as not loaded, because reports lag', lacking: ['r0', 'r1', 'r2', 'r3'], allowed: ['r0', 'r1', 'r2', 'r3'] }
  ]
  for (const { name, lacking, allowed } of cases) {
    for (const keyed of [false, true]) {
      it(`${name}${keyed ? ', for keyed requests too' : ''}`, () => {
        const router = configuredRouter(runners(4))
        for (let i = 0; i < 4; i++) {
          const models = lacking.includes(`r${i}`) ? [] : [MODEL]
          router.observe({ kind: 'loadReported', runner: `r${i}`, running: 0, waiting: 0, reportAgeMs: 0, leaving: false, models }, at(1))
        }
        const names = repeat(100, (i, random) => outcome(router.route(request({ requestId: `q${i}`, keyed }), at(2), random)))
        expect(new Set(names)).to.have.all.keys(allowed)
      })
    }
  }
})

describe('RunnerRouter.states', () => {
  const failures = (count: number): readonly RouteEvent[] => Array.from({ length: count }, (_, i) =>
    ({ kind: 'ended', runner: 'r0', requestId: `q${i}`, ok: false, tokens: 0, totalMs: 1 }))
  const loaded = (...models: string[]): RouteEvent => ({ ...report('r0', 0), models } as RouteEvent)
  const probe: RouteEvent = { kind: 'firstToken', runner: 'r0', requestId: 'p', afterMs: 10 }
  const configured = (leaving: boolean): RouteEvent => ({ kind: 'configured', model: MODEL, runners: views.map(view => ({ ...view, leaving })) })
  const healthyState = { state: 'active', reason: 'healthy' }
  const ejected = { state: 'ejected', reason: 'consecutive failures' }
  const cases: ReadonlyArray<{ readonly name: string, readonly events: readonly RouteEvent[], readonly then?: RouteEvent, readonly state: object }> = [
    { name: 'configuration', events: [], state: healthyState },
    { name: 'two failures', events: failures(2), state: healthyState },
    { name: 'three failures, although the ejection has ended', events: failures(3), state: ejected },
    { name: 'a response to a probe', events: failures(3), then: probe, state: healthyState },
    { name: 'a failed probe', events: failures(3), then: failures(1)[0] as RouteEvent, state: { state: 'ejected', reason: 'probe failed' } },
    { name: 'a report without its model', events: [loaded('other')], state: { state: 'notLoaded', reason: `not loaded: ${MODEL}` } },
    { name: 'a report with its model', events: [loaded()], then: { ...loaded(MODEL), reportAgeMs: -1 } as RouteEvent, state: healthyState },
    { name: 'a report of leaving while ejected', events: [...failures(3), report('r0', 0, 0, true)], state: { state: 'leaving', reason: 'reported by the runner' } },
    { name: 'leaving by configuration', events: [configured(true)], state: { state: 'leaving', reason: 'marked as leaving in the configuration' } },
    { name: 'return to use by configuration', events: [configured(true)], then: configured(false), state: healthyState }
  ]
  for (const { name, events, then, state } of cases) {
    it(`after ${name}`, () => {
      const router = configuredRouter(views)
      events.forEach(event => { router.observe(event, at(1)) })
      if (then !== undefined) router.observe(then, at(60_000))
      const status = router.states(at(60_001)).find(({ runner }) => runner === 'r0')
      expect({ state: status?.state, reason: status?.reason }).to.deep.equal(state)
    })
  }

  it('include the local requests and the report age, which is absent without a report', () => {
    const router = configuredRouter(runners(2))
    router.observe(report('r0', 3, 200), at(1_000))
    router.observe({ kind: 'dispatched', runner: 'r0', requestId: 'q', tokens: 10 }, at(1_100))
    expect(router.states(at(1_500))).to.deep.equal([
      { runner: 'r0', ...healthyState, inFlight: 1, reportAgeMs: 700 },
      { runner: 'r1', ...healthyState, inFlight: 0 }
    ])
  })
})

describe('RunnerRouter and leaving runners', () => {
  const cases: readonly { readonly source: string, readonly event: RouteEvent, readonly isSeenByFaulty: boolean }[] = [
    { source: 'the configuration', event: { kind: 'configured', model: MODEL, runners: views.map(view => ({ ...view, leaving: view.runner === 'r0' })) }, isSeenByFaulty: false },
    { source: 'a mark', event: { kind: 'leaving', runner: 'r0', source: 'config' }, isSeenByFaulty: true },
    { source: 'its response', event: { kind: 'leaving', runner: 'r0', source: 'runner' }, isSeenByFaulty: false },
    { source: 'its load report', event: report('r0', 0, 0, true), isSeenByFaulty: false }
  ]
  const receivesRequests = (router: RouteDecider): boolean =>
    repeat(50, (i, random) => serve(router, request({ requestId: `q${i}` }), 1_000 + i, random, () => healthy)).includes('r0')

  for (const { source, event, isSeenByFaulty } of cases) {
    it(`sends nothing after ${source} marks it as leaving; a router that reads only marks sends ${isSeenByFaulty ? 'nothing either' : 'requests'}`, () => {
      for (const [router, expected] of [[configuredRouter(views), false], [new LowestScoreRouter(views, () => 0), !isSeenByFaulty]] as const) {
        router.observe(event, at(900))
        expect(receivesRequests(router)).to.equal(expected)
      }
    })
  }

  it('clears the mark from a runner by its later report only, and never the mark from the configuration', () => {
    const router = configuredRouter(views.slice(0, 1))
    const now = (): string => outcome(router.route(request(), at(5_000), () => 0))
    router.observe({ kind: 'leaving', runner: 'r0', source: 'runner' }, at(1_000))
    router.observe(report('r0', 0, 600), at(1_500))
    expect(now()).to.equal('noRunner')
    router.observe(report('r0', 0), at(2_000))
    expect(now()).to.equal('r0')
    router.observe({ kind: 'leaving', runner: 'r0' }, at(3_000))
    router.observe(report('r0', 0), at(4_000))
    expect(now()).to.equal('noRunner')
  })
})

describe('RunnerRouter ejection', () => {
  const failAll = (router: RouteDecider, names: readonly string[], ms: number): void => {
    for (const name of names) {
      for (let i = 0; i < 3; i++) {
        router.observe({ kind: 'dispatched', runner: name, requestId: `f${i}`, tokens: 1 }, at(ms))
        router.observe({ kind: 'ended', runner: name, requestId: `f${i}`, ok: false, tokens: 0, totalMs: 1 }, at(ms))
      }
    }
  }

  for (const { out, usable } of [{ out: 1, usable: 5 }, { out: 2, usable: 4 }, { out: 4, usable: 4 }, { out: 6, usable: 4 }]) {
    it(`${out} of 6 runners ejected: ${usable} stay in use`, () => {
      const six = runners(6)
      const router = configuredRouter(six)
      failAll(router, six.slice(0, out).map(view => view.runner), 1_000)
      const names = repeat(300, (i, random) => outcome(router.route(request(), at(1_100), random)))
      expect(new Set(names).size).to.equal(usable)
    })
  }

  it('never ejects the only runner', () => {
    const router = configuredRouter(runners(1))
    failAll(router, ['r0'], 1_000)
    expect(outcome(router.route(request(), at(1_100), () => 0))).to.equal('r0')
  })

  it('sends an ejected runner nothing, then a single probe after the ejection', () => {
    const router = configuredRouter(runners(4))
    failAll(router, ['r0'], 1_000)
    const countProbes = (ms: number, prefix: string): number =>
      repeat(40, (i, random) => dispatch(router, request({ requestId: `${prefix}${i}` }), ms, random)).filter(name => name === 'r0').length
    expect(countProbes(1_100, 'a')).to.equal(0)
    for (let i = 0; i < 40; i++) for (let r = 0; r < 4; r++) router.observe({ kind: 'ended', runner: `r${r}`, requestId: `a${i}`, ok: true, tokens: 2, totalMs: 2 }, at(1_200))
    expect(countProbes(3_100, 'b')).to.equal(1)
  })
})

describe('RunnerRouter ties', () => {
  it('equal idle runners get fair shares, so that VMs do not converge on the same one', () => {
    const names = repeat(4_000, (i, random) => serve(configuredRouter(views), request({ requestId: `q${i}` }), 1_000, random, () => healthy))
    for (const { runner } of views) expect(shareOf(names, runner)).to.be.within(0.22, 0.28)
  })
})

describe('RunnerRouter refusals', () => {
  const slow = { firstMs: 1_000, totalMs: 21_000 }
  const reportFull = (router: RouteDecider): void => { for (const view of views) router.observe(report(view.runner, 9), at(1_900)) }
  const reportSlowRequests = (router: RouteDecider): void => {
    repeat(60, (i, random) => serve(router, request({ requestId: `w${i}` }), 1_000 + i * 10, random, () => slow))
  }
  const cases = [
    { name: 'no runner', prepare: () => {}, req: { model: 'other' }, code: 'noRunner', least: 250 },
    { name: 'all excluded', prepare: () => {}, req: { exclude: views.map(view => view.runner) }, code: 'noRunner', least: 250 },
    { name: 'all runners at capacity', prepare: reportFull, req: {}, code: 'overloaded', least: 250 },
    { name: 'deadline out of reach even when idle', prepare: reportSlowRequests, req: { deadline: at(3_000) }, code: 'deadlineOutOfReach', least: 60_000 }
  ]
  for (const { name, prepare, req, code, least } of cases) {
    it(`${name}: ${code}, not run, with a retry delay`, () => {
      const router = configuredRouter(views)
      prepare(router)
      const decision = router.route(request(req), at(2_000), seeded(1))
      if (decision.kind !== 'refused') throw new Error('not refused')
      expect([decision.failure.code, decision.failure.ran]).to.deep.equal([code, 'no'])
      expect(decision.failure.retryAfterMs).to.be.at.least(least)
    })
  }

  it('does not refuse by outdated measurements, so that new requests can replace them', () => {
    const router = configuredRouter(views)
    reportSlowRequests(router)
    expect(outcome(router.route(request({ deadline: at(21_000) }), at(20_000), seeded(1)))).to.match(/^r\d$/)
  })

  it('a router without the check accepts a request that must miss its deadline', () => {
    const faulty = new LowestScoreRouter(views, count)
    reportSlowRequests(faulty)
    expect(outcome(faulty.route(request({ deadline: at(3_000) })))).to.match(/^r\d$/)
  })
})

describe('subset of runners', () => {
  for (const { total, size } of [{ total: 12, size: 12 }, { total: 32, size: 32 }, { total: 600, size: 32 }]) {
    it(`${total} runners: each VM watches ${size} in at least two domains, and every runner is watched by some VM`, () => {
      const all = runners(total)
      const seen = new Set<string>()
      for (let vm = 0; vm < 360; vm++) {
        const subset = subsetOf(`vm${vm}`, 'abc'[vm % 3] ?? 'a', all)
        expect(subset.length).to.equal(size)
        expect(new Set(subset.map(view => view.domain)).size).to.be.at.least(2)
        for (const view of subset) seen.add(view.runner)
      }
      expect(seen.size).to.equal(total)
    })
  }
})
