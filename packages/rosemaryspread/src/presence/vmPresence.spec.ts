/**
 * What a VM learns of others that begin: each process of another VM is told once, so that it gets its
 * part of the budgets, however often its row changes or the table is read anew.
 */
import { expect } from 'chai'
import { Right } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { FeedHandler, FeedRow, TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { TableStore } from '@rosemaryspread/infra/table/tableTypes.js'
import { directly } from '../digest/directTables.fixture.js'
import type { PresenceRow } from './presenceTypes.js'
import { PresenceView } from './presenceView.js'
import { VmPresence } from './vmPresence.js'

const store: TableStore = {
  read: async () => Right({ rows: [], now: 0 }),
  scan: async () => Right({ rows: [], now: 0 }),
  transact: async () => Right({ version: 1, now: 0 })
}

/** A feed that tells what a test hands it. */
class Feed implements TableFeed {
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

function presenceOf (feed: TableFeed, clock: { readonly mono: number }): VmPresence {
  return new VmPresence({
    self: { vm: 'a', holder: 'a~1', domain: 'd', callers: 'a:1' },
    table: store,
    feed,
    digest: directly,
    clock: { now: () => ({ mono: clock.mono, wall: 0 }) },
    log: { write: () => {} },
    onJoined: () => {}
  })
}

type Told = (feed: FeedHandler) => void
const changed = (...rows: readonly FeedRow[]): Told => feed => { feed.changed(rows) }
const replaced = (...rows: readonly FeedRow[]): Told => feed => { feed.replaced(rows) }

const cases: ReadonlyArray<{ readonly name: string, readonly told: readonly Told[], readonly joined: readonly string[] }> = [
  { name: 'tells of each VM with its process', told: [changed(row('b', '1', 1)), changed(row('c', '1', 1))], joined: ['b~1', 'c~1'] },
  { name: 'is silent about itself', told: [changed(row('a', '1', 1))], joined: [] },
  { name: 'tells of a process once', told: [changed(row('b', '1', 1)), changed(row('b', '1', 2)), replaced(row('b', '1', 3))], joined: ['b~1'] },
  { name: 'tells of a VM that began again', told: [changed(row('b', '1', 1)), changed(row('b', '2', 1))], joined: ['b~1', 'b~2'] },
  { name: 'tells of all that a whole read names', told: [replaced(row('a', '1', 1), row('b', '1', 1), row('c', '1', 1))], joined: ['b~1', 'c~1'] },
  { name: 'takes a VM that was out of sight for the same', told: [changed(row('b', '1', 1)), changed({ key: 'b', value: null, version: 2 }), changed(row('b', '1', 3))], joined: ['b~1'] }
]

/**
 * Read in the code, seen by no user: a VM of 360 writes a heartbeat every 9 s and counted as gone after 6 s of silence,
 * so each VM would have seen the others come and go all the time, and owners of budgets with them.
 */
const ages: ReadonlyArray<{ readonly vms: number, readonly silentMs: number, readonly isPresent: boolean }> = [
  { vms: 6, silentMs: 5_900, isPresent: true },
  { vms: 6, silentMs: 6_100, isPresent: false },
  { vms: 360, silentMs: 9_000, isPresent: true },
  { vms: 360, silentMs: 36_100, isPresent: false }
]

describe('presence of a VM that is silent', () => {
  for (const { vms, silentMs, isPresent } of ages) {
    it(`for ${silentMs} ms in a fleet of ${vms}: ${isPresent ? 'present' : 'gone'}`, () => {
      const feed = new Feed()
      const clock = { mono: 0 }
      const presence = presenceOf(feed, clock)
      presence.start()
      feed.handler?.replaced(Array.from({ length: vms }, (_, index) => row(index === 0 ? 'a' : `b${index}`, '1', 1)))
      clock.mono = silentMs
      expect(presence.size).to.equal(isPresent ? vms : 1)
    })
  }
})

/**
 * Read in the code, seen by no user: a VM that stood still for longer than others are waited for heard nothing meanwhile and took all
 * of them for gone until its feed told again; for that time it counted as the only one, and took the repeats of all for its own.
 */
describe('presence as seen by a VM that stood still', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly stepMs: number, readonly size: number }> = [
    { name: 'for ten seconds', stepMs: 10_000, size: 3 },
    { name: 'not at all, while the others were silent', stepMs: 50, size: 1 }
  ]
  for (const { name, stepMs, size } of cases) {
    it(`${name}: ${size} VMs`, () => {
      const feed = new Feed()
      const clock = { mono: 0 }
      const presence = presenceOf(feed, clock)
      presence.start()
      feed.handler?.replaced([row('a', '1', 1), row('b', '1', 1), row('c', '1', 1)])
      for (; clock.mono < 10_000; clock.mono += stepMs) presence.tick()
      presence.tick()
      expect(presence.size).to.equal(size)
    })
  }
})

