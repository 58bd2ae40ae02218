/** Guards against calls that wait or are refused without cause, and against refusals that come late or say nothing useful. */
import { expect } from 'chai'
import { AdaptiveLimit } from './adaptiveLimit.js'
import type { AdmissionRequest, AdmittedPlace, ConcurrencyLimit, LimitRule, LoadWindow } from './admissionTypes.js'
import { retryAfterMs } from './admissionRefusal.js'
import { AimdRule, GradientRule } from './limitRules.js'
import { ServiceAdmission } from './serviceAdmission.js'

const OBJECTIVE_MS = 600
const LATENCY_MS = 200

class FixedLimit implements ConcurrencyLimit {
  constructor (public current: number) {}

  record (): void {}

  observe (): void {}
}

function requestOf (value: string, priority = 0, receivedAt = 0): AdmissionRequest<string> {
  return { team: 't', priority, objectiveMs: OBJECTIVE_MS, receivedAt, deadline: receivedAt + 10 * OBJECTIVE_MS, value }
}

/** An admission whose calls take 200 ms, with `open` calls in flight and `waiting` calls of priority 1 that wait at time 0. */
function admissionOf (limit: number, open: number, waiting = 0): { readonly admission: ServiceAdmission<string>, readonly places: Array<AdmittedPlace<string>> } {
  const admission = new ServiceAdmission<string>(new FixedLimit(limit))
  const places: Array<AdmittedPlace<string>> = []
  const start = (at: number): AdmittedPlace<string> => {
    const outcome = admission.offer(requestOf('open', 0, at), at, 0)
    if (outcome.kind !== 'started') throw new Error(outcome.kind)
    admission.sent(outcome.place, at)
    return outcome.place
  }
  admission.firstOutput(start(-100_000), -100_000 + LATENCY_MS)
  for (let i = 0; i < open; i += 1) places.push(start(0))
  for (let i = 0; i < waiting; i += 1) admission.offer(requestOf(`w${i}`, 1), 0, 0)
  return { admission, places }
}

const offers: ReadonlyArray<{ readonly name: string, readonly limit: number, readonly open: number, readonly waiting?: number, readonly priority?: number, readonly ageMs?: number, readonly kind: string }> = [
  { name: 'starts a call without a sign of load', limit: Infinity, open: 300, kind: 'started' },
  { name: 'starts a late call while there is room', limit: 4, open: 3, ageMs: OBJECTIVE_MS, kind: 'started' },
  { name: 'lets a call wait whose turn comes in time', limit: 4, open: 4, kind: 'waits' },
  { name: 'refuses a call that is too late for any wait', limit: 4, open: 4, ageMs: 500, kind: 'deadlineOutOfReach' },
  { name: 'refuses a call behind too many others', limit: 1, open: 1, waiting: 1, priority: 1, kind: 'deadlineOutOfReach' },
  { name: 'lets a more urgent call pass those that wait', limit: 1, open: 1, waiting: 1, priority: 0, kind: 'waits' }
]

const rules: ReadonlyArray<{ readonly name: string, readonly rule: LimitRule, readonly window: Partial<LoadWindow>, readonly direction: number }> = [
  { name: 'AIMD falls when calls are slow', rule: new AimdRule(), window: { slowRatio: 0.5 }, direction: -1 },
  { name: 'AIMD grows when it binds', rule: new AimdRule(), window: { isBinding: true }, direction: 1 },
  { name: 'AIMD stays when it does not bind', rule: new AimdRule(), window: {}, direction: 0 },
  { name: 'the gradient falls with the latency', rule: new GradientRule(), window: { latencyRatio: 1 }, direction: -1 },
  { name: 'the gradient grows when it binds', rule: new GradientRule(), window: { isBinding: true }, direction: 1 },
  { name: 'the gradient stays when it does not bind', rule: new GradientRule(), window: {}, direction: 0 }
]

const windows: ReadonlyArray<{ readonly name: string, readonly inFlight: number, readonly ratios: readonly number[], readonly busyRatio?: number, readonly isLimited: boolean }> = [
  { name: 'calls on time', inFlight: 40, ratios: Array(20).fill(0.3), isLimited: false },
  { name: 'a few slow calls', inFlight: 40, ratios: [...Array(17).fill(0.3), 2, 2, 2], isLimited: false },
  { name: 'calls that are slow as ever', inFlight: 40, ratios: Array(20).fill(0.9), isLimited: false },
  { name: 'slow calls, few in flight', inFlight: 4, ratios: Array(20).fill(2), isLimited: false },
  { name: 'a busy processor and calls on time', inFlight: 40, ratios: Array(20).fill(0.3), busyRatio: 1, isLimited: false },
  { name: 'calls that became slow', inFlight: 40, ratios: Array(20).fill(1.5), isLimited: true },
  { name: 'a busy processor and some slow calls', inFlight: 40, ratios: [...Array(17).fill(0.3), 2, 2, 2], busyRatio: 1, isLimited: true }
]

