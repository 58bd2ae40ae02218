/**
 * Calls to application runners: complete responses, and the failure reported when there is none.
 */
import { gzipSync } from 'node:zlib'
import { expect } from 'chai'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { LONG_TIMEOUT_MS, respondWith, dropMidResponse, refusingAddress, dropConnection, neverRespond, SHORT_TIMEOUT_MS, startTestServer, type TestHandler } from '@rosemaryspread/infra/http/testServer.spec.js'
import type { ApplicationCall } from './applicationTypes.js'
import { HttpApplicationClient } from './httpApplicationClient.js'

const MAX_BYTES = 1000
const CALL: ApplicationCall = { requestId: 'req-1', method: 'POST', path: '/dispatch?gate=3', contentType: 'text/plain', body: Buffer.from('escort'), timeoutMs: LONG_TIMEOUT_MS }
const respondRedirect: TestHandler = res => {
  res.writeHead(303, { location: '/elsewhere' })
  res.end()
}
const respondCompressed: TestHandler = res => {
  res.writeHead(200, { 'content-encoding': 'gzip', 'content-type': 'text/plain' })
  res.end(gzipSync('whole'))
}

const cases: readonly [title: string, handler: TestHandler, expected: string][] = [
  ['a response', res => { res.end('done') }, '200 application/octet-stream done'],
  ['an error response', respondWith(500, 'no'), '500 application/json "no"'],
  ['a redirect', respondRedirect, '303 application/octet-stream '],
  ['a compressed response', respondCompressed, '200 text/plain whole'],
  ['a response at the size limit', res => { res.end('x'.repeat(MAX_BYTES)) }, `200 application/octet-stream ${'x'.repeat(MAX_BYTES)}`],
  ['a response above the size limit', res => { res.end('x'.repeat(MAX_BYTES + 1)) }, 'runnerUnreachable unknown'],
  ['an endless response', res => { setInterval(() => res.write('x'.repeat(MAX_BYTES)), 1).unref() }, 'runnerUnreachable unknown'],
  ['a truncated response', dropMidResponse, 'runnerUnreachable unknown'],
  ['a dropped connection', dropConnection, 'runnerUnreachable unknown'],
  ['no response within the timeout', neverRespond, 'runnerUnreachable unknown']
]

async function run (address: string, call: ApplicationCall): Promise<string> {
  const client = new HttpApplicationClient({ vm: 'vm-1', connectMs: LONG_TIMEOUT_MS, maxBytes: MAX_BYTES })
  const result = (await client.call(address, call)).extract()
  client.close()
  return result instanceof Failure ? `${result.code} ${result.ran}` : `${result.status} ${result.contentType} ${result.body.toString()}`
}

describe('HttpApplicationClient', () => {
  for (const [title, handler, expected] of cases) {
    it(`${title}, sent once`, async () => {
      const server = await startTestServer(handler)
      expect(await run(server.address, { ...CALL, timeoutMs: handler === neverRespond ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS })).to.equal(expected)
      await server.close()
      expect(server.calls).to.have.length(1)
      expect(server.calls[0]).to.include({ method: 'POST', url: CALL.path, body: 'escort' })
      expect(server.calls[0]?.headers).to.include({ 'x-request-id': 'req-1', 'x-vm': 'vm-1', 'content-type': 'text/plain' })
    })
  }

  it('a connection that is dropped after it was used before: it may have run', async () => {
    let calls = 0
    const server = await startTestServer((...args) => {
      calls += 1
      if (calls === 1) args[0].end('done')
      else dropConnection(...args)
    })
    const client = new HttpApplicationClient({ vm: 'vm-1', connectMs: LONG_TIMEOUT_MS, maxBytes: MAX_BYTES })
    await client.call(server.address, { ...CALL, timeoutMs: LONG_TIMEOUT_MS })
    const second = (await client.call(server.address, { ...CALL, timeoutMs: LONG_TIMEOUT_MS })).extract()
    client.close()
    await server.close()
    expect(calls).to.equal(2)
    expect(second).to.include({ code: 'runnerUnreachable', ran: 'unknown' })
  })

  it('an address without a server: it has not run', async () => {
    const server = await startTestServer(dropConnection)
    await server.close()
    expect(await run(server.address, { ...CALL, timeoutMs: LONG_TIMEOUT_MS })).to.equal('runnerUnreachable no')
  })

  const retryAfterCases: ReadonlyArray<{ readonly status: number, readonly retryAfter: string, readonly pauseMs: number | undefined }> = [
    { status: 503, retryAfter: '2.5', pauseMs: 2_500 },
    { status: 429, retryAfter: '1', pauseMs: 1_000 },
    { status: 503, retryAfter: 'soon', pauseMs: undefined },
    { status: 503, retryAfter: '', pauseMs: undefined },
    { status: 200, retryAfter: '3', pauseMs: undefined }
  ]
  for (const { status, retryAfter, pauseMs } of retryAfterCases) {
    it(`parses a pause of ${pauseMs ?? 'no'} ms from status ${status} with Retry-After '${retryAfter}'`, async () => {
      const server = await startTestServer(res => {
        res.writeHead(status, { 'retry-after': retryAfter })
        res.end()
      })
      const client = new HttpApplicationClient({ vm: 'vm-1', connectMs: LONG_TIMEOUT_MS, maxBytes: MAX_BYTES })
      const answer = (await client.call(server.address, CALL)).unsafeCoerce()
      client.close()
      await server.close()
      expect([answer.status, answer.pauseMs]).to.deep.equal([status, pauseMs])
    })
  }

  it('reports that nothing ran when the connection is refused', async () => {
    expect(await run(await refusingAddress(), CALL)).to.equal('runnerUnreachable no')
  })

  it('sends GET without a body, and never calls another host named in the path', async () => {
    const server = await startTestServer(res => { res.end('ok') })
    expect(await run(server.address, { ...CALL, method: 'GET', body: Buffer.alloc(0) })).to.contain('ok')
    expect(await run(server.address, { ...CALL, path: '//127.0.0.2:1/x' })).to.contain('ok')
    expect(await run(server.address, { ...CALL, path: '@127.0.0.2:1/x' })).to.equal('badRequest no')
    await server.close()
    expect(server.calls).to.have.length(2)
  })
})
