/**
 * Demand rates over a full window and over a shorter history.
 */
import { expect } from 'chai'
import { DemandRate } from './demandRate.js'

const WINDOW_MS = 3_000
const MIN_HISTORY_MS = 500

/** 10 tokens per millisecond for `ms`, in steps of 10 ms. */
function steady (ms: number, extrapolates: boolean): DemandRate {
  const rate = new DemandRate(WINDOW_MS, extrapolates)
  for (let mono = 0; mono <= ms; mono += 10) rate.add(100, mono)
  return rate
}

describe('DemandRate', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly ms: number, readonly extrapolates: boolean, readonly least: number, readonly most: number }> = [
    { name: 'starts from zero', ms: 1_500, extrapolates: false, least: 3.5, most: 4.5 },
    { name: 'converges to the demand after several windows', ms: 12_000, extrapolates: false, least: 9.5, most: 10.5 },
    { name: 'extrapolates a short history to the whole window', ms: 1_500, extrapolates: true, least: 9.5, most: 10.5 },
    { name: 'does not extrapolate a first request to a rate', ms: 0, extrapolates: true, least: 0.1, most: 0.2 }
  ]
  for (const { name, ms, extrapolates, least, most } of cases) {
    it(name, () => { expect(steady(ms, extrapolates).perMs(ms)).to.be.within(least, most) })
  }

  it('extrapolates a history far shorter than a long window, but no first request', () => {
    const rate = new DemandRate(10 * WINDOW_MS, true, MIN_HISTORY_MS)
    rate.add(100, 0)
    const first = rate.perMs(0)
    for (let mono = 10; mono <= 2 * MIN_HISTORY_MS; mono += 10) rate.add(100, mono)
    expect([first, rate.perMs(2 * MIN_HISTORY_MS)].map(value => Math.round(value * 10) / 10)).to.deep.equal([0.2, 10.1])
  })

  it('is zero without demand', () => {
    expect(new DemandRate(WINDOW_MS, true).perMs(1_000)).to.equal(0)
  })
})
