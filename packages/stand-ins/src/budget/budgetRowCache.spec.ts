/**
 * Transactions planned on cached rows that the holder wrote last: they need no read before the write, and a
 * concurrent write by another writer is not lost.
 */
import { expect } from 'chai'
import { Right, type Either } from 'purify-ts'
import * as z from 'zod'
import type { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import type { RowSet } from '@rosemaryspread/decisions/budget/rowSet.js'
import type { ReadAnswer, RowKey } from '@rosemaryspread/infra/table/tableTypes.js'
import { BudgetRowCache } from 'rosemaryspread/budget/budgetRowCache.js'
import { BudgetTable } from 'rosemaryspread/budget/budgetTable.js'
import { MemoryTableStore } from '../table/memoryTableStore.js'

const holderRow = { table: 'allotments', key: 'b/own' }
const sharedRow = { table: 'budgets', key: 'b' }

class CountingStore extends MemoryTableStore {
  /** Number of rows read. */
  reads = 0

  override async read (keys: readonly RowKey[]): Promise<Either<Failure, ReadAnswer>> {
    this.reads += keys.length
    return await super.read(keys)
  }
}

interface CacheCase {
  readonly name: string
  readonly keys: readonly RowKey[]
  /** Runs between the first and the second transaction. */
  readonly between?: (store: MemoryTableStore) => Promise<unknown>
  readonly reads: number
  readonly value: number
}

const cases: readonly CacheCase[] = [
  { name: 'does not read a row that only the holder writes', keys: [holderRow], reads: 1, value: 2 },
  { name: 'reads only shared rows', keys: [holderRow, sharedRow], reads: 3, value: 2 },
  {
    name: 'reads all rows again after a conflict in a transaction with a shared row',
    keys: [holderRow, sharedRow],
    between: async store => await store.transact({ checks: [], writes: [{ ...holderRow, value: 10 }] }),
    reads: 5,
    value: 11
  },
  {
    name: 'reads again after another writer changed the cached row',
    keys: [holderRow],
    between: async store => await store.transact({ checks: [], writes: [{ ...holderRow, value: 10 }] }),
    reads: 2,
    value: 11
  },
  {
    name: 'reads again after the cached row was deleted',
    keys: [holderRow],
    between: async store => await store.transact({ checks: [], writes: [{ ...holderRow, value: null }] }),
    reads: 2,
    value: 1
  }
]

function increment (rows: RowSet): Either<Failure, { readonly kind: 'write' }> {
  rows.set(holderRow.table, holderRow.key, (rows.get(z.number(), holderRow.table, holderRow.key) ?? 0) + 1)
  return Right({ kind: 'write' })
}

describe('transactions on cached rows', () => {
  for (const { name, keys, between, reads, value } of cases) {
    it(name, async () => {
      const store = new CountingStore()
      const cache = new BudgetRowCache(key => key.table === holderRow.table)
      const table = new BudgetTable(store, { now: () => ({ mono: 0, wall: 0 }) }, cache)
      await table.run('first', keys, increment)
      await between?.(store)
      await table.run('second', keys, increment)
      const row = (await store.read([holderRow])).unsafeCoerce().rows[0]
      expect([store.reads - 1, row?.value]).to.deep.equal([reads, value])
    })
  }

  it('finishes without a write only on rows that were read', async () => {
    const store = new CountingStore()
    const table = new BudgetTable(store, { now: () => ({ mono: 0, wall: 0 }) }, new BudgetRowCache(() => true))
    await table.run('first', [holderRow], increment)
    await store.transact({ checks: [], writes: [{ ...holderRow, value: 10 }] })
    let seen: number | undefined
    await table.run('second', [holderRow], rows => {
      seen = rows.get(z.number(), holderRow.table, holderRow.key)
      return Right({ kind: 'done' })
    })
    expect(seen).to.equal(10)
  })
})
