/**
 * Guards against versions that the store does not know of, or that are read too late, and against rows that the store rejects, repeats or keeps for ever.
 */
import { setImmediate as turn } from 'node:timers/promises'
import { expect } from 'chai'
import { Left, Right, type Either } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { ResultName } from '@rosemaryspread/decisions/codes/resultCodes.js'
import type { ReadAnswer, Row, RowKey, ScanAnswer, ScanRequest, TableStore, TransactAnswer, Transaction } from '@rosemaryspread/infra/table/tableTypes.js'
import { StreamRows, STREAMS_TABLE } from './streamRows.js'
import { VersionRows, VERSIONS_TABLE } from './versionRows.js'

const LIFETIME_MS = 60_000
const TICK_MS = 150
/** Start of the store's clock, unlike that of the VMs. */
const STORE_START_MS = 5_000_000
const MAX_ROW_BYTES = 65_536

/** A store in memory, in virtual time. */
class FakeTable implements TableStore {
  mono = 0
  /** Code with which all calls fail; absent while the store serves. */
  outage: ResultName | undefined
  reads = 0
  writes = 0
  private counter = 0
  private readonly rows = new Map<string, Row>()

  keys (table: string): readonly string[] {
    return [...this.rows.values()].filter(row => row.table === table).map(({ key }) => key).sort()
  }

  async read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>> {
    this.reads += 1
    return this.answer(() => ({ rows: keys.map(({ table, key }) => this.rows.get(`${table}/${key}`) ?? null), now: this.now }))
  }

  async scan ({ table, after = '', limit }: ScanRequest): Promise<Either<Failure, ScanAnswer>> {
    this.reads += 1
    return this.answer(() => {
      const rows = this.keys(table).filter(key => key > after).map(key => this.rows.get(`${table}/${key}`) as Row)
      const last = rows[limit - 1]
      return { rows: rows.slice(0, limit), now: this.now, ...(rows.length > limit && last !== undefined ? { next: last.key } : {}) }
    })
  }

  async transact ({ checks, writes }: Transaction): Promise<Either<Failure, TransactAnswer>> {
    if (this.outage !== undefined) return this.fail()
    if (checks.some(({ table, key, version }) => (this.rows.get(`${table}/${key}`)?.version ?? null) !== version)) return Left(new Failure('platformConflict', 'changed', { ran: 'no' }))
    this.writes += 1
    for (const { table, key, value } of writes) {
      if (JSON.stringify(value).length > MAX_ROW_BYTES) return Left(new Failure('badRequest', 'the row is too large', { ran: 'no' }))
      this.counter += 1
      if (value === null) this.rows.delete(`${table}/${key}`)
      else this.rows.set(`${table}/${key}`, { table, key, value, version: this.counter, updatedAt: this.now })
    }
    return Right({ version: this.counter, now: this.now })
  }

  private answer<T> (make: () => T): Either<Failure, T> {
    return this.outage === undefined ? Right(make()) : this.fail()
  }

  private fail (): Either<Failure, never> {
    return Left(new Failure(this.outage ?? 'internal', 'outage', { ran: 'no' }))
  }

  private get now (): number {
    return STORE_START_MS + this.mono
  }
}

const log = { write: () => {} }

async function settle (): Promise<void> {
  for (let turns = 0; turns < 20; turns += 1) await turn()
}

/** VMs before one store. */
class FakeVms {
  readonly table = new FakeTable()
  listed: readonly string[] = ['1']

  versionRows (): VersionRows {
    return new VersionRows({ table: this.table, clock: this.clock, log, random: () => 0.5, vms: () => 6, services: () => ['s'], lifetimeMs: () => LIFETIME_MS, listed: () => this.listed })
  }

  streamRows (known: Map<string, string>, holder = 'vm-0~a'): StreamRows {
    return new StreamRows({ table: this.table, clock: this.clock, log, holder, random: () => 0.01, vms: () => 6, lifetimeMs: () => LIFETIME_MS, onRead: (key, version) => { known.set(key, version) } })
  }

  async run (ms: number, ...parts: ReadonlyArray<{ tick (): void }>): Promise<void> {
    for (const end = this.table.mono + ms; this.table.mono < end; this.table.mono += TICK_MS) {
      for (const part of parts) part.tick()
      await settle()
    }
  }

  private readonly clock = { now: () => ({ mono: this.table.mono, wall: 0 }) }
}

