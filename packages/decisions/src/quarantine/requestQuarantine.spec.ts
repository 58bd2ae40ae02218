/**
 * Updates lead to the same standing of a request in any order, from any VM and when repeated.
 */
import { expect } from 'chai'
import { quarantineNewsSchema, type QuarantineNews, type Standing, type TargetEnd } from './quarantineTypes.js'
import { RequestQuarantine, SUSPECT_MS } from './requestQuarantine.js'
import { quarantineMs } from './suspectRequest.js'

const HOUR_MS = 3_600_000

function end (target: string, startedAt?: number, at = 0): TargetEnd {
  return { target, domain: 'd', at, ...(startedAt === undefined ? {} : { startedAt }) }
}

const under = (digests: readonly string[], ...ends: readonly TargetEnd[]): QuarantineNews => ({ kind: 'ended', ends: [...ends], digests: [...digests] })
const cleared = (digest: string, ...processes: readonly string[]): QuarantineNews => ({ kind: 'cleared', digest, processes: [...processes] })
const verdict = (digest: string, ...ends: readonly TargetEnd[]): QuarantineNews => ({ kind: 'quarantined', digest, ends: [...ends], level: 1 })

interface NewsCase {
  readonly name: string
  readonly news: readonly QuarantineNews[]
  readonly standing: Standing
}

const cases: readonly NewsCase[] = [
  { name: 'no update', news: [], standing: 'clear' },
  { name: 'the end of a target during another request', news: [under(['b'], end('t1'))], standing: 'clear' },
  { name: 'one end', news: [under(['a', 'b'], end('t1'))], standing: 'suspected' },
  { name: 'the same end reported by three VMs', news: [under(['a'], end('t1')), under(['a'], end('t1')), under(['a', 'b'], end('t1'))], standing: 'suspected' },
  { name: 'two ends', news: [under(['a'], end('t1')), under(['a'], end('t2'))], standing: 'suspected' },
  { name: 'three ends', news: [under(['a'], end('t1')), under(['a'], end('t2')), under(['a'], end('t3'))], standing: 'quarantined' },
  { name: 'three ends of one target that restarted under its id', news: [under(['a'], end('t1', 1)), under(['a'], end('t1', 2)), under(['a'], end('t1', 3))], standing: 'quarantined' },
  { name: 'three ends in one report', news: [under(['a'], end('t1'), end('t2'), end('t3'))], standing: 'quarantined' },
  { name: 'a verdict from another VM', news: [verdict('a', end('t1'), end('t2'), end('t3'))], standing: 'quarantined' },
  { name: 'three ends, one of them cleared before it was reported', news: [cleared('a', 't2@'), under(['a'], end('t1')), under(['a'], end('t2')), under(['a'], end('t3'))], standing: 'suspected' },
  { name: 'three ends that were all cleared', news: [under(['a'], end('t1'), end('t2'), end('t3')), cleared('a', 't1@', 't2@', 't3@')], standing: 'clear' },
  { name: 'a verdict that arrives after its clearance', news: [cleared('a', 't1@', 't2@', 't3@'), verdict('a', end('t1'), end('t2'), end('t3'))], standing: 'clear' },
  { name: 'a fourth end after a clearance', news: [under(['a'], end('t1'), end('t2'), end('t3')), cleared('a', 't1@', 't2@', 't3@'), under(['a'], end('t4'))], standing: 'suspected' }
]

