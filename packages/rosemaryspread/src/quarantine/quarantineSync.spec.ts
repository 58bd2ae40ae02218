/**
 * Guards against lost, repeated or excessive updates between VMs: each update is published once, also after the table was
 * unavailable, and peer messages stay within what the links of a small fleet carry.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { QuarantineUpdate, TargetEnd } from '@rosemaryspread/decisions/quarantine/quarantineTypes.js'
import { SUSPICION_MS } from '@rosemaryspread/decisions/quarantine/requestQuarantine.js'
import type { FeedHandler, TableFeed } from '@rosemaryspread/infra/table/tableFeed.js'
import type { RowWrite, TableStore, TransactAnswer } from '@rosemaryspread/infra/table/tableTypes.js'
import { QuarantineSync } from './quarantineSync.js'

/** Longer than the window in which calls on one target are batched. */
const BATCHED_MS = 30

class Harness implements TableFeed {
  mono = 0
  isDown = false
  readonly written: RowWrite[] = []
  readonly notified: string[] = []
  readonly news: QuarantineUpdate[] = []
  handler: FeedHandler | undefined

  constructor (private readonly peers: number) {}

  share (): QuarantineSync {
    const share = new QuarantineSync({
      vm: 'vm-1',
      table: this.table,
      feed: this,
      clock: { now: () => ({ mono: this.mono, wall: this.mono }) },
      log: { write: () => {} },
      random: () => 0,
      peers: () => Array.from({ length: this.peers }, (_, index) => ({ holder: `h${index}`, address: `a${index}` })),
      notify: address => { this.notified.push(address) },
      onUpdate: news => { this.news.push(news) }
    })
    share.start()
    return share
  }

  follow (_table: string, handler: FeedHandler): () => void {
    this.handler = handler
    return () => { this.handler = undefined }
  }

  private get table (): TableStore {
    return {
      read: async () => Right({ rows: [], now: 0 }),
      scan: async () => Right({ rows: [], now: 0 }),
      transact: async ({ writes }): Promise<Either<Failure, TransactAnswer>> => {
        if (this.isDown) return Left(new Failure('platformUnavailable', 'down', { ran: 'no' }))
        this.written.push(...writes)
        return Right({ version: 1, now: 0 })
      }
    }
  }
}

const end: TargetEnd = { target: 't1', domain: 'd', at: 0, startedAt: 7 }
const ended = (...digests: readonly string[]): QuarantineUpdate => ({ kind: 'ended', ends: [end], digests: [...digests] })
const verdict: QuarantineUpdate = { kind: 'quarantined', digest: 'a', ends: [end], level: 1 }

describe('QuarantineSync', () => {
  it('publishes all requests on one terminated target in one row and one message to each VM', async () => {
    const harness = new Harness(5)
    const share = harness.share()
    for (const digest of ['a', 'b', 'c']) share.ended(end, digest)
    await pause(BATCHED_MS)
    expect(harness.written.map(({ key, value }) => [key, value])).to.deep.equal([['ended/t1@7/vm-1', ended('a', 'b', 'c')]])
    expect(harness.notified).to.have.length(5)
    share.stop()
  })

  it('adds requests whose calls break later to the row', async () => {
    const harness = new Harness(0)
    const share = harness.share()
    share.ended(end, 'a')
    await pause(BATCHED_MS)
    share.ended(end, 'b')
    await pause(BATCHED_MS)
    expect(harness.written.at(-1)?.value).to.deep.equal(ended('a', 'b'))
    share.stop()
  })

  it('sends no peer messages in a large fleet', async () => {
    const harness = new Harness(21)
    const share = harness.share()
    share.ended(end, 'a')
    await pause(BATCHED_MS)
    expect([harness.notified.length, harness.written.length]).to.deep.equal([0, 1])
    share.stop()
  })

  it('queues a row while the table is unavailable and writes it afterwards', async () => {
    const harness = new Harness(0)
    const share = harness.share()
    harness.isDown = true
    share.quarantined({ kind: 'quarantined', digest: 'a', ends: [end], level: 1 })
    await pause(0)
    harness.isDown = false
    share.tick()
    expect(harness.written).to.have.length(0)
    harness.mono = 300
    share.tick()
    await pause(0)
    share.tick()
    expect(harness.written.map(({ key }) => key)).to.deep.equal(['quarantined/a'])
    share.stop()
  })

  it('handles rows of other VMs and skips a malformed one', () => {
    const harness = new Harness(0)
    const share = harness.share()
    expect(share.isLoaded).to.equal(false)
    harness.handler?.replaced([{ key: 'x', value: 'no news', version: 1 }, { key: 'y', value: verdict, version: 2 }])
    harness.handler?.changed([{ key: 'z', value: ended('b'), version: 3 }, { key: 'y', value: null, version: 4 }])
    expect([share.isLoaded, harness.news]).to.deep.equal([true, [verdict, ended('b')]])
    share.stop()
  })

  const ages: ReadonlyArray<{ readonly name: string, readonly row: QuarantineUpdate, readonly afterMs: number, readonly isDeleted: boolean }> = [
    { name: 'a termination still under suspicion', row: ended('a'), afterMs: SUSPICION_MS - 1, isDeleted: false },
    { name: 'an expired termination', row: ended('a'), afterMs: SUSPICION_MS, isDeleted: true },
    { name: 'a verdict within its hour', row: verdict, afterMs: SUSPICION_MS, isDeleted: false },
    { name: 'a verdict after its hour', row: verdict, afterMs: 3_600_000, isDeleted: true }
  ]
  for (const { name, row, afterMs, isDeleted } of ages) {
    it(`${isDeleted ? 'deletes' : 'retains'} the row of ${name}`, async () => {
      const harness = new Harness(0)
      const share = harness.share()
      harness.handler?.replaced([{ key: 'x', value: row, version: 1 }])
      harness.mono = afterMs
      share.tick()
      await pause(0)
      expect(harness.written.map(({ key, value }) => [key, value])).to.deep.equal(isDeleted ? [['x', null]] : [])
      share.stop()
    })
  }
})