/**
 * What callers saw: seven seconds after most VMs of a fleet had lost power, a VM that was left still named them.
 * In a fleet of seven the only VM left did so six seconds after the others had ended.
 * What happened: a VM counts as gone when four heartbeats are missing, six seconds in a fleet of sixty, eight in one of eighty, and a loaded VM
 * reads the last heartbeats late. For budgets that is right: what a VM holds is not taken early. For callers it costs a second each.
 */
describe('addresses for callers', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly vms: number, readonly ended: number, readonly afterMs: number, readonly named: number, readonly isFeedDown?: true }> = [
    { name: 'all while they beat', vms: 16, ended: 0, afterMs: 9_000, named: 16 },
    { name: 'an ended VM as long as it may only be late', vms: 16, ended: 13, afterMs: 4_000, named: 16 },
    { name: 'no VM that missed three heartbeats', vms: 16, ended: 13, afterMs: 5_000, named: 3 },
    { name: 'no VM that missed three heartbeats of a large fleet', vms: 79, ended: 60, afterMs: 6_500, named: 19 },
    { name: 'itself alone where all others missed them', vms: 7, ended: 6, afterMs: 5_000, named: 1 },
    { name: 'all while the feed does not work', vms: 16, ended: 15, afterMs: 9_000, named: 16, isFeedDown: true }
  ]
  for (const { name, vms, ended, afterMs, named, isFeedDown } of cases) {
    it(`name ${name}`, async () => {
      const feed = new Feed()
      const clock = { mono: 0 }
      const presence = presenceOf(feed, clock)
      presence.start()
      await presence.tell('serving')
      const others = Array.from({ length: vms - 1 }, (_, index) => `b${index}`)
      feed.handler?.replaced(others.map(vm => row(vm, '1', 1)))
      for (let beat = 2; clock.mono < afterMs; beat += 1) {
        clock.mono += 500
        presence.tick()
        if (isFeedDown) feed.handler?.failed(new Failure('platformUnavailable', 'no connection'))
        else feed.handler?.changed(others.slice(ended).map(vm => row(vm, '1', beat)))
      }
      expect(presence.addresses({ caller: 'c' })).to.have.length(named)
    })
  }
})

/** Read in the code, seen by no user. */
describe('presence of a VM that left', () => {
  it('writes its row no more, also when it becomes pressed', async () => {
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
      feed: new Feed(),
      digest: directly,
      clock: { now: () => ({ mono: 0, wall: 0 }) },
      log: { write: () => {} },
      onJoined: () => {}
    })
    presence.start()
    await presence.tell('serving')
    await presence.leave()
    presence.pressed(true)
    presence.tick()
    expect(writes.at(-1)).to.equal(null)
  })
})

describe('presence that a digest tells', () => {
  it('takes the new state of a VM where the digest is read whole again', () => {
    const view = new PresenceView('a', () => 6_000, () => 4_500)
    const told = (state: PresenceRow['state']): PresenceRow => ({ vm: 'b', holder: 'b~1', domain: 'd', callers: 'b:1', state, beat: 0 })
    view.vouched(true)
    view.replaced([told('serving')], 0)
    view.replaced([told('leaving')], 200)
    expect(view.others(400).map(({ state }) => state)).to.deep.equal(['leaving'])
  })
})

describe('VmPresence', () => {
  for (const { name, told, joined } of cases) {
    it(name, () => {
      const feed = new Feed()
      const heard: string[] = []
      const presence = new VmPresence({
        self: { vm: 'a', holder: 'a~1', domain: 'd', callers: 'a:1' },
        table: store,
        feed,
        digest: directly,
        clock: { now: () => ({ mono: 0, wall: 0 }) },
        log: { write: () => {} },
        onJoined: holder => { heard.push(holder) }
      })
      presence.start()
      for (const tell of told) if (feed.handler !== undefined) tell(feed.handler)
      expect(heard).to.deep.equal(joined)
    })
  }
})
