/**
 * All kinds of responses of the table service, including none, and the failures they map to.
 */
import { expect } from 'chai'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { LONG_TIMEOUT_MS, respondWith, dropMidResponse, refusingAddress, dropConnection, neverRespond, SHORT_TIMEOUT_MS, startTestServer, type TestHandler } from '../http/testServer.spec.js'
import { HttpTableStore } from './httpTableStore.js'

const KEY = { table: 'budgets', key: 'one' }
const ROW = { ...KEY, version: 3, value: { paid: 5 }, updatedAt: 10 }
const TX = { checks: [{ ...KEY, version: 3 }], writes: [{ ...KEY, value: { paid: 6 } }] }

type Operation = 'read' | 'scan' | 'transact'

async function run (baseUrl: string, operation: Operation, timeoutMs = LONG_TIMEOUT_MS): Promise<unknown> {
  const store = new HttpTableStore(baseUrl, 'vm-1', timeoutMs)
  const calls = {
    read: () => store.read([KEY]),
    scan: () => store.scan({ table: 'budgets', prefix: 'o', limit: 10 }),
    transact: () => store.transact(TX)
  }
  const result = await calls[operation]()
  store.close()
  return result.extract()
}

function outcome (result: unknown): string {
  return result instanceof Failure ? `${result.code} ${result.ran}` : 'right'
}

const respondRedirect: TestHandler = (res, call, index) => {
  if (index > 0) return respondWith(200, { version: 1, now: 1 })(res, call, index)
  res.writeHead(303, { location: '/elsewhere' })
  res.end()
}

const cases: readonly [title: string, operation: Operation, handler: TestHandler, expected: string][] = [
  ['a commit', 'transact', respondWith(200, { version: 4, now: 11 }), 'right'],
  ['a conflict', 'transact', respondWith(409, { conflicts: [KEY] }), 'platformConflict no'],
  ['a malformed conflict', 'transact', respondWith(409, { error: 'other service' }), 'platformOutcomeUnknown unknown'],
  ['an outage', 'transact', respondWith(503, {}), 'platformUnavailable no'],
  ['an unexpected status', 'transact', respondWith(500, {}), 'platformOutcomeUnknown unknown'],
  ['a redirect', 'transact', respondRedirect, 'platformOutcomeUnknown unknown'],
  ['an invalid response', 'transact', respondWith(200, { version: 'four' }), 'platformOutcomeUnknown unknown'],
  ['a response that is not JSON', 'transact', res => { res.end('<html>') }, 'platformOutcomeUnknown unknown'],
  ['a dropped connection', 'transact', dropConnection, 'platformOutcomeUnknown unknown'],
  ['a truncated response', 'transact', dropMidResponse, 'platformOutcomeUnknown unknown'],
  ['no response within the timeout', 'transact', neverRespond, 'platformOutcomeUnknown unknown'],
  ['a row', 'read', respondWith(200, { rows: [ROW], now: 11 }), 'right'],
  ['a missing row', 'read', respondWith(200, { rows: [null], now: 11 }), 'right'],
  ['too few rows', 'read', respondWith(200, { rows: [], now: 11 }), 'platformUnavailable no'],
  ['a different row', 'read', respondWith(200, { rows: [{ ...ROW, key: 'two' }], now: 11 }), 'platformUnavailable no'],
  ['an outage', 'read', respondWith(503, {}), 'platformUnavailable no'],
  ['a dropped connection', 'read', dropConnection, 'platformUnavailable no'],
  ['a truncated response', 'read', dropMidResponse, 'platformUnavailable no'],
  ['no response within the timeout', 'read', neverRespond, 'platformUnavailable no'],
  ['a row', 'scan', respondWith(200, { rows: [ROW], now: 11 }), 'right'],
  ['a row outside the prefix', 'scan', respondWith(200, { rows: [{ ...ROW, key: 'two' }], now: 11 }), 'platformUnavailable no']
]

describe('HttpTableStore', () => {
  for (const [title, operation, handler, expected] of cases) {
    it(`${operation}: ${title} is ${expected}, sent once`, async () => {
      const server = await startTestServer(handler)
      const result = await run(`http://${server.address}`, operation, handler === neverRespond ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS)
      await server.close()
      expect(outcome(result)).to.equal(expected)
      expect(server.calls).to.have.length(1)
      expect(server.calls[0]?.headers['x-vm']).to.equal('vm-1')
    })
  }

  it('reports that nothing was written when the connection is refused', async () => {
    expect(outcome(await run(`http://${await refusingAddress()}`, 'transact'))).to.equal('platformUnavailable no')
  })

  it('reports the conflicting rows and the retry time', async () => {
    const handlers = [respondWith(409, { conflicts: [KEY] }), respondWith(503, {}, { 'retry-after': '2' })]
    const server = await startTestServer((res, call, index) => handlers[index]?.(res, call, index))
    const conflict = await run(`http://${server.address}`, 'transact') as Failure
    const outage = await run(`http://${server.address}`, 'transact') as Failure
    await server.close()
    expect(conflict.errors).to.deep.equal(['budgets/one'])
    expect(outage.retryAfterMs).to.equal(2000)
  })

  it('treats a broken keep-alive connection as an unknown outcome', async () => {
    const server = await startTestServer((res, call, index) => index === 0 ? respondWith(200, { version: 4, now: 1 })(res, call, index) : dropConnection(res, call, index))
    const store = new HttpTableStore(`http://${server.address}`, 'vm-1', LONG_TIMEOUT_MS)
    const results = [await store.transact(TX), await store.transact(TX)]
    store.close()
    await server.close()
    expect(server.connections()).to.equal(1)
    expect(results.map(result => outcome(result.extract()))).to.deep.equal(['right', 'platformOutcomeUnknown unknown'])
  })
})