describe('ServiceAdmission', () => {
  for (const { name, limit, open, waiting, priority, ageMs = 0, kind } of offers) {
    it(name, () => {
      const { admission } = admissionOf(limit, open, waiting)
      const outcome = admission.offer(requestOf('new', priority, -ageMs), 0, 0)
      expect(outcome.kind === 'refused' ? outcome.failure.code : outcome.kind).to.equal(kind)
      if (outcome.kind === 'refused') expect([outcome.failure.ran, (outcome.failure.retryAfterMs ?? 0) > 0]).to.deep.equal(['no', true])
    })
  }

  it('starts the next call when one has its first output, and none when its call waits no more', () => {
    const { admission, places } = admissionOf(4, 4, 2)
    expect(admission.remove(requestOf('w0', 1))).to.equal(false)
    admission.firstOutput(places[0] as AdmittedPlace<string>, 100)
    admission.ended(places[0] as AdmittedPlace<string>)
    const { started, refused } = admission.advance(100, 0, () => 0)
    expect([started.map(({ request }) => request.value), refused, admission.waiting, admission.inFlight]).to.deep.equal([['w0'], [], 1, 4])
    expect(admission.removeAll().map(({ value }) => value)).to.deep.equal(['w1'])
  })

  it('refuses a call once more urgent ones take its turn', () => {
    const { admission } = admissionOf(2, 2, 1)
    for (let i = 0; i < 4; i += 1) admission.offer(requestOf(`u${i}`), 10, 0)
    const { refused } = admission.advance(20, 0, () => 0)
    expect(refused.map(({ request, failure }) => [request.value, failure.code, failure.ran])).to.deep.equal([['w0', 'deadlineOutOfReach', 'no']])
  })

  it('does not count a call that waits long for tokens', () => {
    const { admission } = admissionOf(4, 3)
    const outcome = admission.offer(requestOf('tokens'), 0, 0)
    admission.advance(100, 0, () => 0)
    expect(admission.inFlight).to.equal(3)
    if (outcome.kind === 'started') admission.sent(outcome.place, 120)
    expect(admission.inFlight).to.equal(4)
  })

  for (const { name, busyRatio, inFlight } of [{ name: 'targets that do not answer', busyRatio: 0.2, inFlight: 0 }, { name: 'a busy processor', busyRatio: 1, inFlight: 4 }]) {
    it(`counts ${inFlight} of 4 calls that are late because of ${name}`, () => {
      const { admission } = admissionOf(4, 4)
      admission.advance(OBJECTIVE_MS + 1, busyRatio, () => 0)
      expect(admission.inFlight).to.equal(inFlight)
    })
  }

  it('spreads Retry-After around the time until the excess has drained', () => {
    const excess = { waiting: 10, refused: 10, startIntervalMs: 50 }
    expect([0, 0.5, 0.999].map(random => Math.round(retryAfterMs({ ...excess, random })))).to.deep.equal([500, 1_000, 1_499])
  })
})

describe('AdaptiveLimit', () => {
  for (const { name, rule, window, direction } of rules) {
    it(name, () => {
      const next = rule.next(20, { latencyRatio: 0.3, slowRatio: 0, bestRatio: 0.3, peakInFlight: 20, isBinding: false, isBusy: false, ...window })
      expect(Math.sign(next - 20)).to.equal(direction)
    })
  }

  for (const { name, inFlight, ratios, busyRatio = 0, isLimited } of windows) {
    it(`${isLimited ? 'limits' : 'does not limit'} after ${name}`, () => {
      const limit = new AdaptiveLimit(new AimdRule())
      const play = (at: number, values: readonly number[], busy: number): void => {
        limit.observe(at, inFlight, false, 0)
        for (const latencyRatio of values) limit.record({ latencyRatio, isSlow: latencyRatio >= 0.6 })
        limit.observe(at + 300, inFlight, false, busy)
      }
      // Calls that were always slow are the best recent ones.
      play(0, Array(20).fill(Math.min(0.9, ...ratios)), 0)
      play(400, ratios, busyRatio)
      expect(limit.current < Infinity).to.equal(isLimited)
    })
  }

  it('lifts a limit that has not bound for some time', () => {
    const limit = new AdaptiveLimit(new AimdRule())
    let now = 0
    const play = (latencyRatio: number): void => {
      for (let i = 0; i < 20; i += 1) limit.record({ latencyRatio, isSlow: latencyRatio >= 0.6 })
      limit.observe(now += 300, 20, false, 0)
    }
    limit.observe(now, 20, false, 0)
    play(0.3)
    play(2)
    expect(limit.current < Infinity).to.equal(true)
    for (let i = 0; i < 8; i += 1) play(0.3)
    expect(limit.current).to.equal(Infinity)
  })
})
