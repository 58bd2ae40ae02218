/**
 * Bounds on unreported use: a holder may never use more than recovery would bill.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import type { Instant } from '../clock/clockTypes.js'
import { allowanceOf, allowedNow, maxUnreportedSpend, maxUnreportedTokens, ReportBounds } from './reportBound.js'
import type { AllotmentRow } from './budgetTypes.js'

const at = (mono: number): Instant => ({ mono, wall: mono })
const row = (over: Partial<AllotmentRow> = {}): AllotmentRow =>
  ({ budget: 'b', holder: 'v~1', domain: 'd', held: 1_000, settled: 0, state: 'open', ...over })

describe('maxUnreportedSpend', () => {
  const report = { tokens: 100, perMs: 0.5, since: 5_000 }
  const cases: ReadonlyArray<{ readonly name: string, readonly row: AllotmentRow, readonly now: number, readonly spent: number }> = [
    { name: 'the whole allotment without a report', row: row(), now: 5_000, spent: 1_000 },
    { name: 'the allowance of the report', row: row({ report }), now: 5_000, spent: 100 },
    { name: 'no more while a report or a successor may still come', row: row({ report }), now: 6_500, spent: 100 },
    { name: 'more as time passes', row: row({ report }), now: 6_900, spent: 300 },
    { name: 'never more than the allotment', row: row({ report }), now: 50_000, spent: 1_000 },
    { name: 'no less if the table clock appears to go back', row: row({ report }), now: 4_000, spent: 100 }
  ]
  for (const { name, row, now, spent } of cases) {
    it(name, () => { expect(maxUnreportedSpend(row, now)).to.equal(spent) })
  }
})

describe('allowanceOf', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly allowance: ReturnType<typeof allowanceOf>, readonly tokens: number, readonly perMs: number }> = [
    { name: 'a tenth of the allotment beyond the tokens in use', allowance: allowanceOf({ inUse: 500, held: 100_000, largestPeerRequest: 9_000, maxUnreported: Infinity, unmetPeerTokens: 0, demandPerMs: 0, fairShare: 20_000 }), tokens: 10_500, perMs: 4 },
    { name: 'nothing beyond the tokens in use without an allotment', allowance: allowanceOf({ inUse: 500, held: 0, largestPeerRequest: 9_000, maxUnreported: Infinity, unmetPeerTokens: 0, demandPerMs: 0, fairShare: 20_000 }), tokens: 500, perMs: 0 },
    { name: 'the largest request if that is more than a tenth', allowance: allowanceOf({ inUse: 500, held: 50_000, largestPeerRequest: 9_000, maxUnreported: Infinity, unmetPeerTokens: 0, demandPerMs: 0, fairShare: 20_000 }), tokens: 9_500, perMs: 4 },
    { name: 'no more than its share of the paid amount', allowance: allowanceOf({ inUse: 500, held: 100_000, largestPeerRequest: 9_000, maxUnreported: 3_000, unmetPeerTokens: 0, demandPerMs: 0, fairShare: 20_000 }), tokens: 3_500, perMs: 4 },
    { name: 'an unmet grant request, regardless of its share', allowance: allowanceOf({ inUse: 500, held: 100_000, largestPeerRequest: 9_000, maxUnreported: 3_000, unmetPeerTokens: 8_000, demandPerMs: 0, fairShare: 20_000 }), tokens: 8_500, perMs: 4 },
    { name: 'no more than the allotment', allowance: allowanceOf({ inUse: 0, held: 5_000, largestPeerRequest: 9_000, maxUnreported: Infinity, unmetPeerTokens: 0, demandPerMs: 0, fairShare: 20_000 }), tokens: 5_000, perMs: 1 },
    { name: 'growth with the demand', allowance: allowanceOf({ inUse: 0, held: 100_000, largestPeerRequest: 0, maxUnreported: Infinity, unmetPeerTokens: 0, demandPerMs: 7, fairShare: 20_000 }), tokens: 10_000, perMs: 7 },
    { name: 'growth of at most a fifth of the allotment per second', allowance: allowanceOf({ inUse: 0, held: 10_000, largestPeerRequest: 0, maxUnreported: Infinity, unmetPeerTokens: 0, demandPerMs: 7, fairShare: 20_000 }), tokens: 1_000, perMs: 2 }
  ]
  for (const { name, allowance, tokens, perMs } of cases) {
    it(name, () => { expect(allowance).to.deep.equal({ tokens, perMs }) })
  }
})

describe('maxUnreportedTokens', () => {
  it('is an equal share of three percent of the paid amount', () => {
    expect(maxUnreportedTokens({ paid: 1_000_000, holders: 4 })).to.equal(7_500)
  })

  it('is unlimited before the first draw reports the paid amount', () => {
    expect(maxUnreportedTokens(undefined)).to.equal(Infinity)
  })
})

describe('ReportBounds', () => {
  it('has no capacity before the first report', () => {
    expect(new ReportBounds().capacity(0, 0, at(0))).to.equal(0)
  })

  it('applies both bounds while the outcome of a report is unknown', () => {
    const bounds = new ReportBounds()
    bounds.begin({ tokens: 1_000, perMs: 0, at: at(0) })
    bounds.send({ tokens: 300, perMs: 0, at: at(100) })
    const open = bounds.capacity(500, 400, at(100))
    bounds.written()
    const written = bounds.capacity(100, 0, at(100))
    expect([open, written]).to.deep.equal([200, 200])
  })

  it('reverts to the confirmed bound when a report was certainly not written', () => {
    const bounds = new ReportBounds()
    bounds.begin({ tokens: 1_000, perMs: 0, at: at(0) })
    bounds.send({ tokens: 300, perMs: 0, at: at(100) })
    bounds.dropped()
    expect(bounds.capacity(500, 0, at(100))).to.equal(500)
  })

  it('predicts when there will be capacity', () => {
    fc.assert(fc.property(fc.nat(5_000), fc.double({ min: 0.1, max: 5, noNaN: true }), fc.nat(3_000), fc.nat(3_000), fc.nat(5_000), (tokens, perMs, now, inUse, needed) => {
      const bounds = new ReportBounds()
      bounds.begin({ tokens, perMs, at: at(0) })
      const wait = bounds.untilCapacityMs(needed, inUse, 0, at(now))
      const capacityThen = bounds.capacity(inUse, 0, at(now + wait + 0.01))
      return capacityThen >= needed && (wait === 0 || bounds.capacity(inUse, 0, at(now + wait - 1)) < needed)
    }), { seed: 12 })
  })

  it('never allows a holder to use more than recovery bills, whichever report was written', () => {
    const allowance = fc.record({ tokens: fc.integer({ min: 0, max: 5_000 }), perMs: fc.double({ min: 0, max: 5, noNaN: true }) })
    fc.assert(fc.property(allowance, allowance, fc.nat(2_000), fc.nat(2_000), fc.nat(3_000), fc.boolean(), (first, second, sentAfter, endsAfter, billed, isWritten) => {
      const bounds = new ReportBounds()
      bounds.begin({ ...first, at: at(0) })
      bounds.send({ ...second, at: at(sentAfter) })
      const end = sentAfter + endsAfter
      const inUse = billed + Math.max(0, Math.floor(bounds.capacity(billed, billed, at(end))))
      const storedReport = isWritten ? { ...second, since: sentAfter } : { ...first, since: 0 }
      const unbilled = isWritten ? inUse - billed : inUse
      const allowed = allowedNow({ ...first, at: at(0) }, at(end)) >= billed
      const held = 1_000_000
      return !allowed || unbilled <= maxUnreportedSpend(row({ held, report: storedReport }), end)
    }), { seed: 11 })
  })
})
