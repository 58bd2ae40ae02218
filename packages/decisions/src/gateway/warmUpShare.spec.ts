/**
 * Pacing during a warm-up: a VM that is not designated sends nothing, a designated one sends evenly.
 */
import { expect } from 'chai'
import { isPlausibleWarmUp, WarmUpShare, type WarmUpRate } from './warmUpShare.js'

const WARM_AT = 3_000
const names = (count: number): readonly string[] => Array.from({ length: count }, (_, index) => `vm${index}`)
const rateOf = (vm: string, vms: readonly string[]): WarmUpRate => ({ perS: 10, vm, vms: () => vms })
const designated = names(79).filter(vm => new WarmUpShare('t', WARM_AT).waitMs(rateOf(vm, names(79)), 0) === 0)
const other = names(79).find(vm => !designated.includes(vm)) ?? ''

interface WaitCase {
  readonly name: string
  readonly vm: string
  readonly vms: readonly string[]
  readonly sentAt?: number
  readonly at: number
  readonly waitMs: number
}

const cases: readonly WaitCase[] = [
  { name: 'nothing where it is designated and sent nothing yet', vm: designated[0] ?? '', vms: names(79), at: 100, waitMs: 0 },
  { name: 'a second after its request, with four others', vm: designated[0] ?? '', vms: names(79), sentAt: 100, at: 400, waitMs: 700 },
  { name: 'until the target is warm where it is not designated', vm: other, vms: names(79), at: 100, waitMs: 2_900 },
  { name: 'until the target is warm where that comes sooner', vm: designated[0] ?? '', vms: names(79), sentAt: 2_600, at: 2_700, waitMs: 300 },
  { name: 'nothing once the target is warm', vm: other, vms: names(79), at: WARM_AT, waitMs: 0 },
  { name: 'a fifth of a second where it is alone', vm: 'vm0', vms: ['vm0'], sentAt: 100, at: 100, waitMs: 200 },
  { name: 'until the target is warm where the other VMs are still unknown', vm: 'vm0', vms: [], at: 100, waitMs: 2_900 }
]

describe('WarmUpShare', () => {
  for (const { name, vm, vms, sentAt, at, waitMs } of cases) {
    it(`makes a VM wait ${name}`, () => {
      const share = new WarmUpShare('t', WARM_AT)
      if (sentAt !== undefined) share.sent(sentAt)
      expect(share.waitMs(rateOf(vm, vms), at)).to.equal(waitMs)
    })
  }

  it('designates half as many VMs as the target handles requests per second', () => {
    expect(designated).to.have.length(5)
  })

  for (const [leftMs, isAccepted] of [[0, true], [3_000, true], [-1, false], [NaN, false], [1e12, false]] as const) {
    it(`${isAccepted ? 'accepts' : 'rejects'} a warm-up of ${leftMs} ms`, () => {
      expect(isPlausibleWarmUp(leftMs)).to.equal(isAccepted)
    })
  }
})
