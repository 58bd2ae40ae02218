/**
 * Guards against targets that terminate since the VMs together exceed their places, in seeded plays in virtual time with more load than the
 * targets can serve. PLACES_SEEDS sets the number of plays of each case.
 */
import { expect } from 'chai'
import seedrandom from 'seedrandom'
import { PlaceLimits, type LimitedTarget } from '@rosemaryspread/decisions/gateway/placeLimits.js'

const SERVICE = 's'
const PLAYS = Number(process.env['PLACES_SEEDS'] ?? 10)
const SLOTS = 4
const TARGETS = 5
/** Requests that may wait at a target. */
const ROOM = 1
const STEP_MS = 10
const RUN_MS = 200
const PLAY_MS = 20_000
const DOWN_MS = 3_000
const LOAD_FACTOR = 2
const LIMIT_WINDOW_MS = 1_000
const REFUSAL_LIMIT = 5
/** Terminations that are allowed in one play. */
const MAX_FALLS = 2 + TARGETS / 10
/** Share of the places that must be in use on average. */
const MIN_USED_RATIO = 0.5

interface PlayCase {
  readonly name: string
  readonly vms: number
  /** Share of the requests that the first VM gets; the others share the rest. */
  readonly firstShare: number
  /** Whether VMs learn of each other's refusals. */
  readonly hasLinks: boolean
}

const cases: readonly PlayCase[] = [
  { name: 'six VMs with an equal load', vms: 6, firstShare: 1 / 6, hasLinks: true },
  { name: 'six VMs, most of the load at one', vms: 6, firstShare: 0.8, hasLinks: true },
  { name: 'six VMs without links', vms: 6, firstShare: 0.4, hasLinks: false },
  { name: 'twenty VMs with an equal load', vms: 20, firstShare: 1 / 20, hasLinks: true }
]

interface OpenRequest {
  readonly vm: number
  readonly at: number
}

/** A target that terminates when it refuses too much. */
class PlayedTarget implements LimitedTarget {
  readonly service = SERVICE
  readonly slots = SLOTS
  falls = 0
  private open: OpenRequest[] = []
  private refusedAt: number[] = []
  private downUntil = -Infinity

  constructor (readonly id: string) {}

  step (mono: number): void {
    this.open = this.open.filter(({ at }) => mono - at < RUN_MS)
  }

  isUp (mono: number): boolean {
    return mono >= this.downUntil
  }

  openOf (vm: number): number {
    return this.open.filter(each => each.vm === vm).length
  }

  get running (): number {
    return Math.min(SLOTS, this.open.length)
  }

  /** Whether it accepts a request. */
  accepts (vm: number, mono: number): boolean {
    if (this.open.length < SLOTS + ROOM) {
      this.open.push({ vm, at: mono })
      return true
    }
    this.refusedAt = [...this.refusedAt.filter(at => mono - at < LIMIT_WINDOW_MS), mono]
    if (this.refusedAt.length > REFUSAL_LIMIT) this.fall(mono)
    return false
  }

  private fall (mono: number): void {
    this.falls += 1
    this.open = []
    this.refusedAt = []
    this.downUntil = mono + DOWN_MS
  }
}

/** Plays one load; returns the terminations, and the share of the places in use. */
function play ({ vms, firstShare, hasLinks }: PlayCase, seed: string): { readonly falls: number, readonly used: number } {
  const random = seedrandom(seed)
  const names = Array.from({ length: vms }, (_, i) => `vm-${i}`)
  const limits = names.map(() => new PlaceLimits())
  const targets = Array.from({ length: TARGETS }, (_, i) => new PlayedTarget(`t${i}`))
  let running = 0
  const send = (vm: number, mono: number): void => {
    const own = limits[vm] as PlaceLimits
    const share = { vm: names[vm] as string, vms: () => names, random }
    const choices = targets.filter(target => target.isUp(mono) && own.hasRoom(target, target.openOf(vm), share, mono))
    const target = choices[Math.floor(random() * choices.length)]
    if (target === undefined || target.accepts(vm, mono)) return
    own.refused(target.id, SERVICE, target.openOf(vm), mono)
    if (hasLinks) limits.forEach((each, other) => { if (other !== vm) each.refusedElsewhere(target.id, SERVICE, mono) })
  }
  for (let mono = 0; mono < PLAY_MS; mono += STEP_MS) {
    for (const each of limits) each.report(SERVICE, REFUSAL_LIMIT, mono)
    for (const target of targets) target.step(mono)
    const arrivals = LOAD_FACTOR * SLOTS * TARGETS * STEP_MS / RUN_MS
    for (let arrival = 0; arrival < arrivals; arrival += 1) send(random() < firstShare ? 0 : Math.floor(random() * vms), mono)
    running += targets.reduce((sum, target) => sum + target.running, 0)
  }
  return { falls: targets.reduce((sum, { falls }) => sum + falls, 0), used: running / (SLOTS * TARGETS * PLAY_MS / STEP_MS) }
}

describe('places of targets that VMs share', () => {
  for (const each of cases) {
    it(`are seldom exceeded, and used: ${each.name}`, () => {
      for (let seed = 0; seed < PLAYS; seed += 1) {
        const { falls, used } = play(each, `places ${seed}`)
        expect(falls, `falls with seed ${seed}`).to.be.at.most(MAX_FALLS)
        expect(used, `places used with seed ${seed}`).to.be.at.least(MIN_USED_RATIO)
      }
    })
  }
})
