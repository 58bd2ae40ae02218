/**
 * Lag of a {@link LaggingValue}, and rate limit of the {@link TokenBucket}.
 */
import { expect } from 'chai'
import { TokenBucket } from '../weights/tokenBucket.js'
import { LaggingValue } from './laggingValue.js'

describe('LaggingValue', () => {
  const cases: readonly { now: number, asOf: number, value: string }[] = [
    { now: 50, asOf: 0, value: 'first' },
    { now: 199, asOf: 99, value: 'first' },
    { now: 200, asOf: 100, value: 'second' },
    { now: 250, asOf: 150, value: 'third' },
    { now: 900, asOf: 800, value: 'third' }
  ]
  for (const { now, asOf, value } of cases) {
    it(`at ${now} ms readers see the ${value} value, as of ${asOf} ms`, () => {
      const lagging = new LaggingValue('first', 0, 100)
      lagging.set('second', 100)
      lagging.set('third', 150)
      expect(lagging.valueAt(now)).to.deep.equal({ asOf, value })
    })
  }
})

describe('TokenBucket', () => {
  it('allows a burst, then the steady rate', () => {
    const bucket = new TokenBucket(60, 2)
    expect([0, 0, 0, 500, 1000, 1000].map(now => bucket.tryAcquire(now))).to.deep.equal([0, 0, 1000, 500, 0, 1000])
  })
})
