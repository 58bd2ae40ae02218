/**
 * When the watch of the front writes a line, and what stands in it.
 */
import { expect } from 'chai'
import { MetricsRecorder } from '../metrics/metricsRecorder.js'
import { FrontWatch } from './frontWatch.js'

const TICK_MS = 50

interface Second {
  readonly name: string
  readonly taken?: number
  readonly dropped?: number
  readonly turns: number
  /** Milliseconds by which one tick comes late. */
  readonly lateMs?: number
  readonly busyMs?: number
  readonly lines: number
}

const cases: readonly Second[] = [
  { name: 'nothing where connections are few beside turns', taken: 100, turns: 900, lines: 0 },
  { name: 'a line where there was a connection in every other turn', taken: 100, turns: 200, lines: 1 },
  { name: 'nothing of a few connections in a few turns', taken: 19, turns: 19, lines: 0 },
  { name: 'a line where connections were closed at once', dropped: 1, turns: 900, lines: 1 },
  { name: 'a line where the event loop was held up', turns: 900, lateMs: 600, lines: 1 },
  { name: 'nothing of a tick that came a little late', turns: 900, lateMs: 300, lines: 0 }
]

class Watched {
  readonly lines: Array<Readonly<Record<string, unknown>>> = []
  readonly metrics = new MetricsRecorder()
  mono = 0
  turns = 0
  busyMs = 0
  readonly watch = new FrontWatch({
    clock: { now: () => ({ mono: this.mono, wall: 0 }) },
    log: { write: (event, fields) => { this.lines.push({ event, ...fields }) } },
    metrics: this.metrics,
    isReady: () => true,
    turns: () => this.turns,
    busyMs: () => this.busyMs
  })

  second ({ taken = 0, dropped = 0, turns, lateMs = 0, busyMs = 100 }: Omit<Second, 'name' | 'lines'>): void {
    for (let i = 0; i < taken; i += 1) this.watch.taken()(i % 2 === 0)
    for (let i = 0; i < dropped; i += 1) this.watch.dropped()
    this.turns += turns
    this.busyMs += busyMs
    this.mono += lateMs
    for (const end = this.mono + 1_000; this.mono < end;) {
      this.mono += TICK_MS
      this.watch.tick()
    }
  }
}

describe('FrontWatch', () => {
  for (const { name, lines, ...second } of cases) {
    it(`writes ${name}`, () => {
      const watched = new Watched()
      watched.second(second)
      expect(watched.lines).to.have.length(lines)
    })
  }

  it('counts each span anew', () => {
    const watched = new Watched()
    watched.second({ taken: 40, turns: 40 })
    watched.second({ turns: 800 })
    watched.second({ taken: 60, turns: 100 })
    expect(watched.lines.map(({ taken, unused, turns, open }) => [taken, unused, turns, open])).to.deep.equal([[40, 20, 40, 0], [60, 30, 100, 0]])
  })

  const calm = { turns: 900 }
  const pressures: ReadonlyArray<{ readonly name: string, readonly seconds: ReadonlyArray<Omit<Second, 'name' | 'lines'>>, readonly isPressed: boolean }> = [
    { name: 'room at the start', seconds: [], isPressed: false },
    { name: 'pressure of many connections', seconds: [{ taken: 100, turns: 200 }], isPressed: true },
    { name: 'pressure of connections closed at once', seconds: [{ dropped: 1, turns: 900 }], isPressed: true },
    { name: 'pressure of a loop that was held up', seconds: [{ turns: 900, lateMs: 600 }], isPressed: true },
    { name: 'pressure of a loop without a pause', seconds: [{ turns: 900, busyMs: 990 }], isPressed: true },
    { name: 'room beside a busy loop with pauses', seconds: [{ turns: 900, busyMs: 800 }], isPressed: false },
    { name: 'pressure two calm seconds later', seconds: [{ dropped: 1, turns: 900 }, calm, calm], isPressed: true },
    { name: 'room three calm seconds later', seconds: [{ dropped: 1, turns: 900 }, calm, calm, calm], isPressed: false }
  ]
  for (const { name, seconds, isPressed } of pressures) {
    it(`tells ${name}`, () => {
      const watched = new Watched()
      for (const second of seconds) watched.second(second)
      expect(watched.watch.isPressed).to.equal(isPressed)
    })
  }

  it('shows open connections while they are open', () => {
    const watched = new Watched()
    const closed = watched.watch.taken()
    watched.watch.taken()
    expect(watched.metrics.render()).to.contain('front_connections_open 2')
    closed(true)
    expect(watched.metrics.render()).to.contain('front_connections_open 1')
  })
})
