/**
 * Presence of other VMs: missing heartbeats count only while the feed works.
 */
import { expect } from 'chai'
import type { PresenceRow } from './presenceTypes.js'
import { PresenceView } from './presenceView.js'

const EXPIRY_MS = 1_000
const row = (vm: string, beat: number): PresenceRow => ({ vm, holder: `${vm}~1`, domain: 'd', callers: `${vm}:1`, state: 'serving', beat })

interface PresenceCase {
  readonly name: string
  readonly act: (view: PresenceView) => void
  readonly at: number
  readonly expected: readonly string[]
}

const cases: readonly PresenceCase[] = [
  { name: 'lists the other VMs', act: () => {}, at: 0, expected: ['b', 'c'] },
  { name: 'drops unresponsive VMs', act: view => { view.changed('b', row('b', 2), 900) }, at: 1_500, expected: ['b'] },
  { name: 'drops a VM whose row was deleted', act: view => { view.changed('b', null, 100) }, at: 100, expected: ['c'] },
  { name: 'does not count an unchanged row of a full read as a heartbeat', act: view => { view.replaced([row('b', 1), row('c', 2)], 900) }, at: 1_500, expected: ['c'] },
  { name: 'retains all VMs while the feed is down', act: view => { view.feedFailed() }, at: 50_000, expected: ['b', 'c'] },
  {
    name: 'restarts the expiry of all VMs once the feed recovers',
    act: view => {
      view.feedFailed()
      view.changed('b', row('b', 2), 50_000)
    },
    at: 50_900,
    expected: ['b', 'c']
  },
  {
    name: 'drops VMs that stay unresponsive after the feed recovers',
    act: view => {
      view.feedFailed()
      view.changed('b', row('b', 2), 50_500)
      view.changed('b', row('b', 3), 51_400)
    },
    at: 51_600,
    expected: ['b']
  }
]

describe('PresenceView', () => {
  for (const { name, act, at, expected } of cases) {
    it(name, () => {
      const view = new PresenceView('a', () => EXPIRY_MS, () => EXPIRY_MS)
      view.replaced([row('a', 1), row('b', 1), row('c', 1)], 0)
      act(view)
      expect(view.presentPeers(at).map(({ vm }) => vm)).to.deep.equal(expected)
    })
  }
})
