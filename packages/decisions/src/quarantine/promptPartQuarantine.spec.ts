/**
 * Guards against parts of prompts that go on terminating targets, and against blame for the parts of requests that were open there by chance. Plays
 * in virtual time; PART_SEEDS sets the number of seeds.
 */
import { expect } from 'chai'
import seedrandom from 'seedrandom'
import { PromptPartQuarantine } from './promptPartQuarantine.js'
import { processKey, type QuarantineUpdate, type TargetEnd } from './quarantineTypes.js'
import { RequestQuarantine } from './requestQuarantine.js'

const TARGETS = 12
const STEP_MS = 10
const PLAY_MS = 12_000
const DOWN_MS = 3_000
const SOUND_RUN_MS = 300
const CRASH_AFTER_MS = 60
/** Longest time from the end of a target to the report of a VM. */
const MAX_REPORT_MS = 150
/** Time from the fifth end under a part within which it must be quarantined. */
const CONTACT_MS = 3_000
const COUNTED_ENDS = 5
const SEEDS = Number(process.env['PART_SEEDS'] ?? 10)

interface PlayCase {
  readonly name: string
  /** Parts that terminate targets; each comes once in a gap. */
  readonly crashing: readonly string[]
  readonly crashingGapMs: number
  /** Sound requests in each step. */
  readonly soundPerStep: number
  /** Parts of sound requests besides the shared first one. */
  readonly sessions: number
  /** Time between two moments at which three targets end for another reason; 0 for none. */
  readonly otherEndsMs?: number
  /** Whether one request that terminates targets is repeated besides. */
  readonly hasCrashingRequest?: true
}

const cases: readonly PlayCase[] = [
  { name: 'one part', crashing: ['bad'], crashingGapMs: 120, soundPerStep: 1, sessions: 300 },
  { name: 'one part that comes seldom', crashing: ['bad'], crashingGapMs: 1_000, soundPerStep: 1, sessions: 300 },
  { name: 'one part beside many requests of few sessions', crashing: ['bad'], crashingGapMs: 120, soundPerStep: 5, sessions: 40 },
  { name: 'one part beside requests that are almost all new', crashing: ['bad'], crashingGapMs: 120, soundPerStep: 3, sessions: 100_000 },
  { name: 'one part in a storm that leaves few answers', crashing: ['bad'], crashingGapMs: 30, soundPerStep: 3, sessions: 300 },
  { name: 'two parts', crashing: ['bad', 'worse'], crashingGapMs: 150, soundPerStep: 1, sessions: 300 },
  { name: 'one part beside a request that terminates targets by itself', crashing: ['bad'], crashingGapMs: 200, soundPerStep: 1, sessions: 300, hasCrashingRequest: true },
  { name: 'one part while targets end for another reason', crashing: ['bad'], crashingGapMs: 200, soundPerStep: 1, sessions: 300, otherEndsMs: 2_000 },
  { name: 'no part while targets end for another reason', crashing: [], crashingGapMs: 200, soundPerStep: 3, sessions: 300, otherEndsMs: 1_000 }
]

interface RunningRequest {
  readonly digest: string
  readonly parts: readonly string[]
  readonly endsAt: number
  readonly isCrashing: boolean
}

class Play {
  /** End of a target by the parts of the requests that caused it. */
  readonly endsOf = new Map<string, number[]>()
  readonly quarantinedAt = new Map<string, number>()
  private readonly random: () => number
  private readonly answeredAt = new Map<string, number>()
  private readonly quarantine = new PromptPartQuarantine(part => this.answeredAt.get(part))
  private readonly requests = new RequestQuarantine()
  private readonly running = Array.from({ length: TARGETS }, (): RunningRequest[] => [])
  private readonly upAt = Array.from({ length: TARGETS }, () => 0)
  private readonly due: Array<{ readonly at: number, readonly run: () => void }> = []
  private sent = 0
  private now = 0

  constructor (private readonly options: PlayCase, seed: string) {
    this.random = seedrandom(seed)
  }

  run (): void {
    const { soundPerStep, sessions, crashing, crashingGapMs, otherEndsMs = 0, hasCrashingRequest } = this.options
    for (this.now = STEP_MS; this.now < PLAY_MS; this.now += STEP_MS) {
      for (let index = 0; index < soundPerStep; index += 1) this.send(['first', `session${Math.floor(this.random() * sessions)}`])
      if (this.now % crashingGapMs === 0) for (const part of crashing) this.send(['first', part], part)
      if (hasCrashingRequest === true && this.now % 300 === 0) this.send(['first', 'session0'], 'request')
      if (otherEndsMs > 0 && this.now % otherEndsMs === 0) for (let index = 0; index < 3; index += 1) this.end(Math.floor(this.random() * TARGETS))
      this.step()
    }
  }

