/**
 * Reports in responses of targets, combined with register entries in both orders.
 */
import { expect } from 'chai'
import seedrandom from 'seedrandom'
import type { Instant } from '../clock/clockTypes.js'
import type { TargetProcess, TargetReport } from './targetReports.js'
import { TargetSet, type TargetView } from './targetSet.js'

const FIRST: TargetProcess = { id: 'a', startedAt: 100 }
const SECOND: TargetProcess = { id: 'a', startedAt: 200 }
const WITHOUT_START: TargetProcess = { id: 'a' }
const LONG_MS = 70_000
const LEAVING = { isLeaving: true }
const SEEDS = 50
const STEPS = 400
const TARGETS = 4
const PROCESSES = 5

/** An instant whose wall clock is before the start of any process. */
function at (mono: number): Instant {
  return { mono, wall: -1 }
}

function viewOf (process: TargetProcess, isLeaving = false): TargetView {
  return { ...process, service: 's', address: '10.0.0.1:80', domain: 'd', slots: 4, isLeaving }
}

interface ReportCase {
  readonly name: string
  /** Runs at monotonic millisecond 0, with the first process listed. */
  readonly act: (set: TargetSet) => void
  readonly isServing: boolean
}

const cases: readonly ReportCase[] = [
  { name: 'serves without any report', act: () => {}, isServing: true },
  { name: 'serves after a response without a report', act: set => { set.recordReport(FIRST, { isLeaving: false }, at(0)) }, isServing: true },
  { name: 'is leaving by its response', act: set => { set.recordReport(FIRST, LEAVING, at(0)) }, isServing: false },
  {
    name: 'stays leaving when a later response omits it',
    act: set => {
      set.recordReport(FIRST, LEAVING, at(0))
      set.recordReport(FIRST, { isLeaving: false }, at(1))
    },
    isServing: false
  },
  {
    name: 'stays leaving when its heartbeats still list it as serving',
    act: set => {
      set.recordReport(FIRST, LEAVING, at(0))
      set.put(viewOf(FIRST))
      set.replace([viewOf(FIRST)], 1)
    },
    isServing: false
  },
  {
    name: 'stays leaving when it is listed again after its entry expired',
    act: set => {
      set.recordReport(FIRST, LEAVING, at(0))
      set.remove('a', 1)
      for (let mono = 2; mono < 20_000; mono += 500) set.tick(mono)
      set.put(viewOf(FIRST))
    },
    isServing: false
  },
  {
    name: 'serves once a later process is listed',
    act: set => {
      set.recordReport(FIRST, LEAVING, at(0))
      set.put(viewOf(SECOND))
    },
    isServing: true
  },
  {
    name: 'stays leaving when the report came after the start of a later process that was listed only then',
    act: set => {
      set.recordReport(FIRST, LEAVING, { mono: 0, wall: 250 })
      set.put(viewOf(SECOND))
      set.tick(50_000)
    },
    isServing: false
  },
  {
    name: 'serves again when that report has been in doubt for long',
    act: set => {
      set.recordReport(FIRST, LEAVING, { mono: 0, wall: 250 })
      set.put(viewOf(SECOND))
      set.tick(LONG_MS)
    },
    isServing: true
  },
  {
    name: 'stays leaving when an older entry follows the report of a later process',
    act: set => {
      set.recordReport(SECOND, LEAVING, at(0))
      set.put(viewOf(FIRST))
    },
    isServing: false
  },
  {
    name: 'serves when the previous process responds late',
    act: set => {
      set.put(viewOf(SECOND))
      set.recordReport(FIRST, LEAVING, at(1))
    },
    isServing: true
  },
  {
    name: 'serves when the previous process responds late, before the entry of the current one is listed',
    act: set => {
      set.recordReport(SECOND, { isLeaving: false, pauseMs: 1 }, at(0))
      set.recordReport(FIRST, LEAVING, at(1))
    },
    isServing: true
  },
  {
    name: 'serves once a later process responds without a leaving report',
    act: set => {
      set.recordReport(FIRST, LEAVING, at(0))
      set.recordReport(SECOND, { isLeaving: false }, at(1))
    },
    isServing: true
  },
  {
    name: 'is leaving by a response that came before its entry',
    act: set => {
      set.remove('a', 0)
      set.recordReport(FIRST, LEAVING, at(1))
      set.put(viewOf(FIRST))
    },
    isServing: false
  },
  {
    name: 'is leaving where start times are not reported',
    act: set => {
      set.replace([viewOf(WITHOUT_START)], 0)
      set.recordReport(WITHOUT_START, LEAVING, at(1))
      set.put(viewOf(WITHOUT_START))
    },
    isServing: false
  },
  {
    name: 'loses its leaving report after a long absence',
    act: set => {
      set.replace([viewOf(WITHOUT_START)], 0)
      set.recordReport(WITHOUT_START, LEAVING, at(1))
      set.remove('a', 2)
      for (let mono = 3; mono < LONG_MS; mono += 500) set.tick(mono)
      set.put(viewOf(WITHOUT_START))
    },
    isServing: true
  }
]

