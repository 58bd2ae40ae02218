/**
 * History records derived from committed rows.
 */
import { expect } from 'chai'
import { HistoryLog } from '../control/historyLog.js'
import { TableHistory } from './tableHistory.js'
import { TableState } from './tableState.js'

const bill = (requestId: string, tokens: number) => ({ requestId, budget: 'b', team: 't', tokens, runner: 'e' })
const segment = (...bills: ReturnType<typeof bill>[]) => ({ holder: 'vm~1', seq: 0, bills })
const claim = (holder: string) => ({ requestId: 'r', holder })
const topUp = { operationId: 'o', budget: 'b', tokens: 5, author: 'a' }

type Write = readonly [table: string, key: string, value: unknown]

describe('TableHistory', () => {
  const cases: readonly { name: string, writes: readonly Write[], kinds: string[] }[] = [
    { name: 'a top-up', writes: [['topups', 'o', topUp]], kinds: ['paid'] },
    { name: 'a top-up rewritten without change', writes: [['topups', 'o', topUp], ['topups', 'o', topUp]], kinds: ['paid'] },
    { name: 'two bills in a segment', writes: [['segments', 's', segment(bill('r', 1), bill('q', 2))]], kinds: ['billed', 'billed'] },
    { name: 'a segment that grew', writes: [['segments', 's', segment(bill('r', 1))], ['segments', 's', segment(bill('r', 1), bill('q', 2))]], kinds: ['billed', 'billed'] },
    { name: 'the same bill in two segments', writes: [['segments', 's', segment(bill('r', 1))], ['segments', 's2', segment(bill('r', 1))]], kinds: ['billed', 'billed'] },
    { name: 'a claim taken over', writes: [['claims', 'r', claim('vm~1')], ['claims', 'r', claim('vm~2')]], kinds: ['claimed', 'claimed'] },
    { name: 'a claim deleted and created again', writes: [['claims', 'r', claim('vm~1')], ['claims', 'r', null], ['claims', 'r', claim('vm~1')]], kinds: ['claimed', 'claimed'] },
    { name: 'a claim that got its answer', writes: [['claims', 'r', claim('vm~1')], ['claims', 'r', { ...claim('vm~1'), answer: 1 }]], kinds: ['claimed'] },
    { name: 'two patches as one version', writes: [['configs', '1', { version: 1, patchId: 'p' }], ['configs', '1', { version: 1, patchId: 'q' }]], kinds: ['configAccepted', 'configAccepted'] },
    { name: 'a lease renewed, then acquired by another holder', writes: [['leases', 'l', { holder: 'a', fencing: 1 }], ['leases', 'l', { holder: 'a', fencing: 1, at: 2 }], ['leases', 'l', { holder: 'b', fencing: 2 }]], kinds: ['leaseTaken', 'leaseTaken'] },
    { name: 'a write under a lease', writes: [['orders', 'x', { holder: 'a', fencing: 1, role: 'placement' }]], kinds: ['leaseWrite'] },
    { name: 'rows of other tables', writes: [['vms', 'x', { holder: 'a' }], ['budgets', 'b', { paid: 1 }]], kinds: [] }
  ]
  for (const { name, writes, kinds } of cases) {
    it(`${name}: ${kinds.join(', ') || 'nothing'}`, () => {
      const log = new HistoryLog()
      const history = new TableHistory(log)
      const state = new TableState(() => 7)
      state.onCommit(rows => history.recordRows(rows))
      for (const [table, key, value] of writes) state.transact({ checks: [], writes: [{ table, key, value }] })
      expect(log.records.map(({ kind }) => kind)).to.deep.equal(kinds)
    })
  }
})
