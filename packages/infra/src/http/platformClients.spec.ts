/**
 * Responses of the object store, weight store and VM list, and the results or failures they map to.
 */
import { Just, Maybe, Nothing } from 'purify-ts'
import { expect } from 'chai'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { HttpObjectStore } from '../objects/httpObjectStore.js'
import { HttpVmList } from '../vmList/httpVmList.js'
import { HttpWeightStore } from '../weights/httpWeightStore.js'
import { LONG_TIMEOUT_MS, respondWith, dropMidResponse, dropConnection, startTestServer, type TestHandler } from './testServer.spec.js'

const INFO = { model: 'm', version: '1', bytes: 7 }
const ENTRY = { vm: 'a', domain: 'd', address: '10.0.0.1:1', state: 'gone' }

const calls = {
  get: (url: string) => new HttpObjectStore(url, 'vm-1', LONG_TIMEOUT_MS).get('a/b'),
  put: (url: string) => new HttpObjectStore(url, 'vm-1', LONG_TIMEOUT_MS).put('a/b', Buffer.from('x')),
  describe: (url: string) => new HttpWeightStore(url, 'vm-1', LONG_TIMEOUT_MS).describe('m', '1'),
  list: (url: string) => new HttpVmList(url, 'vm-1', LONG_TIMEOUT_MS).list()
}

const noContent: TestHandler = res => {
  res.statusCode = 204
  res.end()
}

/** Guards against a call that stays open for ever, as its connection closes without a response or an error. */
const switchProtocols: TestHandler = res => {
  res.socket?.end('HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n')
}

const cases: readonly [call: keyof typeof calls, title: string, handler: TestHandler, expected: unknown][] = [
  ['get', 'an object', res => { res.end('bytes') }, Just('bytes')],
  ['get', 'no object', respondWith(404, {}), Nothing],
  ['get', 'a truncated object', dropMidResponse, 'platformUnavailable'],
  ['get', 'a switch of protocols', switchProtocols, 'platformUnavailable'],
  ['put', 'a switch of protocols', switchProtocols, 'platformOutcomeUnknown'],
  ['put', 'a confirmation', noContent, undefined],
  ['put', 'a dropped connection', dropConnection, 'platformOutcomeUnknown'],
  ['put', 'an outage', respondWith(503, {}), 'platformUnavailable'],
  ['describe', 'a description', respondWith(200, INFO), INFO],
  ['describe', 'a different version', respondWith(200, { ...INFO, version: '2' }), 'platformUnavailable'],
  ['describe', 'no weights', respondWith(404, {}), 'notFound'],
  ['describe', 'a rate limit exceeded', respondWith(429, {}, { 'retry-after': '1' }), 'platformUnavailable'],
  ['list', 'a list', respondWith(200, { asOf: 1, now: 2, vms: [ENTRY] }), { asOf: 1, now: 2, vms: [ENTRY] }],
  ['list', 'an unknown state', respondWith(200, { asOf: 1, now: 2, vms: [{ ...ENTRY, state: 'ill' }] }), 'platformUnavailable'],
  ['list', 'a dropped connection', dropConnection, 'platformUnavailable']
]

function toComparable (result: unknown): unknown {
  if (result instanceof Failure) return result.code
  return Maybe.isMaybe(result) ? (result as Maybe<Buffer>).map(String) : result
}

describe('platform clients', () => {
  for (const [call, title, handler, expected] of cases) {
    it(`${call}: ${title}`, async () => {
      const server = await startTestServer(handler)
      const result = await calls[call](`http://${server.address}`)
      await server.close()
      expect(toComparable(result.extract())).to.deep.equal(expected)
    })
  }
})
