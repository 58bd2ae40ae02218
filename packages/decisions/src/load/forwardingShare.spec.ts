/**
 * Guards against a share of forwarded connections that comes too late for a surge, never ends, or oscillates: the load answers a
 * change of the share only once open requests end, and a forwarded connection takes processor time as well.
 */
import { expect } from 'chai'
import { ForwardingShare } from './forwardingShare.js'

const TICK_MS = 150
const MS_PER_SECOND = 1_000

interface ShareCase {
  readonly name: string
  /** Busy ratio of each second. */
  readonly busy: readonly number[]
  /** Bounds of the share at the end. */
  readonly atLeast: number
  readonly atMost: number
}

const cases: readonly ShareCase[] = [
  { name: 'nothing at the start', busy: [], atLeast: 0, atMost: 0 },
  { name: 'nothing while the VM has capacity', busy: [0.3, 0.5, 0.8], atLeast: 0, atMost: 0 },
  { name: 'most connections after a second of saturation', busy: [1], atLeast: 0.55, atMost: 0.65 },
  { name: 'never all connections', busy: [1, 1, 1, 1, 1], atLeast: 0.95, atMost: 0.95 },
  { name: 'less in a slight overload', busy: [0.85], atLeast: 0.1, atMost: 0.25 },
  { name: 'the same while the VM is well used', busy: [1, 0.7, 0.7, 0.7, 0.7], atLeast: 0.55, atMost: 0.65 },
  { name: 'slightly less a second after the overload', busy: [1, 0.3], atLeast: 0.5, atMost: 0.55 },
  { name: 'nothing in the end', busy: [1, ...Array.from({ length: 15 }, () => 0.3)], atLeast: 0, atMost: 0 }
]

describe('ForwardingShare', () => {
  for (const { name, busy, atLeast, atMost } of cases) {
    it(`forwards ${name}`, () => {
      const decision = new ForwardingShare()
      decision.update({ busyRatio: 0 }, 0)
      for (let mono = TICK_MS; mono <= busy.length * MS_PER_SECOND; mono += TICK_MS) {
        decision.update({ busyRatio: busy[Math.floor((mono - 1) / MS_PER_SECOND)] ?? 0 }, mono)
      }
      expect(decision.share).to.be.within(atLeast, atMost)
    })
  }

  it('counts a measurement of a blocked event loop for half a second at most', () => {
    const decision = new ForwardingShare()
    decision.update({ busyRatio: 0 }, 0)
    decision.update({ busyRatio: 1 }, 3_000)
    expect(decision.share).to.be.within(0.35, 0.45)
  })
})

/** Processor time of a request that is served, and of one that is forwarded, in milliseconds. */
const REQUEST_MS = 8
const FORWARDED_MS = 2.1
/** Time over which the processor time of a request is spread. */
const REQUEST_SPAN_MS = 600
const WINDOW_MS = 300
const STEP_MS = 50

/** One VM in virtual time: work that arrives is done in order, at most a millisecond in each millisecond. */
class PlayedVm {
  private readonly decision = new ForwardingShare()
  private readonly arriving: number[] = []
  private readonly busyMs: number[] = []
  private backlogMs = 0
  private due = 0

  /** Plays one step; returns the share and the busy ratio of the window. */
  step (index: number, load: number): { readonly share: number, readonly busyRatio: number } {
    const requests = load * STEP_MS / REQUEST_MS
    const { share } = this.decision
    this.arrive(index, requests * (1 - share) * REQUEST_MS + requests * share * FORWARDED_MS)
    this.backlogMs += this.arriving[index] ?? 0
    const done = Math.min(STEP_MS, this.backlogMs)
    this.backlogMs -= done
    this.busyMs.push(done)
    const window = this.busyMs.slice(-WINDOW_MS / STEP_MS)
    const busyRatio = window.reduce((sum, ms) => sum + ms, 0) / (window.length * STEP_MS)
    this.due += STEP_MS
    if (this.due >= TICK_MS) {
      this.due = 0
      this.decision.update({ busyRatio }, index * STEP_MS)
    }
    return { share, busyRatio }
  }

  private arrive (index: number, ms: number): void {
    const steps = REQUEST_SPAN_MS / STEP_MS
    for (let later = 0; later < steps; later += 1) this.arriving[index + later] = (this.arriving[index + later] ?? 0) + ms / steps
  }
}

const plays: ReadonlyArray<{ readonly load: number, readonly isForwarding: boolean, readonly maxBusy: number }> = [
  { load: 0.5, isForwarding: false, maxBusy: 0.55 },
  { load: 0.75, isForwarding: false, maxBusy: 0.8 },
  { load: 1, isForwarding: true, maxBusy: 0.85 },
  { load: 1.5, isForwarding: true, maxBusy: 0.85 },
  { load: 2, isForwarding: true, maxBusy: 0.85 },
  { load: 3, isForwarding: true, maxBusy: 0.95 },
  // Forwarding alone takes more time than there is.
  { load: 4, isForwarding: true, maxBusy: 1 }
]

describe('a VM that forwards connections, in virtual time', () => {
  for (const { load, isForwarding, maxBusy } of plays) {
    it(`settles at ${load} times what it can serve`, () => {
      const vm = new PlayedVm()
      const steps = Array.from({ length: 60 * MS_PER_SECOND / STEP_MS }, (_, index) => vm.step(index, load))
      const settled = steps.slice(steps.length / 2)
      const shares = settled.map(({ share }) => share)
      expect(Math.max(...shares) - Math.min(...shares), 'range of the share').to.be.at.most(0.1)
      expect(Math.max(...settled.map(({ busyRatio }) => busyRatio)), 'busy ratio').to.be.at.most(maxBusy)
      expect(Math.max(...shares) > 0).to.equal(isForwarding)
    })
  }

  it('answers a surge within two seconds and serves all itself again after it', () => {
    const vm = new PlayedVm()
    const share = (index: number): number => vm.step(index, index < 100 ? 0.4 : index < 300 ? 2 : 0.4).share
    const shares = Array.from({ length: 1_000 }, (_, index) => share(index))
    expect([shares[99], (shares[140] ?? 0) > 0.6, shares[999]]).to.deep.equal([0, true, 0])
  })
})
