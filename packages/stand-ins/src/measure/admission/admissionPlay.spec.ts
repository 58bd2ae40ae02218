/**
 * Guards against all kinds and teams becoming late together under load, in seeded plays of one VM in virtual time. ADMISSION_SEEDS sets the
 * number of plays of each case.
 */
import { expect } from 'chai'
import { AdaptiveLimit } from '@rosemaryspread/decisions/admission/adaptiveLimit.js'
import type { LimitRule } from '@rosemaryspread/decisions/admission/admissionTypes.js'
import { AimdRule, GradientRule } from '@rosemaryspread/decisions/admission/limitRules.js'
import { AdmissionPlay, goodput, type PlayedCall, type PlayedKind, type PlayOptions } from './admissionPlay.js'

const SEEDS = Number(process.env['ADMISSION_SEEDS'] ?? 4)
const PLAY_MS = 16_000
/** Calls of the end of a play may still be open. */
const COUNTED_MS = 13_000
/** Goodput by which a less urgent kind, or a surging team, may fare better than others. */
const TOLERANCE = 0.05
const MIN_EARLY_REFUSALS = 0.85
/** Share of the objective within which a call is refused where that can be known. */
const EARLY_SHARE = 1 / 8

const kinds: readonly PlayedKind[] = [
  { name: 'urgent', priority: 0, objectiveMs: 600, share: 0.4 },
  { name: 'middle', priority: 1, objectiveMs: 800, share: 0.3 },
  { name: 'least', priority: 2, objectiveMs: 800, share: 0.3 }
]
const laterKinds = kinds.map((kind, index) => ({ ...kind, share: [0.1, 0.3, 0.6][index] ?? 0 }))
const equal = { a: 1, b: 1, c: 1, d: 1 }
const surging = { ...equal, a: 8 }

const rules: ReadonlyArray<{ readonly name: string, readonly create: () => LimitRule }> = [
  { name: 'AIMD', create: () => new AimdRule() },
  { name: 'gradient', create: () => new GradientRule() }
]

type Bound = Pick<PlayOptions, 'processorPerS' | 'slots'>
const targets: Bound = { processorPerS: 1_000, slots: 10 }
const processor: Bound = { processorPerS: 100, slots: 1_000 }
const slowProcessor: Bound = { processorPerS: 20, slots: 1_000 }

interface LoadCase {
  readonly name: string
  readonly bound: Bound
  readonly callsPerS: number
  readonly teams?: PlayOptions['teams']
  readonly retries?: number
  readonly laterKinds?: readonly PlayedKind[]
  /** Goodput of all calls by which admission by AIMD must be better than none. */
  readonly gain: number
}

const cases: readonly LoadCase[] = [
  { name: 'targets at 1.5 times their capacity', bound: targets, callsPerS: 75, gain: 0.5 },
  { name: 'targets at twice their capacity', bound: targets, callsPerS: 100, gain: 0.35 },
  { name: 'targets at 3 times their capacity', bound: targets, callsPerS: 150, gain: 0.2 },
  { name: 'targets at twice their capacity and callers that come back', bound: targets, callsPerS: 100, retries: 2, gain: 0.25 },
  { name: 'targets at twice their capacity, one team at 2 times the others', bound: targets, callsPerS: 100, teams: { ...equal, a: 2 }, gain: 0.35 },
  { name: 'targets at twice their capacity, one team at 8 times the others', bound: targets, callsPerS: 100, teams: surging, gain: 0.35 },
  { name: 'targets at 1.5 times their capacity and a mix that shifts', bound: targets, callsPerS: 75, laterKinds, gain: 0.5 },
  { name: 'a processor at 1.5 times its capacity', bound: processor, callsPerS: 150, gain: 0.3 },
  { name: 'a processor at twice its capacity, one team at 8 times the others', bound: processor, callsPerS: 200, teams: surging, gain: 0.15 },
  { name: 'a slow processor at 1.5 times its capacity', bound: slowProcessor, callsPerS: 30, gain: 0.3 }
]

function play ({ bound, callsPerS, teams = equal, retries = 0, laterKinds: later }: Omit<LoadCase, 'name' | 'gain'>, create?: () => LimitRule, outage?: PlayOptions['outage']): readonly PlayedCall[] {
  return Array.from({ length: SEEDS }, (_, seed) => new AdmissionPlay({
    ...bound,
    callsPerS,
    kinds,
    ...(later === undefined ? {} : { laterKinds: later }),
    teams,
    retries,
    playMs: PLAY_MS,
    ...(outage === undefined ? {} : { outage }),
    seed: String(seed),
    ...(create === undefined ? {} : { limit: new AdaptiveLimit(create()) })
  }).run().filter(({ at }) => at < COUNTED_MS)).flat()
}

function byKind (calls: readonly PlayedCall[], index: number): number {
  return goodput(calls, ({ kind }) => kind.priority === index)
}

describe('Admission under load', () => {
  for (const { name: rule, create } of rules) {
    for (const { bound, callsPerS, of } of [{ bound: targets, callsPerS: 25, of: 'targets' }, { bound: processor, callsPerS: 50, of: 'a processor' }, { bound: slowProcessor, callsPerS: 10, of: 'a slow processor' }]) {
      it(`by ${rule} delays and refuses nothing at half the capacity of ${of}`, () => {
        const calls = play({ bound, callsPerS }, create)
        expect(calls.filter(({ waited, refusedAfterMs }) => waited || refusedAfterMs.length > 0)).to.deep.equal([])
        expect(goodput(calls)).to.equal(1)
      })
    }

    for (const test of cases) {
      const { name, teams = equal } = test
      it(`by ${rule} serves more in time, the most urgent first, before ${name}`, () => {
        const calls = play(test, create)
        const without = play(test)
        if (rule === 'AIMD') expect(goodput(calls)).to.be.at.least(goodput(without) + test.gain)
        expect(goodput(calls)).to.be.at.least(goodput(without))
        // The gradient follows the best latency that it saw, and a processor beyond its capacity from the start showed it none.
        if (rule === 'gradient' && test.bound === slowProcessor) return
        expect(byKind(calls, 0)).to.be.at.least(byKind(calls, 1) - TOLERANCE)
        expect(byKind(calls, 1)).to.be.at.least(byKind(calls, 2) - TOLERANCE)
        const most = goodput(calls, ({ team }) => team === 'a')
        for (const other of Object.keys(teams).slice(1)) expect(goodput(calls, ({ team }) => team === other)).to.be.at.least(most - TOLERANCE)
        const refusals = calls.flatMap(({ kind, refusedAfterMs }) => refusedAfterMs.map(ms => ms / kind.objectiveMs))
        expect(refusals.filter(ratio => ratio <= EARLY_SHARE).length).to.be.at.least(refusals.length * MIN_EARLY_REFUSALS)
      })
    }

    it(`by ${rule} recovers within three seconds after targets stopped answering for two`, () => {
      const outage = { fromMs: 4_000, toMs: 6_000 }
      const calls = play({ bound: targets, callsPerS: 30, retries: 1 }, create, outage)
      expect(goodput(calls, ({ at }) => at < 3_000)).to.be.at.least(0.98)
      expect(goodput(calls, ({ at }) => at >= 9_000)).to.be.at.least(0.98)
    })
  }
})
