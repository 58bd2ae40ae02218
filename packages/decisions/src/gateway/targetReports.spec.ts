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
const UNTOLD: TargetProcess = { id: 'a' }
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
  { name: 'serves after a response without a report', act: set => { set.reported(FIRST, { isLeaving: false }, at(0)) }, isServing: true },
  { name: 'is leaving by its response', act: set => { set.reported(FIRST, LEAVING, at(0)) }, isServing: false },
  {
    name: 'stays leaving when a later response omits it',
    act: set => {
      set.reported(FIRST, LEAVING, at(0))
      set.reported(FIRST, { isLeaving: false }, at(1))
    },
    isServing: false
  },
  {
    name: 'stays leaving when its heartbeats still list it as serving',
    act: set => {
      set.reported(FIRST, LEAVING, at(0))
      set.put(viewOf(FIRST))
      set.replace([viewOf(FIRST)], 1)
    },
    isServing: false
  },
  {
    name: 'stays leaving when it is listed again after its entry expired',
    act: set => {
      set.reported(FIRST, LEAVING, at(0))
      set.remove('a', 1)
      for (let mono = 2; mono < 20_000; mono += 500) set.tick(mono)
      set.put(viewOf(FIRST))
    },
    isServing: false
  },
  {
    name: 'serves once a later process is listed',
    act: set => {
      set.reported(FIRST, LEAVING, at(0))
      set.put(viewOf(SECOND))
    },
    isServing: true
  },
  {
    name: 'stays leaving when the report came after the start of a later process that was listed only then',
    act: set => {
      set.reported(FIRST, LEAVING, { mono: 0, wall: 250 })
      set.put(viewOf(SECOND))
      set.tick(50_000)
    },
    isServing: false
  },
  {
    name: 'serves again when that report has been in doubt for long',
    act: set => {
      set.reported(FIRST, LEAVING, { mono: 0, wall: 250 })
      set.put(viewOf(SECOND))
      set.tick(LONG_MS)
    },
    isServing: true
  },
  {
    name: 'stays leaving when an older entry follows the report of a later process',
    act: set => {
      set.reported(SECOND, LEAVING, at(0))
      set.put(viewOf(FIRST))
    },
    isServing: false
  },
  {
    name: 'serves when the previous process responds late',
    act: set => {
      set.put(viewOf(SECOND))
      set.reported(FIRST, LEAVING, at(1))
    },
    isServing: true
  },
  {
    name: 'serves when the previous process responds late, before the entry of the current one is listed',
    act: set => {
      set.reported(SECOND, { isLeaving: false, pauseMs: 1 }, at(0))
      set.reported(FIRST, LEAVING, at(1))
    },
    isServing: true
  },
  {
    name: 'serves once a later process responds without a leaving report',
    act: set => {
      set.reported(FIRST, LEAVING, at(0))
      set.reported(SECOND, { isLeaving: false }, at(1))
    },
    isServing: true
  },
  {
    name: 'is leaving by a response that came before its entry',
    act: set => {
      set.remove('a', 0)
      set.reported(FIRST, LEAVING, at(1))
      set.put(viewOf(FIRST))
    },
    isServing: false
  },
  {
    name: 'is leaving where start times are not reported',
    act: set => {
      set.replace([viewOf(UNTOLD)], 0)
      set.reported(UNTOLD, LEAVING, at(1))
      set.put(viewOf(UNTOLD))
    },
    isServing: false
  },
  {
    name: 'is forgotten after a long absence',
    act: set => {
      set.replace([viewOf(UNTOLD)], 0)
      set.reported(UNTOLD, LEAVING, at(1))
      set.remove('a', 2)
      for (let mono = 3; mono < LONG_MS; mono += 500) set.tick(mono)
      set.put(viewOf(UNTOLD))
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
    expect([1, 2, 3].map(mono => set.reported(FIRST, LEAVING, at(mono)))).to.deep.equal([['leaving'], [], []])
  })
  const pauses: ReadonlyArray<{ readonly name: string, readonly act: (set: TargetSet) => void, readonly pausesMs: readonly number[] }> = [
    { name: 'none', act: () => {}, pausesMs: [] },
    { name: 'the time that is left', act: set => { set.reported(FIRST, { isLeaving: false, pauseMs: 3_000 }, at(0)) }, pausesMs: [2_000] },
    { name: 'none once it has ended', act: set => { set.reported(FIRST, { isLeaving: false, pauseMs: 1_000 }, at(0)) }, pausesMs: [] },
    {
      name: 'the longest of several',
      act: set => { for (const pauseMs of [500, 4_000, 1_500]) set.reported(FIRST, { isLeaving: false, pauseMs }, at(0)) },
      pausesMs: [3_000]
    },
    {
      name: 'the time that is left after a response without a pause',
      act: set => {
        set.reported(FIRST, { isLeaving: false, pauseMs: 1_200 }, at(0))
        set.reported(FIRST, { isLeaving: false }, at(900))
      },
      pausesMs: [200]
    },
    {
      name: 'the time that is left after heartbeats and a new read of the register',
      act: set => {
        set.reported(FIRST, { isLeaving: false, pauseMs: 3_000 }, at(0))
        set.put(viewOf(FIRST))
        set.replace([viewOf(FIRST)], 500)
      },
      pausesMs: [2_000]
    },
    {
      name: 'none for a later process',
      act: set => {
        set.reported(FIRST, { isLeaving: false, pauseMs: 3_000 }, at(0))
        set.put(viewOf(SECOND))
      },
      pausesMs: []
    },
    { name: 'one hour at most', act: set => { set.reported(FIRST, { isLeaving: false, pauseMs: 1e12 }, at(1_000)) }, pausesMs: [3_600_000] }
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
    it(`sends nothing to paused or leaving targets, in any order of responses and entries (seed ${seed})`, () => { play(seed) })
  }
})

/** Reference model of what a target requested, independent of the tested code. */
interface Asked {
  readonly startedAt: number
  readonly isLeaving: boolean
  readonly until: number
}

/** Plays responses and entries of current and earlier processes, and checks after each which targets may be used. */
function play (seed: number): void {
  const random = seedrandom(`reports ${seed}`)
  const below = (most: number): number => Math.floor(random() * most)
  const set = new TargetSet()
  const asked = new Map<string, Asked>()
  const newest = new Map<string, number>()
  const list = (id: string, startedAt: number): void => {
    newest.set(id, startedAt)
    if ((asked.get(id)?.startedAt ?? Infinity) < startedAt) asked.delete(id)
  }
  const answer = (id: string, startedAt: number, { isLeaving, pauseMs = 0 }: TargetReport, mono: number): void => {
    const known = asked.get(id)
    if (startedAt < Math.max(newest.get(id) ?? 0, known?.startedAt ?? 0)) return
    const same = known?.startedAt === startedAt ? known : { isLeaving: false, until: 0 }
    asked.set(id, { startedAt, isLeaving: same.isLeaving || isLeaving, until: Math.max(same.until, mono + pauseMs) })
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
      set.reported({ id, startedAt }, report, at(mono))
      answer(id, startedAt, report, mono)
    }
    const wanted = (target: string): boolean => asked.get(target)?.isLeaving !== true && (asked.get(target)?.until ?? 0) <= mono
    const used = set.available('s', mono).targets.map(target => target.id)
    const listed = set.all().map(target => target.id)
    expect([...used].sort(), `step ${step}`).to.deep.equal(listed.filter(wanted).sort())
  }
}
