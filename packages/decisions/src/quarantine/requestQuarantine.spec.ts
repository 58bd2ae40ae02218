/**
 * Updates lead to the same standing of a request in any order, from any VM and when repeated.
 */
import { expect } from 'chai'
import { quarantineUpdateSchema, type QuarantineUpdate, type RequestStanding, type TargetEnd } from './quarantineTypes.js'
import { RequestQuarantine, SUSPICION_MS } from './requestQuarantine.js'
import { quarantineMs } from './suspectRequest.js'

const HOUR_MS = 3_600_000

function end (target: string, startedAt?: number, at = 0): TargetEnd {
  return { target, domain: 'd', at, ...(startedAt === undefined ? {} : { startedAt }) }
}

const endReport = (digests: readonly string[], ...ends: readonly TargetEnd[]): QuarantineUpdate => ({ kind: 'ended', ends: [...ends], digests: [...digests] })
const cleared = (digest: string, ...processes: readonly string[]): QuarantineUpdate => ({ kind: 'cleared', digest, processes: [...processes] })
const verdict = (digest: string, ...ends: readonly TargetEnd[]): QuarantineUpdate => ({ kind: 'quarantined', digest, ends: [...ends], level: 1 })

interface UpdateCase {
  readonly name: string
  readonly news: readonly QuarantineUpdate[]
  readonly standing: RequestStanding
}

const cases: readonly UpdateCase[] = [
  { name: 'no update', news: [], standing: 'clear' },
  { name: 'the end of a target during another request', news: [endReport(['b'], end('t1'))], standing: 'clear' },
  { name: 'one end', news: [endReport(['a', 'b'], end('t1'))], standing: 'suspected' },
  { name: 'the same end reported by three VMs', news: [endReport(['a'], end('t1')), endReport(['a'], end('t1')), endReport(['a', 'b'], end('t1'))], standing: 'suspected' },
  { name: 'two ends', news: [endReport(['a'], end('t1')), endReport(['a'], end('t2'))], standing: 'suspected' },
  { name: 'three ends', news: [endReport(['a'], end('t1')), endReport(['a'], end('t2')), endReport(['a'], end('t3'))], standing: 'quarantined' },
  { name: 'three ends of one target that restarted under its id', news: [endReport(['a'], end('t1', 1)), endReport(['a'], end('t1', 2)), endReport(['a'], end('t1', 3))], standing: 'quarantined' },
  { name: 'three ends in one report', news: [endReport(['a'], end('t1'), end('t2'), end('t3'))], standing: 'quarantined' },
  { name: 'a verdict from another VM', news: [verdict('a', end('t1'), end('t2'), end('t3'))], standing: 'quarantined' },
  { name: 'three ends, one of them cleared before it was reported', news: [cleared('a', 't2@'), endReport(['a'], end('t1')), endReport(['a'], end('t2')), endReport(['a'], end('t3'))], standing: 'suspected' },
  { name: 'three ends that were all cleared', news: [endReport(['a'], end('t1'), end('t2'), end('t3')), cleared('a', 't1@', 't2@', 't3@')], standing: 'clear' },
  { name: 'a verdict that arrives after its clearance', news: [cleared('a', 't1@', 't2@', 't3@'), verdict('a', end('t1'), end('t2'), end('t3'))], standing: 'clear' },
  { name: 'a fourth end after a clearance', news: [endReport(['a'], end('t1'), end('t2'), end('t3')), cleared('a', 't1@', 't2@', 't3@'), endReport(['a'], end('t4'))], standing: 'suspected' }
]

