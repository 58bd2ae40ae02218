/** When the ingress monitor logs overload and advertises it, and which counters it reports. */
import { expect } from 'chai'
import { MetricsRecorder } from '../metrics/metricsRecorder.js'
import { IngressMonitor } from './ingressMonitor.js'

const TICK_MS = 50

interface SecondOfLoad {
  readonly name: string
  readonly taken?: number
  readonly dropped?: number
  readonly turns: number
  /** Delay of one tick. */
  readonly lateMs?: number
  readonly busyMs?: number
  readonly lines: number
}

const cases: readonly SecondOfLoad[] = [
  { name: 'nothing for few connections per turn', taken: 100, turns: 900, lines: 0 },
  { name: 'a line for a connection in every other turn', taken: 100, turns: 200, lines: 1 },
  { name: 'nothing below the minimum number of connections', taken: 19, turns: 19, lines: 0 },
  { name: 'a line for connections closed at the limit', dropped: 1, turns: 900, lines: 1 },
  { name: 'a line for a blocked event loop', turns: 900, lateMs: 600, lines: 1 },
  { name: 'nothing for a slightly late tick', turns: 900, lateMs: 300, lines: 0 }
]

class MonitorHarness {
  readonly lines: Array<Readonly<Record<string, unknown>>> = []
  readonly metrics = new MetricsRecorder()
  mono = 0
  turns = 0
  busyMs = 0
  readonly monitor = new IngressMonitor({
    clock: { now: () => ({ mono: this.mono, wall: 0 }) },
    log: { write: (event, fields) => { this.lines.push({ event, ...fields }) } },
    metrics: this.metrics,
    isReady: () => true,
    turns: () => this.turns,
    busyMs: () => this.busyMs
  })

  /** A second whose busy time is spread evenly over its ticks. */
  evenSecond ({ turns, busyMs = 100 }: Omit<SecondOfLoad, 'name' | 'lines'>): void {
    for (const end = this.mono + 1_000; this.mono < end;) {
      this.mono += TICK_MS
      this.turns += turns * TICK_MS / 1_000
      this.busyMs += busyMs * TICK_MS / 1_000
      this.monitor.tick()
    }
  }

  second ({ taken = 0, dropped = 0, turns, lateMs = 0, busyMs = 100 }: Omit<SecondOfLoad, 'name' | 'lines'>): void {
    for (let i = 0; i < taken; i += 1) this.monitor.taken()(i % 2 === 0)
    for (let i = 0; i < dropped; i += 1) this.monitor.dropped()
    this.turns += turns
    this.busyMs += busyMs
    this.mono += lateMs
    for (const end = this.mono + 1_000; this.mono < end;) {
      this.mono += TICK_MS
      this.monitor.tick()
    }
  }
}

describe('IngressMonitor', () => {
  for (const { name, lines, ...second } of cases) {
    it(`writes ${name}`, () => {
      const harness = new MonitorHarness()
      harness.second(second)
      expect(harness.lines).to.have.length(lines)
    })
  }

  it('resets the counters for each window', () => {
    const harness = new MonitorHarness()
    harness.second({ taken: 40, turns: 40 })
    harness.second({ turns: 800 })
    harness.second({ taken: 60, turns: 100 })
    expect(harness.lines.map(({ taken, unused, turns, open }) => [taken, unused, turns, open])).to.deep.equal([[40, 20, 40, 0], [60, 30, 100, 0]])
  })

  const stable = { turns: 900 }
  const overloadCases: ReadonlyArray<{ readonly name: string, readonly seconds: ReadonlyArray<Omit<SecondOfLoad, 'name' | 'lines'>>, readonly isPressed: boolean }> = [
    { name: 'capacity at the start', seconds: [], isPressed: false },
    { name: 'overload for many connections', seconds: [{ taken: 100, turns: 200 }], isPressed: true },
    { name: 'overload for connections closed at the limit', seconds: [{ dropped: 1, turns: 900 }], isPressed: true },
    { name: 'overload for a blocked event loop', seconds: [{ turns: 900, lateMs: 600 }], isPressed: true },
    { name: 'overload for a saturated event loop', seconds: [{ turns: 900, busyMs: 990 }], isPressed: true },
    { name: 'capacity for a busy event loop below saturation', seconds: [{ turns: 900, busyMs: 800 }], isPressed: false },
    { name: 'overload two stable seconds later', seconds: [{ dropped: 1, turns: 900 }, stable, stable], isPressed: true },
    { name: 'capacity three stable seconds later', seconds: [{ dropped: 1, turns: 900 }, stable, stable, stable], isPressed: false }
  ]
  for (const { name, seconds, isPressed } of overloadCases) {
    it(`advertises ${name}`, () => {
      const harness = new MonitorHarness()
      for (const second of seconds) harness.second(second)
      expect(harness.monitor.isPressed).to.equal(isPressed)
    })
  }

  const ratioCases: ReadonlyArray<{ readonly name: string, readonly seconds: ReadonlyArray<Omit<SecondOfLoad, 'name' | 'lines'>>, readonly busyRatio: number }> = [
    { name: '0 at the start', seconds: [], busyRatio: 0 },
    { name: 'the one of a steady load', seconds: [{ turns: 900, busyMs: 400 }], busyRatio: 0.4 },
    { name: 'the one of the latest ticks only', seconds: [{ turns: 900, busyMs: 1_000 }, { turns: 900, busyMs: 200 }], busyRatio: 0.2 }
  ]
  for (const { name, seconds, busyRatio } of ratioCases) {
    it(`measures a busy ratio: ${name}`, () => {
      const harness = new MonitorHarness()
      for (const second of seconds) harness.evenSecond(second)
      expect(harness.monitor.busyRatio).to.be.closeTo(busyRatio, 0.001)
    })
  }

  it('measures a busy ratio of 1 at most, over the whole time of a blocked event loop', () => {
    const harness = new MonitorHarness()
    harness.evenSecond({ turns: 900, busyMs: 300 })
    harness.busyMs += 2_100
    harness.mono += 2_000
    harness.monitor.tick()
    expect(harness.monitor.busyRatio).to.equal(1)
  })

  it('counts the connection over which one of a caller is forwarded as open', () => {
    const harness = new MonitorHarness()
    const closed = harness.monitor.taken()
    const peerClosed = harness.monitor.joined()
    const open = [harness.monitor.openConnections]
    peerClosed()
    closed(true)
    open.push(harness.monitor.openConnections)
    expect(open).to.deep.equal([2, 0])
  })

  it('decrements the gauge of open connections when one closes', () => {
    const harness = new MonitorHarness()
    const closed = harness.monitor.taken()
    harness.monitor.taken()
    expect(harness.metrics.render()).to.contain('front_connections_open 2')
    closed(true)
    expect(harness.metrics.render()).to.contain('front_connections_open 1')
  })
})
