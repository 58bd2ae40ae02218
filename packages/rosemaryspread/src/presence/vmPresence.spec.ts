/**
 * Presence of this VM and of its peers: joins, expiry, advertised addresses and the final row. Each process of
 * another VM is reported once, so that it gets its share of the budgets, however often its row changes.
 */
import { expect } from 'chai'
import { Right } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { FeedHandler, FeedRow, TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { directTables } from '../digest/directTables.fixture.js'
import type { PresenceRow } from './presenceTypes.js'
import { PresenceView } from './presenceView.js'
import { VmPresence } from './vmPresence.js'

const store: TableStore = {
  read: async () => Right({ rows: [], now: 0 }),
  scan: async () => Right({ rows: [], now: 0 }),
  transact: async () => Right({ version: 1, now: 0 })
}

/** A feed whose updates the test sends through `handler`. */
class ManualFeed implements TableFeed {
  handler: FeedHandler | undefined

  follow (_table: string, handler: FeedHandler): () => void {
    this.handler = handler
    return () => { this.handler = undefined }
  }
}

const row = (vm: string, process: string, beat: number): FeedRow => {
  const value: PresenceRow = { vm, holder: `${vm}~${process}`, domain: 'd', callers: `${vm}:1`, state: 'serving', beat }
  return { key: vm, value, version: beat }
}

function createPresence (feed: TableFeed, clock: { readonly mono: number }): VmPresence {
  return new VmPresence({
    self: { vm: 'a', holder: 'a~1', domain: 'd', callers: 'a:1' },
    table: store,
    feed,
    digest: directTables,
    clock: { now: () => ({ mono: clock.mono, wall: 0 }) },
    log: { write: () => {} },
    onJoined: () => {}
  })
}

type FeedUpdate = (feed: FeedHandler) => void
const changed = (...rows: readonly FeedRow[]): FeedUpdate => feed => { feed.changed(rows) }
const replaced = (...rows: readonly FeedRow[]): FeedUpdate => feed => { feed.replaced(rows) }

const cases: ReadonlyArray<{ readonly name: string, readonly updates: readonly FeedUpdate[], readonly joined: readonly string[] }> = [
  { name: 'reports each VM with its process', updates: [changed(row('b', '1', 1)), changed(row('c', '1', 1))], joined: ['b~1', 'c~1'] },
  { name: 'does not report itself', updates: [changed(row('a', '1', 1))], joined: [] },
  { name: 'reports a process once', updates: [changed(row('b', '1', 1)), changed(row('b', '1', 2)), replaced(row('b', '1', 3))], joined: ['b~1'] },
  { name: 'reports a VM that was restarted', updates: [changed(row('b', '1', 1)), changed(row('b', '2', 1))], joined: ['b~1', 'b~2'] },
  { name: 'reports all VMs of a full read', updates: [replaced(row('a', '1', 1), row('b', '1', 1), row('c', '1', 1))], joined: ['b~1', 'c~1'] },
  { name: 'does not report a process again after its row was missing', updates: [changed(row('b', '1', 1)), changed({ key: 'b', value: null, version: 2 }), changed(row('b', '1', 3))], joined: ['b~1'] }
]

/**
 * Guards against an expiry that ignores the size of the fleet: a VM of 360 writes a heartbeat every 9 s, so an expiry of 6 s
 * would make peers, and with them the owners of budgets, disappear and return continually.
 */
const silenceCases: ReadonlyArray<{ readonly vms: number, readonly silenceMs: number, readonly isPresent: boolean }> = [
  { vms: 6, silenceMs: 5_900, isPresent: true },
  { vms: 6, silenceMs: 6_100, isPresent: false },
  { vms: 360, silenceMs: 9_000, isPresent: true },
  { vms: 360, silenceMs: 36_100, isPresent: false }
]

describe('presence of a VM without heartbeats', () => {
  for (const { vms, silenceMs, isPresent } of silenceCases) {
    it(`for ${silenceMs} ms in a fleet of ${vms}: ${isPresent ? 'present' : 'gone'}`, () => {
      const feed = new ManualFeed()
      const clock = { mono: 0 }
      const presence = createPresence(feed, clock)
      presence.start()
      feed.handler?.replaced(Array.from({ length: vms }, (_, index) => row(index === 0 ? 'a' : `b${index}`, '1', 1)))
      clock.mono = silenceMs
      expect(presence.size).to.equal(isPresent ? vms : 1)
    })
  }
})

/**
 * Guards against a VM that was paused for longer than the expiry and then takes all peers for terminated until its feed delivers
 * again; meanwhile it would act as the only VM and claim the retries of all others.
 */
describe('presence as seen by a VM that was paused', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly stepMs: number, readonly size: number }> = [
    { name: 'for ten seconds', stepMs: 10_000, size: 3 },
    { name: 'not at all, while the others were unresponsive', stepMs: 50, size: 1 }
  ]
  for (const { name, stepMs, size } of cases) {
    it(`${name}: ${size} VMs`, () => {
      const feed = new ManualFeed()
      const clock = { mono: 0 }
      const presence = createPresence(feed, clock)
      presence.start()
      feed.handler?.replaced([row('a', '1', 1), row('b', '1', 1), row('c', '1', 1)])
      for (; clock.mono < 10_000; clock.mono += stepMs) presence.tick()
      presence.tick()
      expect(presence.size).to.equal(size)
    })
  }
})