describe('RequestQuarantine', () => {
  for (const { name, news, standing } of cases) {
    it(`${name}: ${standing}, in any order and when repeated`, () => {
      for (const order of [news, [...news].reverse(), [...news, ...news]]) {
        const requests = new RequestQuarantine()
        for (const item of order) requests.apply(item, 0)
        expect(requests.standing('a', 1)).to.equal(standing)
      }
    })
  }

  it('returns each verdict once', () => {
    const requests = new RequestQuarantine()
    const verdictCounts = ['t1', 't2', 't3', 't4'].map(target => requests.apply(endReport(['a'], end(target)), 0).length)
    expect(verdictCounts).to.deep.equal([0, 0, 1, 0])
  })

  it('clears a request that was answered, and publishes the clearance only when more than one end was reported', () => {
    const requests = new RequestQuarantine()
    requests.apply(endReport(['a', 'b'], end('t1')), 0)
    requests.apply(endReport(['a'], end('t2')), 0)
    expect(requests.answered('b', 1)).to.equal(undefined)
    expect(requests.answered('a', 1)).to.deep.equal({ kind: 'cleared', digest: 'a', processes: ['t1@', 't2@'] })
    expect([requests.standing('a', 1), requests.standing('b', 1)]).to.deep.equal(['clear', 'clear'])
    expect(requests.answered('a', 2)).to.equal(undefined)
  })

  it('returns the failure domains of the ends that count', () => {
    const requests = new RequestQuarantine()
    requests.apply(endReport(['a'], { ...end('t1'), domain: 'x' }, { ...end('t2'), domain: 'y' }), 0)
    requests.apply(cleared('a', 't1@'), 0)
    expect([requests.domainsOf('a'), requests.domainsOf('b')]).to.deep.equal([['y'], []])
  })

  const ages: ReadonlyArray<{ readonly name: string, readonly news: QuarantineUpdate, readonly afterMs: number, readonly standing: RequestStanding }> = [
    { name: 'a suspicion while callers may retry', news: endReport(['a'], end('t1')), afterMs: SUSPICION_MS, standing: 'suspected' },
    { name: 'a suspicion after its expiry', news: endReport(['a'], end('t1')), afterMs: SUSPICION_MS + 1_001, standing: 'clear' },
    { name: 'a quarantine shortly before its expiry', news: endReport(['a'], end('t1'), end('t2'), end('t3')), afterMs: HOUR_MS - 1, standing: 'quarantined' },
    { name: 'a quarantine after its expiry, which one more end starts again', news: endReport(['a'], end('t1'), end('t2'), end('t3')), afterMs: HOUR_MS, standing: 'suspected' }
  ]
  for (const { name, news, afterMs, standing } of ages) {
    it(`${name}: ${standing}`, () => {
      const requests = new RequestQuarantine()
      requests.apply(news, 0)
      requests.tick(afterMs)
      expect(requests.standing('a', afterMs)).to.equal(standing)
    })
  }

  it('doubles the duration of each further quarantine, up to a bound', () => {
    const requests = new RequestQuarantine()
    let now = 0
    const lasted = [1, 2, 3].map(round => {
      requests.apply(endReport(['a'], end(`r${round}`), ...(round === 1 ? [end('t1'), end('t2')] : [])), now)
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
    requests.apply(endReport(['a'], end('t1'), end('t2'), end('t3')), 0)
    expect(requests.lift('a', 1)?.processes).to.have.length(3)
    requests.apply(endReport(['a'], end('t4'), end('t5')), 2)
    expect([requests.standing('a', 3), requests.lift('b', 3)]).to.deep.equal(['suspected', undefined])
  })

  it('publishes a valid clearance for a request with more ends than a row may have, whatever the order of the reports', () => {
    const many = Array.from({ length: 70 }, (_, index) => endReport(['a'], end(`t${index}`, undefined, index)))
    for (const order of [many, [...many].reverse()]) {
      const requests = new RequestQuarantine()
      const other = new RequestQuarantine()
      for (const item of order) requests.apply(item, 0)
      for (const item of many) other.apply(item, 0)
      const clearance = quarantineUpdateSchema.parse(requests.lift('a', 1))
      other.apply(clearance, 1)
      expect([requests.standing('a', 2), other.standing('a', 2)]).to.deep.equal(['clear', 'clear'])
    }
  })

  it('removes the oldest suspicion when there are too many, but never a quarantine', () => {
    const requests = new RequestQuarantine()
    requests.apply(endReport(['q'], end('t1'), end('t2'), end('t3')), 0)
    for (let index = 0; index < 20_000; index += 1) requests.apply(endReport([`s${index}`], end('t1')), 1)
    expect([requests.standing('q', 2), requests.standing('s0', 2), requests.standing('s19999', 2)]).to.deep.equal(['quarantined', 'clear', 'suspected'])
  })
})
