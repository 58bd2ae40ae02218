/** Notifications of large requests must stay within the rate limit, whatever the size of the fleet. */
import { expect } from 'chai'
import { WorkNotifications, workMethod } from './workNotifications.js'

const notification = { target: 't', work: 5_000, parts: 'p' }

function messagesSent (vms: number, times: number, everyMs: number): number {
  let mono = 0
  let sent = 0
  const notifications = new WorkNotifications({
    clock: { now: () => ({ mono, wall: 0 }) },
    peers: () => Array.from({ length: vms - 1 }, (_, i) => ({ holder: `v${i}`, address: `v${i}:1` })),
    notify: () => { sent += 1 }
  })
  for (let i = 0; i < times; i += 1) {
    notifications.notifyPeers(notification)
    mono += everyMs
  }
  return sent
}

const cases: ReadonlyArray<{ readonly name: string, readonly vms: number, readonly times: number, readonly everyMs: number, readonly sent: number }> = [
  { name: 'all VMs of a small fleet for each request', vms: 7, times: 20, everyMs: 200, sent: 120 },
  { name: 'nobody in a fleet of one VM', vms: 1, times: 20, everyMs: 50, sent: 0 },
  { name: 'no more than the limit in a burst', vms: 20, times: 20, everyMs: 0, sent: 57 },
  { name: 'a larger fleet as often as the limit allows', vms: 20, times: 21, everyMs: 50, sent: 114 },
  { name: 'all VMs of the largest fleet that is notified', vms: 21, times: 1, everyMs: 0, sent: 20 },
  { name: 'nobody in a larger fleet', vms: 22, times: 21, everyMs: 50, sent: 0 }
]

describe('WorkNotifications', () => {
  for (const { name, vms, times, everyMs, sent } of cases) {
    it(`reach ${name}`, () => { expect(messagesSent(vms, times, everyMs)).to.equal(sent) })
  }

  it('are rejected if malformed', async () => {
    let received = 0
    const serve = workMethod(() => { received += 1 })
    const failed = await serve({ target: 't', work: -1, parts: 'p' }, 'v').then(() => false, () => true)
    expect([failed, received]).to.deep.equal([true, 0])
  })
})