describe('VersionRows', () => {
  it('tell a VM that starts which version was the only one before', async () => {
    const vms = new FakeVms()
    await vms.run(1_000, vms.versionRows())
    vms.table.mono += 10 * LIFETIME_MS
    expect(await vms.versionRows().read('s')).to.deep.equal({ kind: 'sole', version: '1' })
  })

  for (const { name, listed } of [{ name: 'appeared', listed: ['1', '2'] }, { name: 'replaced the only one', listed: ['2'] }]) {
    it(`tell a VM that starts of a version that ${name} before all VMs ended`, async () => {
      const vms = new FakeVms()
      const before = vms.versionRows()
      await vms.run(1_000, before)
      vms.listed = listed
      await vms.run(1_000, before)
      const after = vms.versionRows()
      expect(await after.read('s')).to.deep.equal({ kind: 'several' })
      vms.listed = ['2']
      await vms.run(2 * LIFETIME_MS, after)
      expect(await vms.versionRows().read('s')).to.deep.equal({ kind: 'sole', version: '2' })
    })
  }

  it('are written once by several VMs, and not again while nothing changes', async () => {
    const vms = new FakeVms()
    const all = Array.from({ length: 6 }, () => vms.versionRows())
    await vms.run(1_000, ...all)
    vms.listed = ['1', '2']
    await vms.run(5_000, ...all)
    expect([vms.table.keys(VERSIONS_TABLE), vms.table.writes]).to.deep.equal([['s'], 2])
    expect(vms.table.reads).to.be.at.most(6 * 4)
    expect(all.map(rows => rows.cached('s').kind)).to.deep.equal(all.map(() => 'several'))
  })

  it('are known by a read that begins with the request, not by an earlier one', async () => {
    const vms = new FakeVms()
    const suspended = vms.versionRows()
    await vms.run(1_000, suspended)
    const other = vms.versionRows()
    vms.listed = ['2']
    await vms.run(1_000, other)
    expect([suspended.cached('s').kind, suspended.cached('s', 500).kind, (await suspended.read('s')).kind]).to.deep.equal(['sole', 'unknown', 'several'])
  })

  it('are unknown while the store cannot be read, and written afterwards', async () => {
    const vms = new FakeVms()
    const rows = vms.versionRows()
    await vms.run(1_000, rows)
    vms.table.outage = 'platformUnavailable'
    vms.listed = ['1', '2']
    await vms.run(3_000, rows)
    expect((await rows.read('s')).kind).to.equal('unknown')
    vms.table.outage = undefined
    await vms.run(1_000, rows)
    expect(await vms.versionRows().read('s')).to.deep.equal({ kind: 'several' })
  })
})

describe('StreamRows', () => {
  it('bring the streams of all VMs to one that starts', async () => {
    const vms = new FakeVms()
    const first = vms.streamRows(new Map(), 'vm-0~a')
    const second = vms.streamRows(new Map(), 'vm-1~a')
    for (let stream = 0; stream < 1_200; stream += 1) (stream % 2 === 0 ? first : second).add(`k${stream}`, String(stream % 3))
    await vms.run(2_000, first, second)
    const known = new Map<string, string>()
    expect(await vms.streamRows(known, 'vm-0~b').load()).to.equal(true)
    expect(known.size).to.equal(1_200)
    expect([...known].every(([key, version]) => version === String(Number(key.slice(1)) % 3))).to.equal(true)
  })

  it('bring what was written since the last read', async () => {
    const vms = new FakeVms()
    const known = new Map<string, string>()
    const [writer, reader] = [vms.streamRows(new Map()), vms.streamRows(known, 'vm-1~a')]
    writer.add('a', '1')
    await vms.run(1_000, writer)
    await reader.load()
    writer.add('b', '2')
    await vms.run(1_000, writer)
    await reader.load()
    expect([...known.keys()].sort()).to.deep.equal(['a', 'b'])
  })

  it('fit into rows of the store, however long the versions are', async () => {
    const vms = new FakeVms()
    const rows = vms.streamRows(new Map())
    const version = 'v'.repeat(200)
    for (let stream = 0; stream < 600; stream += 1) rows.add(`k${stream}`, version)
    await vms.run(3_000, rows)
    const known = new Map<string, string>()
    await vms.streamRows(known).load()
    expect(known.size).to.equal(600)
  })

  it('are written after an outage of the store', async () => {
    const vms = new FakeVms()
    const rows = vms.streamRows(new Map())
    vms.table.outage = 'platformUnavailable'
    rows.add('a', '1')
    await vms.run(2_000, rows)
    expect(await vms.streamRows(new Map()).load()).to.equal(false)
    vms.table.outage = undefined
    await vms.run(1_000, rows)
    const known = new Map<string, string>()
    await vms.streamRows(known).load()
    expect([...known]).to.deep.equal([['a', '1']])
  })

  it('are few, and deleted once their streams cannot be resumed', async () => {
    const vms = new FakeVms()
    const rows = vms.streamRows(new Map())
    for (let ms = 0; ms < 3_000; ms += TICK_MS) {
      rows.add(`k${ms}`, '1')
      await vms.run(TICK_MS, rows)
    }
    expect(vms.table.keys(STREAMS_TABLE).length).to.be.within(1, 16)
    await vms.run(LIFETIME_MS + 20_000, rows)
    expect(vms.table.keys(STREAMS_TABLE)).to.have.length(0)
  })
})