describe('RequestQuarantine', () => {
  for (const { name, news, standing } of cases) {
    it(`${name}: ${standing}, in any order and when repeated`, () => {
      for (const order of [news, [...news].reverse(), [...news, ...news]]) {
        const requests = new RequestQuarantine()
        for (const item of order) requests.take(item, 0)
        expect(requests.standing('a', 1)).to.equal(standing)
      }
    })
  }

  it('returns each verdict once', () => {
    const requests = new RequestQuarantine()
    const told = ['t1', 't2', 't3', 't4'].map(target => requests.take(under(['a'], end(target)), 0).length)
    expect(told).to.deep.equal([0, 0, 1, 0])
  })

  it('clears a request that was answered, and publishes the clearance only when more than one end was reported', () => {
    const requests = new RequestQuarantine()
    requests.take(under(['a', 'b'], end('t1')), 0)
    requests.take(under(['a'], end('t2')), 0)
    expect(requests.answered('b', 1)).to.equal(undefined)
    expect(requests.answered('a', 1)).to.deep.equal({ kind: 'cleared', digest: 'a', processes: ['t1@', 't2@'] })
    expect([requests.standing('a', 1), requests.standing('b', 1)]).to.deep.equal(['clear', 'clear'])
    expect(requests.answered('a', 2)).to.equal(undefined)
  })

  it('returns the failure domains of the ends that count', () => {
    const requests = new RequestQuarantine()
    requests.take(under(['a'], { ...end('t1'), domain: 'x' }, { ...end('t2'), domain: 'y' }), 0)
    requests.take(cleared('a', 't1@'), 0)
    expect([requests.domainsOf('a'), requests.domainsOf('b')]).to.deep.equal([['y'], []])
  })

  const ages: ReadonlyArray<{ readonly name: string, readonly news: QuarantineNews, readonly afterMs: number, readonly standing: Standing }> = [
    { name: 'a suspicion while callers may retry', news: under(['a'], end('t1')), afterMs: SUSPECT_MS, standing: 'suspected' },
    { name: 'a suspicion after its expiry', news: under(['a'], end('t1')), afterMs: SUSPECT_MS + 1_001, standing: 'clear' },
    { name: 'a quarantine shortly before its expiry', news: under(['a'], end('t1'), end('t2'), end('t3')), afterMs: HOUR_MS - 1, standing: 'quarantined' },
    { name: 'a quarantine after its expiry, which one more end starts again', news: under(['a'], end('t1'), end('t2'), end('t3')), afterMs: HOUR_MS, standing: 'suspected' }
  ]
  for (const { name, news, afterMs, standing } of ages) {
    it(`${name}: ${standing}`, () => {
      const requests = new RequestQuarantine()
      requests.take(news, 0)
      requests.tick(afterMs)
      expect(requests.standing('a', afterMs)).to.equal(standing)
    })
  }

  it('doubles the duration of each further quarantine, up to a bound', () => {
    const requests = new RequestQuarantine()
    let now = 0
    const lasted = [1, 2, 3].map(round => {
      requests.take(under(['a'], end(`r${round}`), ...(round === 1 ? [end('t1'), end('t2')] : [])), now)
      const [view] = requests.list(now)
      now += view?.leftMs ?? 0
      requests.tick(now)
      return view?.leftMs
    })
    expect(lasted).to.deep.equal([HOUR_MS, 2 * HOUR_MS, 4 * HOUR_MS])
    expect(quarantineMs(100)).to.equal(32 * HOUR_MS)
  })

  it('counts from zero after an operator lifted a quarantine', () => {
    const requests = new RequestQuarantine()
    requests.take(under(['a'], end('t1'), end('t2'), end('t3')), 0)
    expect(requests.lift('a', 1)?.processes).to.have.length(3)
    requests.take(under(['a'], end('t4'), end('t5')), 2)
    expect([requests.standing('a', 3), requests.lift('b', 3)]).to.deep.equal(['suspected', undefined])
  })

  it('publishes a valid clearance for a request with more ends than a row may have, whatever the order of the reports', () => {
    const many = Array.from({ length: 70 }, (_, index) => under(['a'], end(`t${index}`, undefined, index)))
    for (const order of [many, [...many].reverse()]) {
      const requests = new RequestQuarantine()
      const other = new RequestQuarantine()
      for (const item of order) requests.take(item, 0)
      for (const item of many) other.take(item, 0)
      const clearance = quarantineNewsSchema.parse(requests.lift('a', 1))
      other.take(clearance, 1)
      expect([requests.standing('a', 2), other.standing('a', 2)]).to.deep.equal(['clear', 'clear'])
    }
  })

  it('removes the oldest suspicion when there are too many, but never a quarantine', () => {
    const requests = new RequestQuarantine()
    requests.take(under(['q'], end('t1'), end('t2'), end('t3')), 0)
    for (let index = 0; index < 20_000; index += 1) requests.take(under([`s${index}`], end('t1')), 1)
    expect([requests.standing('q', 2), requests.standing('s0', 2), requests.standing('s19999', 2)]).to.deep.equal(['quarantined', 'clear', 'suspected'])
  })
})
