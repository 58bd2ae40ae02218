/**
 * Guards against bills that are deleted from the table before an object contains them, and against blocks archived partially.
 */
import { expect } from 'chai'
import { Left, Right } from 'purify-ts'
import { BLOCK_SEGMENTS, SEGMENT_ARCHIVE_MS } from '@rosemaryspread/decisions/budget/billBlocks.js'
import { budgetTables, recoveredSegmentKey, segmentKey } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { BillArchive, type ArchiveParts } from 'rosemaryspread/budget/billArchive.js'
import { RecoveryRuns } from 'rosemaryspread/budget/budgetRecoveryRuns.js'
import { MemoryObjects } from '../config/memoryObjects.js'
import { MemoryTableStore } from '../table/memoryTableStore.js'
import { TableState } from '../table/tableState.js'

const OLD_HOLDERS = ['vm-a~01', 'vm-a~010', 'vm-b~02']
const LAST_SEQ = 2 * BLOCK_SEGMENTS
const log = { write: () => {} }
const outcomeUnknown = (): Failure => new Failure('platformOutcomeUnknown', 'the answer was lost', { ran: 'unknown' })

/** A shared table and object store, with old segments of three holders and recent ones of a fourth. */
class ArchiveHarness {
  now = 1_000
  readonly state = new TableState(() => this.now)
  readonly objects = new MemoryObjects()
  /** Bodies put under each name, including refused puts. */
  readonly sent = new Map<string, Set<string>>()
  losePuts = 0
  /** Rows deleted before an object contained them. */
  readonly lost: string[] = []
  private readonly lastContents = new Map<string, string>()

  constructor () {
    this.state.onCommit(rows => {
      const archived = rows.some(row => row.value === null) ? this.archived() : new Set()
      for (const { key, value } of rows) {
        if (value !== null) this.lastContents.set(key, JSON.stringify(value))
        else if (!archived.has(`${key} ${this.lastContents.get(key)}`)) this.lost.push(key)
      }
    })
    for (const holder of OLD_HOLDERS) for (let seq = 1; seq <= LAST_SEQ; seq++) this.addSegment(segmentKey(holder, seq), holder, seq)
    this.addSegment(recoveredSegmentKey('vm-b~02', 'mesa', 7), 'vm-b~02', 0)
    this.now += SEGMENT_ARCHIVE_MS + 1
    for (let seq = 1; seq <= LAST_SEQ; seq++) this.addSegment(segmentKey('vm-c~03', seq), 'vm-c~03', seq)
  }

  addSegment (key: string, holder: string, seq: number): void {
    const bill = { requestId: `run-${key}`, budget: 'mesa', team: 'mesa', tokens: seq + 1, runner: 'r1' }
    this.state.transact({ checks: [], writes: [{ table: budgetTables.segments, key, value: { holder, seq, bills: [bill] } }] })
  }

  vm (): { readonly store: MemoryTableStore, readonly parts: ArchiveParts } {
    const store = new MemoryTableStore(this.state)
    return { store, parts: { store, log, objects: { put: async (name, body) => await this.put(name, body) } } }
  }

  /** Archived segments, as `<key> <content>`. */
  archived (): Set<string> {
    const objects = [...this.objects.objects.values()].map(body => JSON.parse(body.toString()) as { segments: Array<{ key: string, segment: unknown }> })
    return new Set(objects.flatMap(({ segments }) => segments.map(({ key, segment }) => `${key} ${JSON.stringify(segment)}`)))
  }

  left (holder: string): readonly string[] {
    return this.state.all(budgetTables.segments).map(({ key }) => key).filter(key => key.startsWith(`${holder}/`))
  }

  /** Violated invariants; empty while all hold. */
  violations (): readonly string[] {
    const partialBlocks = OLD_HOLDERS.flatMap(holder => [0, 1].filter(block => {
      const rows = this.left(holder).filter(key => Math.floor(Number(key.split('/')[1]) / BLOCK_SEGMENTS) === block).length
      return rows !== 0 && rows !== BLOCK_SEGMENTS - (block === 0 ? 1 : 0)
    }))
    const differing = [...this.sent].filter(([, bodies]) => bodies.size > 1).map(([name]) => name)
    return [...this.lost, ...partialBlocks.map(block => `block ${block} archived partially`), ...differing]
  }

  private async put (name: string, body: Buffer): ReturnType<MemoryObjects['put']> {
    this.sent.set(name, (this.sent.get(name) ?? new Set()).add(body.toString()))
    const done = await this.objects.put(name, body)
    return this.losePuts-- > 0 ? Left(outcomeUnknown()) : done
  }
}

