/**
 * Version checks, scans and commit notifications of the table, and faults of the in-process table store.
 */
import { expect } from 'chai'
import type { RowCheck, RowWrite } from '@rosemaryspread/infra/table/tableTypes.js'
import { MemoryTableStore } from './memoryTableStore.js'
import { TableState } from './tableState.js'

const write = (key: string, value: unknown): RowWrite => ({ table: 't', key, value })
const check = (key: string, version: number | null): RowCheck => ({ table: 't', key, version })

describe('TableState', () => {
  const cases: readonly { name: string, checks: RowCheck[], conflicts: string[] }[] = [
    { name: 'no check', checks: [], conflicts: [] },
    { name: 'current version', checks: [check('a', 1)], conflicts: [] },
    { name: 'absent row', checks: [check('new', null)], conflicts: [] },
    { name: 'old version', checks: [check('b', 1)], conflicts: ['b'] },
    { name: 'row exists', checks: [check('a', null)], conflicts: ['a'] },
    { name: 'row is missing', checks: [check('new', 7)], conflicts: ['new'] },
    { name: 'one of two fails', checks: [check('a', 1), check('b', 1)], conflicts: ['b'] },
    { name: 'version from before a row was deleted and recreated', checks: [check('c', 1)], conflicts: ['c'] }
  ]
  for (const { name, checks, conflicts } of cases) {
    it(`checks: ${name}`, () => {
      const state = new TableState(() => 5)
      state.transact({ checks: [], writes: [write('a', 1), write('b', 1), write('c', 1)] })
      state.transact({ checks: [], writes: [write('b', 2), write('c', null)] })
      state.transact({ checks: [], writes: [write('c', 3)] })
      const outcome = state.transact({ checks, writes: [write('a', 'changed'), write('new', 'made')] })
      expect(outcome.swap().map(keys => keys.map(({ key }) => key)).orDefault([])).to.deep.equal(conflicts)
      const [a, made] = state.read([{ table: 't', key: 'a' }, { table: 't', key: 'new' }]).rows
      expect(a?.value).to.equal(conflicts.length === 0 ? 'changed' : 1)
      expect(made?.value).to.equal(conflicts.length === 0 ? 'made' : undefined)
    })
  }

  it('scans a prefix page by page, in key order', () => {
    const state = new TableState()
    const keys = ['b/2', 'a/1', 'b/1', 'c', 'b/3', 'b']
    for (const key of keys) state.transact({ checks: [], writes: [write(key, key)] })
    state.transact({ checks: [], writes: [write('b/2', null)] })
    const first = state.scan({ table: 't', prefix: 'b', limit: 2 })
    expect(first.rows.map(row => row.key)).to.deep.equal(['b', 'b/1'])
    expect(first.next).to.equal('b/1')
    const second = state.scan({ table: 't', prefix: 'b', after: first.next!, limit: 2 })
    expect(second.rows.map(row => row.key)).to.deep.equal(['b/3'])
    expect(second.next).to.equal(undefined)
  })

  it('notifies listeners of committed writes only', () => {
    const state = new TableState()
    const seen: string[] = []
    state.onCommit(rows => seen.push(...rows.map(row => row.key)))
    state.transact({ checks: [], writes: [write('a', 1)] })
    state.transact({ checks: [check('a', null)], writes: [write('b', 1)] })
    expect(seen).to.deep.equal(['a'])
  })
})

describe('MemoryTableStore', () => {
  const tx = { checks: [], writes: [write('a', { n: 1 })] }
  const cases: readonly { name: string, fault: Partial<MemoryTableStore>, code: string, effect: boolean }[] = [
    { name: 'outage', fault: { outage: true }, code: 'platformUnavailable', effect: false },
    { name: 'lost answer', fault: { loseAnswers: 1 }, code: 'platformOutcomeUnknown', effect: true },
    { name: 'lost request', fault: { loseRequests: 1 }, code: 'platformOutcomeUnknown', effect: false }
  ]
  for (const { name, fault, code, effect } of cases) {
    it(`${name}: fails with ${code}, ${effect ? 'with' : 'without'} effect, once`, async () => {
      const store = Object.assign(new MemoryTableStore(), fault)
      const outcome = await store.transact(tx)
      expect(outcome.swap().map(err => err.code).orDefault('internal')).to.equal(code)
      expect(store.state.all('t')).to.have.length(effect ? 1 : 0)
      store.outage = false
      expect((await store.transact(tx)).isRight()).to.equal(true)
      expect(store.calls.transact).to.equal(2)
    })
  }

  it('copies rows, so that callers cannot change stored values', async () => {
    const store = new MemoryTableStore()
    const value = { n: 1 }
    await store.transact({ checks: [], writes: [write('a', value)] })
    value.n = 2
    const answer = (await store.read([{ table: 't', key: 'a' }])).unsafeCoerce();
    (answer.rows[0]!.value as { n: number }).n = 3
    expect(store.state.all('t')[0]!.value).to.deep.equal({ n: 1 })
  })
})
