/** Ticks must come at the given interval, sooner for urgent work, and never after a stop. */
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { PacedTicks } from './pacedTicks.js'

const URGENT_MS = 20
/** Longer than any test case. */
const NEVER_MS = 60_000
/** Time within which an urgent tick occurs on a busy machine. */
const SOON_MS = 300

const cases: ReadonlyArray<{ readonly name: string, readonly after: (ticks: PacedTicks) => void, readonly count: number }> = [
  { name: 'no second tick before the interval', after: () => {}, count: 1 },
  { name: 'an early tick for urgent work', after: ticks => { ticks.expedite() }, count: 2 },
  { name: 'a single early tick for several urgent requests', after: ticks => { for (let i = 0; i < 5; i += 1) ticks.expedite() }, count: 2 },
  { name: 'no tick after a stop', after: ticks => { ticks.stop(); ticks.expedite() }, count: 1 }
]

describe('PacedTicks', () => {
  for (const { name, after, count } of cases) {
    it(`has ${name}`, async () => {
      let counted = 0
      const ticks = new PacedTicks({ clock: { now: () => ({ mono: performance.now(), wall: 0 }) }, urgentMs: URGENT_MS, paceMs: () => NEVER_MS, run: () => { counted += 1 } })
      ticks.start()
      await pause(SOON_MS)
      after(ticks)
      await pause(SOON_MS)
      ticks.stop()
      expect(counted).to.equal(count)
    })
  }
})