type Vm = ReturnType<ArchiveHarness['vm']>

/** Faulty: deletes the rows before it puts the object. */
function deletingBeforePut ({ store, objects, log }: ArchiveParts): ArchiveParts {
  let later = async (): Promise<void> => {}
  const put: ArchiveParts['objects']['put'] = async (name, body) => {
    later = async () => { await objects.put(name, body) }
    return Right(undefined)
  }
  const transact: typeof store.transact = async tx => {
    const done = await store.transact(tx)
    await later()
    return done
  }
  return { log, objects: { put }, store: { read: async keys => await store.read(keys), scan: async req => await store.scan(req), transact } }
}

const faults: ReadonlyArray<readonly [string, (setup: ArchiveHarness, vm: Vm) => void]> = [
  ['none', () => {}],
  ['object store outage', setup => { setup.objects.outage = true }],
  ['answer of a put lost', setup => { setup.losePuts = 1 }],
  ['table outage', (_, { store }) => { store.outage = true }],
  ['table outage half way, before a deletion', (_, { store }) => {
    store.beforeCall = async operation => { if (operation === 'transact' && store.calls.transact === 3) store.outage = true }
  }],
  ['object store outage half way', (setup, { store }) => {
    store.beforeCall = async () => { if (store.calls.transact === 2) setup.objects.outage = true }
  }],
  ['answers of deletions lost', (_, { store }) => { store.loseAnswers = 1 }],
  ['requests of deletions lost', (_, { store }) => { store.loseRequests = 1 }],
  ['a row rewritten before the deletion', (setup, { store }) => {
    store.beforeCall = async operation => {
      if (operation === 'transact' && store.calls.transact === 1) {
        const key = segmentKey('vm-a~01', 5)
        setup.state.transact({ checks: [], writes: [{ table: budgetTables.segments, key, value: setup.state.read([{ table: budgetTables.segments, key }]).rows[0]?.value }] })
      }
    }
  }]
]

describe('archive of bills', () => {
  for (const [name, fault] of faults) {
    it(`loses no bill and archives no block partially: ${name}`, async () => {
      const setup = new ArchiveHarness()
      const [first, second] = [setup.vm(), setup.vm()]
      fault(setup, first)
      await Promise.all([new BillArchive(first.parts).pass(), new BillArchive(second.parts).pass()])
      expect(setup.violations()).to.deep.equal([])
      setup.objects.outage = false
      setup.now += SEGMENT_ARCHIVE_MS / 2
      const later = new BillArchive(setup.vm().parts)
      for (let pass = 0; pass < 3; pass++) await later.pass()
      expect(setup.lost).to.deep.equal([])
      for (const holder of OLD_HOLDERS.slice(name.startsWith('a row') ? 1 : 0)) {
        expect(setup.left(holder).slice(0, 1), 'the newest numbered segment stays in the table').to.deep.equal([segmentKey(holder, LAST_SEQ)])
      }
      expect(setup.left('vm-b~02')).to.have.length(2)
      expect(setup.left('vm-c~03'), 'younger than six hours').to.have.length(LAST_SEQ)
    })
  }

  it('loses bills if it deletes rows before it puts the object (counter-example)', async () => {
    const setup = new ArchiveHarness()
    setup.objects.outage = true
    await new BillArchive(deletingBeforePut(setup.vm().parts)).pass()
    expect(setup.violations()).to.include(segmentKey('vm-a~01', 1))
  })

  it('names an object by its fixed block, and archives a bounded number of blocks per pass', async () => {
    const setup = new ArchiveHarness()
    const archive = new BillArchive(setup.vm().parts, 2)
    await archive.pass()
    expect([...setup.objects.objects.keys()]).to.deep.equal([
      'bills/vm-a~01/000000000000-000000000199.json', 'bills/vm-a~01/000000000200-000000000399.json'
    ])
    for (let pass = 0; pass < 6; pass++) await archive.pass()
    expect(setup.objects.objects.size).to.equal(6)
  })

  it('recovery assumes that a holder whose last segment is archived has been unreachable for that long', async () => {
    const runs = new RecoveryRuns(new ArchiveHarness().vm().store, {} as never)
    const row = { holder: 'vm-a~01', budget: 'mesa', domain: 'd', held: 1, settled: 0, state: 'open', lastSeq: LAST_SEQ + 1 } as const
    expect(await runs.contactAgeMs({ row, version: 1, updatedAt: 0, ageMs: 10 }, 0)).to.equal(SEGMENT_ARCHIVE_MS)
  })
})
