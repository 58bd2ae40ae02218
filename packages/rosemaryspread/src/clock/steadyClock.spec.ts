/**
 * Guards against a resumed VM that counts no time for its suspension: it would spend tokens whose allotment has expired by the
 * clocks of the other VMs, so they would be spent twice. The monotonic clock stops during a suspension, and the system uptime
 * that Node reads is not reliable in containers; the time of day is the only local source that includes the suspension.
 */
import { expect } from 'chai'
import { elapsedMs } from '@rosemaryspread/decisions/clock/clockTypes.js'
import { SteadyClock } from './steadyClock.js'

interface ClockCase {
  readonly name: string
  /** Milliseconds by which the local clocks advance between two readings. */
  readonly mono: number
  readonly wall: number
  /** Elapsed milliseconds that must count towards expiry. */
  readonly expectedMs: number
}

const cases: readonly ClockCase[] = [
  { name: 'a running VM', mono: 1_000, wall: 1_000, expectedMs: 1_000 },
  { name: 'a VM that was suspended for 90 s', mono: 5, wall: 90_005, expectedMs: 90_005 },
  { name: 'a time of day that was set back', mono: 1_000, wall: -60_000, expectedMs: 1_000 },
  { name: 'a time of day that drifts', mono: 10_000, wall: 10_004, expectedMs: 10_000 }
]

/** A reading of a remote clock after the local clocks advanced. */
interface RemoteClockCase extends ClockCase {
  /** Milliseconds by which the remote clock advances, and the duration of the request. */
  readonly remoteMs: number
  readonly requestMs: number
}

const remoteClockCases: readonly RemoteClockCase[] = [
  { name: 'a suspension that the remote clock confirms', mono: 5, wall: 90_005, remoteMs: 90_010, requestMs: 5, expectedMs: 90_010 },
  { name: 'a time of day that was set ahead', mono: 1_000, wall: 91_000, remoteMs: 1_005, requestMs: 5, expectedMs: 1_005 },
  { name: 'a suspension of 5 s with a time of day that was set ahead by 60 s', mono: 0, wall: 65_000, remoteMs: 5_000, requestMs: 0, expectedMs: 5_000 },
  { name: 'a response too slow to decide', mono: 0, wall: 300, remoteMs: 400, requestMs: 400, expectedMs: 700 }
]

describe('SteadyClock', () => {
  const { now: realMono } = performance
  const { now: realWall } = Date
  afterEach(() => {
    performance.now = realMono
    Date.now = realWall
  })

  for (const { name, mono, wall, remoteMs, requestMs, expectedMs } of remoteClockCases) {
    it(`decides by a remote clock: ${name}`, () => {
      performance.now = () => 10_000
      Date.now = () => 1_700_000_000_000
      const suspensions: number[] = []
      const clock = new SteadyClock(milliseconds => { suspensions.push(milliseconds) })
      clock.observeRemote(500_000, clock.now().mono)
      const before = clock.now()
      performance.now = () => 10_000 + mono
      Date.now = () => 1_700_000_000_000 + wall
      const requestedAt = clock.now().mono + 0.001
      performance.now = () => 10_000 + mono + requestMs
      Date.now = () => 1_700_000_000_000 + wall + requestMs
      clock.observeRemote(500_000 + remoteMs, requestedAt)
      const after = clock.now()
      expect(elapsedMs(before, after), 'elapsed time').to.be.closeTo(expectedMs, 1)
      const isConfirmed = suspensions.length > 0
      expect(after.mono - before.mono, 'monotonic clock').to.be.closeTo(isConfirmed ? expectedMs : mono + requestMs, 1)
    })
  }

  for (const { name, mono, wall, expectedMs } of cases) {
    it(`counts the elapsed time of ${name}`, () => {
      performance.now = () => 10_000
      Date.now = () => 1_700_000_000_000
      const clock = new SteadyClock()
      const before = clock.now()
      performance.now = () => 10_000 + mono
      Date.now = () => 1_700_000_000_000 + wall
      expect(elapsedMs(before, clock.now())).to.be.closeTo(expectedMs, 1)
    })
  }
})