/**
 * Guards against advertising terminated VMs until they expire. Expiry takes four missed heartbeats, six seconds in a fleet of 60 and
 * eight in one of 80, which suits budgets, where an allotment must not be reclaimed early. Callers lose a second for each terminated VM
 * that they try, so a VM is no longer advertised after three.
 */
describe('addresses for callers', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly vms: number, readonly ended: number, readonly afterMs: number, readonly advertised: number, readonly isFeedDown?: true }> = [
    { name: 'all VMs while they send heartbeats', vms: 16, ended: 0, afterMs: 9_000, advertised: 16 },
    { name: 'a terminated VM until it has missed three heartbeats', vms: 16, ended: 13, afterMs: 4_000, advertised: 16 },
    { name: 'no VM that missed three heartbeats', vms: 16, ended: 13, afterMs: 5_000, advertised: 3 },
    { name: 'no VM of a large fleet that missed three heartbeats', vms: 79, ended: 60, afterMs: 6_500, advertised: 19 },
    { name: 'only the VM itself when all others missed three heartbeats', vms: 7, ended: 6, afterMs: 5_000, advertised: 1 },
    { name: 'all VMs while the feed is down', vms: 16, ended: 15, afterMs: 9_000, advertised: 16, isFeedDown: true }
  ]
  for (const { name, vms, ended, afterMs, advertised, isFeedDown } of cases) {
    it(`include ${name}`, async () => {
      const feed = new ManualFeed()
      const clock = { mono: 0 }
      const presence = createPresence(feed, clock)
      presence.start()
      await presence.publishState('serving')
      const others = Array.from({ length: vms - 1 }, (_, index) => `b${index}`)
      feed.handler?.replaced(others.map(vm => row(vm, '1', 1)))
      for (let beat = 2; clock.mono < afterMs; beat += 1) {
        clock.mono += 500
        presence.tick()
        if (isFeedDown) feed.handler?.failed(new Failure('platformUnavailable', 'no connection', { ran: 'no' }))
        else feed.handler?.changed(others.slice(ended).map(vm => row(vm, '1', beat)))
      }
      expect(presence.addresses({ caller: 'c' })).to.have.length(advertised)
    })
  }
})

/**
 * Guards against forwarding to a VM that cannot serve what it gets: each connection costs time before it is served here after all,
 * or fails.
 */
describe('VMs to which connections are forwarded', () => {
  const serving: PresenceRow = { vm: 'b', holder: 'b~1', domain: 'd', callers: 'b:1', forwarding: 'b:2', state: 'serving', beat: 1 }
  const cases: ReadonlyArray<{ readonly name: string, readonly change: Partial<PresenceRow>, readonly peers: ReadonlyArray<{ readonly vm: string, readonly address: string }> }> = [
    { name: 'include one that serves', change: {}, peers: [{ vm: 'b', address: 'b:2' }] },
    { name: 'leave out one without an address for it', change: { forwarding: undefined }, peers: [] },
    { name: 'leave out one of another failure domain', change: { domain: 'other' }, peers: [] },
    { name: 'leave out an overloaded one', change: { isPressed: true }, peers: [] },
    { name: 'leave out one that starts', change: { state: 'starting' }, peers: [] },
    { name: 'leave out one that leaves', change: { state: 'leaving' }, peers: [] },
    { name: 'leave out one that is late', change: { isLate: true }, peers: [] },
    { name: 'leave out one that has lost its path to targets', change: { unreachable: ['s'] }, peers: [] }
  ]
  for (const { name, change, peers } of cases) {
    it(name, () => {
      const feed = new ManualFeed()
      const presence = createPresence(feed, { mono: 0 })
      presence.start()
      const value = JSON.parse(JSON.stringify({ ...serving, ...change })) as unknown
      feed.handler?.replaced([{ key: 'b', value, version: 1 }])
      expect(presence.forwardingPeers()).to.deep.equal(peers)
    })
  }

  it('leave out this VM', () => {
    const feed = new ManualFeed()
    const presence = createPresence(feed, { mono: 0 })
    presence.start()
    feed.handler?.replaced([{ key: 'a', value: { ...serving, vm: 'a', holder: 'a~1' }, version: 1 }])
    expect(presence.forwardingPeers()).to.deep.equal([])
  })
})

