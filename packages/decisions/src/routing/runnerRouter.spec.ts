/**
 * Cases of runner choice.
 */
import { expect } from 'chai'
import type { Instant } from '../clock/clockTypes.js'
import { RunnerRouter } from './runnerRouter.js'
import type { RouteRequest, RunnerView } from './routingTypes.js'

const at = (ms: number): Instant => ({ mono: ms, wall: 1_000_000 + ms })
const runner = (i: number): RunnerView => ({ runner: `r${i}`, address: `10.0.0.${i}:80`, domain: 'a', slots: 4 })
const request = (over: Partial<RouteRequest> = {}): RouteRequest => ({
  requestId: 'q', team: 't', model: 'm', keyed: false, promptTokens: 100, maxTokens: 100, prefixHashes: [], deadline: at(60_000), exclude: [], ...over
})

describe('RunnerRouter', () => {
  it('routes to a configured runner', () => {
    const router = new RunnerRouter('vm1', 'a')
    router.observe({ kind: 'configured', model: 'm', runners: [runner(1), runner(2)] }, at(0))
    const decision = router.route(request(), at(0), () => 0.5)
    expect(decision.kind).to.equal('routed')
  })
})
