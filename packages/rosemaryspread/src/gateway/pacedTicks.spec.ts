/**
 * When ticks come: at the pace asked for, sooner when something urgent begins, and not at all once stopped.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { PacedTicks } from './pacedTicks.js'

const URGENT_MS = 20
/** Longer than any case lasts. */
const NEVER_MS = 60_000
/** Milliseconds in which an urgent tick has come on a busy machine. */
const SOON_MS = 300

const cases: ReadonlyArray<{ readonly name: string, readonly after: (ticks: PacedTicks) => void, readonly count: number }> = [
  { name: 'the first at once, the next at the pace', after: () => {}, count: 1 },
  { name: 'one sooner for something urgent', after: ticks => { ticks.hurry() }, count: 2 },
  { name: 'one for many urgent things at a time', after: ticks => { for (let i = 0; i < 5; i += 1) ticks.hurry() }, count: 2 },
  { name: 'none once they are stopped', after: ticks => { ticks.stop(); ticks.hurry() }, count: 1 }
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