  private send (parts: readonly string[], cause?: string): void {
    if (parts.some(part => this.quarantine.isQuarantined(part, this.now))) return
    const live = this.upAt.flatMap((upAt, target) => upAt <= this.now ? [target] : [])
    const target = live[Math.floor(this.random() * live.length)]
    if (target === undefined) return
    this.sent += 1
    const digest = cause === 'request' ? 'repeated' : `r${this.sent}`
    if (this.requests.standing(digest, this.now) === 'quarantined') return
    this.running[target]?.push({ digest, parts, endsAt: this.now + (cause === undefined ? SOUND_RUN_MS : CRASH_AFTER_MS), isCrashing: cause !== undefined })
  }

  private step (): void {
    for (const [target, requests] of this.running.entries()) {
      const ended = requests.filter(({ endsAt }) => endsAt <= this.now)
      const cause = ended.find(({ isCrashing }) => isCrashing)
      if (cause !== undefined) {
        const part = cause.parts[1] ?? ''
        this.endsOf.set(part, [...this.endsOf.get(part) ?? [], this.now])
        this.end(target)
        continue
      }
      for (const { parts } of ended) {
        for (const part of parts) {
          this.answeredAt.set(part, this.now)
          this.quarantine.answered(part, this.now)
        }
      }
      this.running[target] = requests.filter(({ endsAt }) => endsAt > this.now)
    }
    for (const report of this.due.splice(0)) {
      if (report.at <= this.now) report.run()
      else this.due.push(report)
    }
    for (const { digest } of this.quarantine.tick(this.now)) this.quarantinedAt.set(digest, this.now)
  }

  /** Ends a target; each VM reports its own requests. */
  private end (target: number): void {
    const broken = this.running[target] ?? []
    const end: TargetEnd = { target: `t${target}`, domain: 'd', startedAt: this.upAt[target] ?? 0, at: this.now }
    this.running[target] = []
    this.upAt[target] = this.now + DOWN_MS
    for (let vm = 0; vm < 3; vm += 1) {
      const own = broken.filter((_request, index) => index % 3 === vm)
      if (own.length === 0) continue
      const digests = own.map(({ digest }) => digest)
      const parts = [...new Set(own.flatMap(request => request.parts))].map((part): [string, number[]] => [part, own.flatMap((request, index) => request.parts.includes(part) ? index : [])])
      const report: QuarantineUpdate = { kind: 'ended', ends: [end], digests, parts }
      const run = (): void => {
        this.quarantine.apply(report, this.now)
        this.requests.apply(report, this.now)
      }
      this.due.push({ at: this.now + this.random() * MAX_REPORT_MS, run })
    }
  }
}

describe('PromptPartQuarantine', () => {
  for (const options of cases) {
    it(`finds ${options.name}, and blames nothing else`, () => {
      for (let index = 0; index < SEEDS; index += 1) {
        const seed = `parts ${index}`
        const play = new Play(options, seed)
        play.run()
        expect([...play.quarantinedAt.keys()].sort(), seed).to.deep.equal([...options.crashing].sort())
        for (const part of options.crashing) {
          const fifthEnd = play.endsOf.get(part)?.[COUNTED_ENDS - 1] ?? Infinity
          expect(play.quarantinedAt.get(part), seed).to.be.below(fifthEnd + CONTACT_MS)
        }
      }
    })
  }

  it('clears a part that is answered, and leaves its ends to others', () => {
    const quarantine = new PromptPartQuarantine(() => undefined)
    const end = (target: string): TargetEnd => ({ target, domain: 'd', at: 100 * Number(target) })
    for (const [index, target] of ['1', '2', '3', '4'].entries()) {
      quarantine.apply({ kind: 'ended', ends: [end(target)], digests: [`r${index}`], parts: [['harmless', [0]], ['bad', [0]]] }, 0)
    }
    expect(quarantine.tick(1_000)).to.deep.equal([])
    expect(quarantine.answered('harmless', 1_000)?.processes).to.deep.equal(['1', '2', '3', '4'].map(target => processKey(end(target))))
    expect(quarantine.tick(1_200).map(({ digest }) => digest)).to.deep.equal(['bad'])
    expect(quarantine.explained(1_300).size).to.equal(4)
  })
})