describe('TargetReports', () => {
  for (const { name, act, isServing } of cases) {
    it(`a target ${name}`, () => {
      const set = new TargetSet()
      set.replace([viewOf(FIRST)], 0)
      act(set)
      expect(set.serving('s').length).to.equal(isServing ? 1 : 0)
    })
  }

  it('returns each change once', () => {
    const set = new TargetSet()
    set.replace([viewOf(FIRST)], 0)
    expect([1, 2, 3].map(mono => set.recordReport(FIRST, LEAVING, at(mono)))).to.deep.equal([['leaving'], [], []])
  })
  const pauses: ReadonlyArray<{ readonly name: string, readonly act: (set: TargetSet) => void, readonly pausesMs: readonly number[] }> = [
    { name: 'none', act: () => {}, pausesMs: [] },
    { name: 'the time that is left', act: set => { set.recordReport(FIRST, { isLeaving: false, pauseMs: 3_000 }, at(0)) }, pausesMs: [2_000] },
    { name: 'none once it has ended', act: set => { set.recordReport(FIRST, { isLeaving: false, pauseMs: 1_000 }, at(0)) }, pausesMs: [] },
    {
      name: 'the longest of several',
      act: set => { for (const pauseMs of [500, 4_000, 1_500]) set.recordReport(FIRST, { isLeaving: false, pauseMs }, at(0)) },
      pausesMs: [3_000]
    },
    {
      name: 'the time that is left after a response without a pause',
      act: set => {
        set.recordReport(FIRST, { isLeaving: false, pauseMs: 1_200 }, at(0))
        set.recordReport(FIRST, { isLeaving: false }, at(900))
      },
      pausesMs: [200]
    },
    {
      name: 'the time that is left after heartbeats and a new read of the register',
      act: set => {
        set.recordReport(FIRST, { isLeaving: false, pauseMs: 3_000 }, at(0))
        set.put(viewOf(FIRST))
        set.replace([viewOf(FIRST)], 500)
      },
      pausesMs: [2_000]
    },
    {
      name: 'none for a later process',
      act: set => {
        set.recordReport(FIRST, { isLeaving: false, pauseMs: 3_000 }, at(0))
        set.put(viewOf(SECOND))
      },
      pausesMs: []
    },
    { name: 'one hour at most', act: set => { set.recordReport(FIRST, { isLeaving: false, pauseMs: 1e12 }, at(1_000)) }, pausesMs: [3_600_000] }
  ]
  for (const { name, act, pausesMs } of pauses) {
    it(`a pause: ${name}`, () => {
      const set = new TargetSet()
      set.replace([viewOf(FIRST)], 0)
      act(set)
      const available = set.available('s', 1_000)
      expect([available.pausesMs, available.targets.length]).to.deep.equal([pausesMs, 1 - pausesMs.length])
    })
  }
  for (let seed = 0; seed < SEEDS; seed += 1) {
    it(`sends nothing to paused or leaving targets, in any order of responses and entries (seed ${seed})`, () => { runSequence(seed) })
  }
})

/** Reference model of what a target requested, independent of the tested code. */
interface ExpectedState {
  readonly startedAt: number
  readonly isLeaving: boolean
  readonly until: number
}

/** Plays responses and entries of current and earlier processes, and checks after each which targets may be used. */
function runSequence (seed: number): void {
  const random = seedrandom(`reports ${seed}`)
  const below = (limit: number): number => Math.floor(random() * limit)
  const set = new TargetSet()
  const expected = new Map<string, ExpectedState>()
  const newest = new Map<string, number>()
  const list = (id: string, startedAt: number): void => {
    newest.set(id, startedAt)
    if ((expected.get(id)?.startedAt ?? Infinity) < startedAt) expected.delete(id)
  }
  const answer = (id: string, startedAt: number, { isLeaving, pauseMs = 0 }: TargetReport, mono: number): void => {
    const previous = expected.get(id)
    if (startedAt < Math.max(newest.get(id) ?? 0, previous?.startedAt ?? 0)) return
    const same = previous?.startedAt === startedAt ? previous : { isLeaving: false, until: 0 }
    expected.set(id, { startedAt, isLeaving: same.isLeaving || isLeaving, until: Math.max(same.until, mono + pauseMs) })
  }
  for (let step = 0, mono = 0; step < STEPS; step += 1, mono += below(200)) {
    const [id, startedAt, act] = [`t${below(TARGETS)}`, below(PROCESSES), below(6)]
    if (act === 0) {
      const present = Math.max(startedAt, newest.get(id) ?? 0)
      set.put(viewOf({ id, startedAt: present }))
      list(id, present)
    } else if (act === 1) set.remove(id, mono)
    else if (act === 2) set.registerFailed(mono)
    else if (act === 3) set.tick(mono)
    else {
      const report = { isLeaving: random() < 0.2, ...(random() < 0.6 ? { pauseMs: below(2_000) } : {}) }
      set.recordReport({ id, startedAt }, report, at(mono))
      answer(id, startedAt, report, mono)
    }
    const isUsable = (target: string): boolean => expected.get(target)?.isLeaving !== true && (expected.get(target)?.until ?? 0) <= mono
    const used = set.available('s', mono).targets.map(target => target.id)
    const listed = set.all().map(target => target.id)
    expect([...used].sort(), `step ${step}`).to.deep.equal(listed.filter(isUsable).sort())
  }
}
