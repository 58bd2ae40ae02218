/**
 * Guards against VMs that together have more open at a target than it has room for, and against places that stay unused.
 */
import { expect } from 'chai'
import { PlaceLimits, type LimitedTarget, type PlaceSharing } from './placeLimits.js'

const SERVICE = 's'

function vmNames (count: number): readonly string[] {
  return Array.from({ length: count }, (_, i) => `vm-${i}`)
}

function sharing (vm: string, vms: readonly string[], random = (): number => 0.5): PlaceSharing {
  return { vm, vms: () => vms, random }
}

function target (id: string, slots: number): LimitedTarget {
  return { id, service: SERVICE, slots }
}

/** Requests that may be opened at a target one after another. */
function fill (limits: PlaceLimits, limited: LimitedTarget, share: PlaceSharing, mono: number): number {
  let open = 0
  while (open < 1_000 && limits.hasRoom(limited, open, share, mono)) open += 1
  return open
}

/** Lets a VM take all places of a target in the first four seconds. */
function takeAll (limits: PlaceLimits, share: PlaceSharing): void {
  for (let mono = 0; mono <= 4_000; mono += 100) {
    limits.report(SERVICE, 5, mono)
    fill(limits, target('t', 8), share, mono)
  }
}

interface ShareCase {
  readonly vms: number
  readonly slots: number
}

const shares: readonly ShareCase[] = [{ vms: 1, slots: 4 }, { vms: 3, slots: 4 }, { vms: 6, slots: 6 }, { vms: 6, slots: 64 }, { vms: 360, slots: 64 }]

describe('places of targets that limit refusals', () => {
  for (const { vms, slots } of shares) {
    it(`are divided without a rest among ${vms} VMs: ${slots}`, () => {
      const names = vmNames(vms)
      const opened = names.map(vm => {
        const limits = new PlaceLimits()
        limits.report(SERVICE, 5, 0)
        return fill(limits, target('t', slots), sharing(vm, names), 0)
      })
      expect(opened.reduce((sum, open) => sum + open, 0)).to.equal(slots)
      expect(Math.max(...opened) - Math.min(...opened)).to.be.at.most(1)
    })
  }

  it('are not limited before a report, nor some time after the last one', () => {
    const limits = new PlaceLimits()
    const share = sharing('vm-0', vmNames(2))
    expect(limits.hasRoom(target('t', 4), 100, share, 0)).to.equal(true)
    expect([limits.report(SERVICE, 5, 0), limits.report(SERVICE, 5, 1_000)]).to.deep.equal([true, false])
    expect(limits.hasRoom(target('t', 4), 100, share, 5_000)).to.equal(false)
    expect(limits.hasRoom(target('t', 4), 100, share, 6_001)).to.equal(true)
  })

  it('leave a VM one place while it does not know the others', () => {
    const limits = new PlaceLimits()
    limits.report(SERVICE, 5, 0)
    expect(fill(limits, target('t', 64), sharing('vm-0', []), 0)).to.equal(1)
  })

  it('are taken from VMs that do not need them, and given back after a refusal', () => {
    const limits = new PlaceLimits()
    const share = sharing('vm-0', vmNames(4), () => 0)
    takeAll(limits, share)
    expect(fill(limits, target('t', 8), share, 4_000)).to.equal(8)
    limits.refused('t', SERVICE, 7, 4_000)
    expect(fill(limits, target('t', 8), share, 4_100)).to.equal(5)
    limits.refusedElsewhere('t', SERVICE, 4_200)
    expect(fill(limits, target('t', 8), share, 4_300)).to.equal(3)
    for (let i = 0; i < 5; i += 1) limits.refusedElsewhere('t', SERVICE, 4_400)
    expect(fill(limits, target('t', 8), share, 4_500)).to.equal(2)
  })

  it('are divided anew when targets report the limit again after a time', () => {
    const limits = new PlaceLimits()
    const share = sharing('vm-0', vmNames(4), () => 0)
    takeAll(limits, share)
    expect(fill(limits, target('t', 8), share, 4_000)).to.equal(8)
    limits.report(SERVICE, 5, 10_000)
    expect(fill(limits, target('t', 8), share, 10_000)).to.equal(2)
  })

  it('are given back when they are no longer needed', () => {
    const limits = new PlaceLimits()
    const share = sharing('vm-0', vmNames(4), () => 0)
    takeAll(limits, share)
    limits.report(SERVICE, 5, 8_000)
    limits.hasRoom(target('t', 8), 0, share, 8_000)
    expect(limits.limit(target('t', 8))).to.equal(2)
  })
})
