/** Guards against wrong slopes, errors and extrapolations of the capacity bench, and against a wrong planned load per VM. */
import { expect } from 'chai'
import { fitLine, fitRows, roundSignificant } from './capacityFit.js'
import { plannedVmLoad, plannedScale } from './plannedScale.js'

const points = (...pairs: ReadonlyArray<readonly [size: number, value: number]>): ReadonlyArray<{ size: number, value: number }> =>
  pairs.map(([size, value]) => ({ size, value }))

describe('fitLine', () => {
  const cases = [
    { name: 'a line through the origin', points: points([1, 3], [2, 6], [4, 12]), at: 10, want: { intercept: 0, slope: 3, errorPct: 0, projected: 30 } },
    { name: 'a line with an intercept', points: points([0, 5], [10, 25], [20, 45]), at: 100, want: { intercept: 5, slope: 2, errorPct: 0, projected: 205 } },
    { name: 'a constant', points: points([6, 7], [60, 7], [360, 7]), at: 360, want: { intercept: 7, slope: 0, errorPct: 0, projected: 7 } },
    { name: 'one value off the line', points: points([0, 0], [1, 4], [2, 2]), at: 3, want: { intercept: 1, slope: 1, errorPct: 50, projected: 4 } },
    { name: 'nothing but zeros', points: points([1, 0], [2, 0], [3, 0]), at: 9, want: { intercept: 0, slope: 0, errorPct: 0, projected: 0 } },
    { name: 'a falling line', points: points([0, 10], [5, 5], [10, 0]), at: 20, want: { intercept: 10, slope: -1, errorPct: 0, projected: -10 } },
    { name: 'the same size measured twice', points: points([0, 0], [1, 1], [1, 3], [2, 4]), at: 4, want: { intercept: 0, slope: 2, errorPct: 25, projected: 8 } }
  ]
  for (const { name, points: measured, at, want } of cases) {
    it(`fits ${name}`, () => {
      const fit = fitLine(measured, at)
      for (const field of ['intercept', 'slope', 'errorPct', 'projected'] as const) expect(fit[field], field).to.be.closeTo(want[field], 1e-9)
    })
  }

  it('rejects fewer than three distinct sizes', () => {
    expect(() => fitLine(points([1, 1], [2, 2]), 9)).to.throw('3 sizes')
    expect(() => fitLine(points([1, 1], [1, 2], [2, 2]), 9)).to.throw('3 sizes')
  })
})

describe('fitRows', () => {
  it('groups points into one row for each role, driver and quantity', () => {
    const base = { role: 'entry VM', driver: 'VMs', unit: 'bytes', at: 360 }
    const rows = fitRows([1, 2, 3].flatMap(size => [
      { ...base, quantity: 'heap', size, value: 10 * size },
      { ...base, quantity: 'rows', size, value: 7 }
    ]))
    expect(rows).to.deep.equal([
      { role: 'entry VM', driver: 'VMs', quantity: 'heap', unit: 'bytes', sizes: '1 2 3', values: '10 20 30', intercept: 0, slope: 10, error_pct: 0, target_size: 360, at_target: 3600 },
      { role: 'entry VM', driver: 'VMs', quantity: 'rows', unit: 'bytes', sizes: '1 2 3', values: '7 7 7', intercept: 7, slope: 0, error_pct: 0, target_size: 360, at_target: 7 }
    ])
  })

  it('rounds to four significant digits', () => {
    const cases: ReadonlyArray<readonly [number, number]> = [[123_456, 123_500], [0.0123456, 0.01235], [0, 0], [-1.23456, -1.235]]
    for (const [value, want] of cases) expect(roundSignificant(value)).to.equal(want)
  })
})

describe('planned scale', () => {
  const cases = [
    { name: 'requests/s of one VM', value: plannedVmLoad.requestsPerSecond, want: 10.28 },
    { name: 'tokens/s of one VM', value: plannedVmLoad.tokensPerSecond, want: 2306 },
    { name: 'streams open at one VM', value: plannedVmLoad.openStreams, want: 179.8 },
    { name: 'changes/s', value: plannedVmLoad.changesPerSecond, want: 0.01968 },
    { name: 'runners for each model', value: plannedScale.runners / plannedScale.models, want: 22.22 }
  ]
  for (const { name, value, want } of cases) {
    it(`implies the expected ${name}`, () => { expect(roundSignificant(value)).to.equal(want) })
  }
})