/** Guards against connections that are forwarded to a VM which is busy itself, and to one that publishes the end of its spare capacity late. */
describe('address for forwarded connections', () => {
  /** Starts the presence of a VM; `written` gets the address for forwarded connections in each row that it writes. */
  function startPublishing (forwarding: string | undefined): { readonly presence: VmPresence, readonly written: ReadonlyArray<string | undefined> } {
    const written: Array<string | undefined> = []
    const presence = new VmPresence({
      self: { vm: 'a', holder: 'a~1', domain: 'd', callers: 'a:1', forwarding },
      table: {
        ...store,
        transact: async ({ writes: [write] }) => {
          written.push((write?.value as PresenceRow).forwarding)
          return Right({ version: 1, now: 0 })
        }
      },
      feed: new ManualFeed(),
      digest: directTables,
      clock: { now: () => ({ mono: 0, wall: 0 }) },
      log: { write: () => {} },
      onJoined: () => {}
    })
    presence.start()
    return { presence, written }
  }

  const cases: ReadonlyArray<{ readonly name: string, readonly forwarding?: string, readonly spare: readonly boolean[], readonly rows: ReadonlyArray<string | undefined> }> = [
    { name: 'is published with the next heartbeat once the VM has spare capacity', forwarding: 'a:2', spare: [true], rows: [undefined] },
    { name: 'is withdrawn with the next tick', forwarding: 'a:2', spare: [true, false], rows: [undefined, undefined] },
    { name: 'is never published by a VM that accepts none', spare: [true, false], rows: [undefined] }
  ]
  for (const { name, forwarding, spare, rows } of cases) {
    it(name, async () => {
      const { presence, written } = startPublishing(forwarding)
      await presence.publishState('serving')
      for (const hasSpare of spare) {
        presence.setSpareCapacity(hasSpare)
        presence.tick()
        await Promise.resolve()
      }
      expect(written).to.deep.equal(rows)
    })
  }

  it('stands in rows that are written while the VM has spare capacity', async () => {
    const { presence, written } = startPublishing('a:2')
    presence.setSpareCapacity(true)
    await presence.publishState('serving')
    expect(written).to.deep.equal(['a:2'])
  })
})

describe('presence of a VM that left', () => {
  it('does not write its row again, even when the VM becomes overloaded', async () => {
    const writes: unknown[] = []
    const presence = new VmPresence({
      self: { vm: 'a', holder: 'a~1', domain: 'd', callers: 'a:1' },
      table: {
        ...store,
        transact: async ({ writes: [write] }) => {
          writes.push(write?.value)
          return Right({ version: 1, now: 0 })
        }
      },
      feed: new ManualFeed(),
      digest: directTables,
      clock: { now: () => ({ mono: 0, wall: 0 }) },
      log: { write: () => {} },
      onJoined: () => {}
    })
    presence.start()
    await presence.publishState('serving')
    await presence.leave()
    presence.setOverloaded(true)
    presence.tick()
    expect(writes.at(-1)).to.equal(null)
  })
})

describe('presence from a digest', () => {
  it('updates the state of a VM when the whole digest is read again', () => {
    const view = new PresenceView('a', () => 6_000, () => 4_500)
    const digestRow = (state: PresenceRow['state']): PresenceRow => ({ vm: 'b', holder: 'b~1', domain: 'd', callers: 'b:1', state, beat: 0 })
    view.sourceChanged(true)
    view.replaced([digestRow('serving')], 0)
    view.replaced([digestRow('leaving')], 200)
    expect(view.presentPeers(400).map(({ state }) => state)).to.deep.equal(['leaving'])
  })
})

describe('VmPresence', () => {
  for (const { name, updates, joined } of cases) {
    it(name, () => {
      const feed = new ManualFeed()
      const joinedHolders: string[] = []
      const presence = new VmPresence({
        self: { vm: 'a', holder: 'a~1', domain: 'd', callers: 'a:1' },
        table: store,
        feed,
        digest: directTables,
        clock: { now: () => ({ mono: 0, wall: 0 }) },
        log: { write: () => {} },
        onJoined: holder => { joinedHolders.push(holder) }
      })
      presence.start()
      for (const update of updates) if (feed.handler !== undefined) update(feed.handler)
      expect(joinedHolders).to.deep.equal(joined)
    })
  }
})
