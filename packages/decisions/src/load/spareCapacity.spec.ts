/**
 * Guards against VMs that accept forwarded connections while they are busy themselves: in a fleet without spare capacity forwarding
 * makes all VMs slower.
 */
import { expect } from 'chai'
import { SpareCapacity } from './spareCapacity.js'

const TICK_MS = 150
const MS_PER_SECOND = 1_000

const cases: ReadonlyArray<{ readonly name: string, readonly busy: readonly number[], readonly hasSpare: boolean }> = [
  { name: 'none at the start', busy: [], hasSpare: false },
  { name: 'none after half a second of idling', busy: [0.1], hasSpare: false },
  { name: 'some after two seconds of idling', busy: [0.1, 0.1, 0.1, 0.1], hasSpare: true },
  { name: 'none while the VM is well used', busy: [0.5, 0.5, 0.5, 0.5, 0.5, 0.5], hasSpare: false },
  { name: 'some through half a second of saturation', busy: [0.1, 0.1, 0.1, 0.1, 1], hasSpare: true },
  { name: 'none after a second and a half of saturation', busy: [0.1, 0.1, 0.1, 0.1, 1, 1, 1], hasSpare: false },
  { name: 'some while forwarded connections use half of the VM', busy: [0.1, 0.1, 0.1, 0.1, 0.55, 0.55, 0.55, 0.55], hasSpare: true }
]

describe('SpareCapacity', () => {
  for (const { name, busy, hasSpare } of cases) {
    it(`finds ${name}`, () => {
      const spare = new SpareCapacity()
      spare.update({ busyRatio: 0 }, 0)
      for (let mono = TICK_MS; mono <= busy.length * MS_PER_SECOND / 2; mono += TICK_MS) {
        spare.update({ busyRatio: busy[Math.floor((mono - 1) * 2 / MS_PER_SECOND)] ?? 0 }, mono)
      }
      expect(spare.hasSpare).to.equal(hasSpare)
    })
  }
})
