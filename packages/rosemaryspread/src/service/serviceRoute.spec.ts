/**
 * Guards against calls sent to full, paused, ejected or leaving runners, and against repeats of calls that must not be
 * repeated.
 */
import { expect } from 'chai'
import { Right } from 'purify-ts'
import { serviceSchema } from '@rosemaryspread/decisions/config/configSchema.js'
import { failureOf } from '@rosemaryspread/decisions/codes/failure.js'
import type { AdmittedCall } from '../gateway/callTypes.js'
import { ApplicationTargets, ServiceChooser } from './serviceDispatch.js'
import { chooseServiceRunner, isRepeatable, ServiceLoad, type ServiceChoice } from './serviceRoute.js'

const service = serviceSchema.parse({
  runners: {
    a: { address: '10.0.0.1:1', domain: 'd1', maxInFlight: 2 },
    b: { address: '10.0.0.2:1', domain: 'd2', maxInFlight: 2 },
    c: { address: '10.0.0.3:1', domain: 'd1', state: 'leaving' }
  },
  notRepeatable: ['/dispatch', '/crews/*']
})

interface ChoiceCase {
  readonly name: string
  readonly open?: Readonly<Record<string, number>>
  readonly failed?: readonly string[]
  /** Milliseconds from 0 for which runners accept no calls. */
  readonly paused?: Readonly<Record<string, number>>
  readonly exclude?: readonly string[]
  readonly atMs?: number
  readonly expected: string
}

const choices: readonly ChoiceCase[] = [
  { name: 'the local failure domain among equals', expected: 'a' },
  { name: 'the fewest open calls', open: { a: 1 }, expected: 'b' },
  { name: 'not a runner that was tried', exclude: ['a'], expected: 'b' },
  { name: 'not a full runner', open: { a: 2, b: 1 }, expected: 'b' },
  { name: 'a refusal if all are full', open: { a: 2, b: 2 }, expected: 'overloaded' },
  { name: 'a refusal if only a leaving runner remains', exclude: ['a', 'b'], expected: 'noRunner' },
  { name: 'not a runner that failed several times in a row', failed: ['a'], expected: 'b' },
  { name: 'an ejected runner if there is no other', failed: ['a', 'b'], expected: 'a' },
  { name: 'an ejected runner after its ejection, as a probe', failed: ['a'], atMs: 3_000, expected: 'a' },
  { name: 'not a runner with a probe in progress', failed: ['a'], open: { a: 1, b: 1 }, atMs: 3_000, expected: 'b' },
  { name: 'not a paused runner', paused: { a: 2_000 }, atMs: 1_999, expected: 'b' },
  { name: 'a runner whose pause is over', paused: { a: 2_000 }, atMs: 2_000, expected: 'a' },
  { name: 'a refusal if all are paused', paused: { a: 2_000, b: 1_000 }, expected: 'targetsPaused' }
]

describe('the choice of an application runner', () => {
  for (const { name, open, failed, paused, exclude, atMs, expected } of choices) {
    it(`is ${name}`, () => {
      const load = new ServiceLoad()
      failed?.forEach(runner => { for (let i = 0; i < 3; i += 1) load.ended(runner, false, 0) })
      Object.entries(paused ?? {}).forEach(([runner, pauseMs]) => { for (const until of [pauseMs, 1]) load.pause(runner, until) })
      Object.entries(open ?? {}).forEach(([runner, count]) => { for (let i = 0; i < count; i += 1) load.add(runner, 1) })
      const chosen = chooseServiceRunner(service, 'd1', load, exclude ?? [], atMs ?? 0)
      expect(failureOf(chosen)?.code ?? (chosen.extract() as ServiceChoice).runner).to.equal(expected)
    })
  }
})

describe('the adapter from the service API to call dispatch', () => {
  it('avoids a runner that requested a pause with its answer', async () => {
    const load = new ServiceLoad()
    const chooser = new ServiceChooser(service, 'd1', load, { now: () => ({ mono: 0, wall: 0 }) })
    const targets = new ApplicationTargets({ call: async () => Right({ status: 503, contentType: '', body: Buffer.alloc(0), pauseMs: 2_000 }) })
    const choice = chooser.choose({} as AdmittedCall, new Set()).unsafeCoerce()
    const req = { service: choice.target.service, target: choice.target, requestId: 'r', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), timeoutMs: 100, team: undefined, priority: 0, resumeAfter: undefined, isRepeatable: false }
    await targets.send(req, new AbortController().signal, report => { chooser.recordReport(choice, report) })
    expect([choice.target.id, chooser.choose({} as AdmittedCall, new Set()).unsafeCoerce().target.id]).to.deep.equal(['a', 'b'])
  })
})

const calls: ReadonlyArray<readonly [method: string, path: string, repeatable: boolean]> = [
  ['GET', '/dispatch', true],
  ['POST', '/dispatch', false],
  ['POST', '/dispatch?again=1', false],
  ['POST', '/dispatches', true],
  ['POST', '/crews/7', false],
  ['POST', '/status', true]
]

describe('calls that may be repeated', () => {
  for (const [method, path, repeatable] of calls) {
    it(`${method} ${path}: ${repeatable}`, () => {
      expect(isRepeatable(service, method, path)).to.equal(repeatable)
    })
  }
})
