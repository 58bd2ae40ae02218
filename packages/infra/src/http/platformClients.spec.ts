/**
 * Responses of the object store, weight store and VM list, and the results or failures they map to.
 */
import { Just, Maybe, Nothing } from 'purify-ts'
import { expect } from 'chai'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { HttpObjectStore } from '../objects/httpObjectStore.js'
import { HttpVmList } from '../vmList/httpVmList.js'
import { HttpWeightStore } from '../weights/httpWeightStore.js'
import { AMPLE_MS, answers, breaksOff, drops, startTestServer, type TestHandler } from './testServer.spec.js'

const INFO = { model: 'm', version: '1', bytes: 7 }
const ENTRY = { vm: 'a', domain: 'd', address: '10.0.0.1:1', state: 'gone' }

const calls = {
  get: (url: string) => new HttpObjectStore(url, 'vm-1', AMPLE_MS).get('a/b'),
  put: (url: string) => new HttpObjectStore(url, 'vm-1', AMPLE_MS).put('a/b', Buffer.from('x')),
  describe: (url: string) => new HttpWeightStore(url, 'vm-1', AMPLE_MS).describe('m', '1'),
  list: (url: string) => new HttpVmList(url, 'vm-1', AMPLE_MS).list()
}

const noContent: TestHandler = res => {
  res.statusCode = 204
  res.end()
}

const cases: readonly [call: keyof typeof calls, title: string, handler: TestHandler, expected: unknown][] = [
  ['get', 'an object', res => { res.end('bytes') }, Just('bytes')],
  ['get', 'no object', answers(404, {}), Nothing],
  ['get', 'a truncated object', breaksOff, 'platformUnavailable'],
  ['put', 'a confirmation', noContent, undefined],
  ['put', 'a dropped connection', drops, 'platformOutcomeUnknown'],
  ['put', 'an outage', answers(503, {}), 'platformUnavailable'],
  ['describe', 'a description', answers(200, INFO), INFO],
  ['describe', 'a different version', answers(200, { ...INFO, version: '2' }), 'platformUnavailable'],
  ['describe', 'no weights', answers(404, {}), 'notFound'],
  ['describe', 'a rate limit exceeded', answers(429, {}, { 'retry-after': '1' }), 'platformUnavailable'],
  ['list', 'a list', answers(200, { asOf: 1, now: 2, vms: [ENTRY] }), { asOf: 1, now: 2, vms: [ENTRY] }],
  ['list', 'an unknown state', answers(200, { asOf: 1, now: 2, vms: [{ ...ENTRY, state: 'ill' }] }), 'platformUnavailable'],
  ['list', 'a dropped connection', drops, 'platformUnavailable']
]

function plain (result: unknown): unknown {
  if (result instanceof Failure) return result.code
  return Maybe.isMaybe(result) ? (result as Maybe<Buffer>).map(String) : result
}

describe('platform clients', () => {
  for (const [call, title, handler, expected] of cases) {
    it(`${call}: ${title}`, async () => {
      const server = await startTestServer(handler)
      const result = await calls[call](`http://${server.address}`)
      await server.close()
      expect(plain(result.extract())).to.deep.equal(expected)
    })
  }
})
