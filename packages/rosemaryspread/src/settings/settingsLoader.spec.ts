/**
 * Guards against settings errors that are accepted, or reported one at a time.
 */
import { expect } from 'chai'
import { failureOf } from '@rosemaryspread/decisions/codes/failure.js'
import { parseSettings } from './settingsLoader.js'

const good = `
vm: quito-1
domain: quito-centro
region: sierra-norte
listen: { callers: '127.0.0.1:7101', operators: '127.0.0.1:7201', peers: '127.0.0.1:7301' }
platform: { table: 'http://127.0.0.1:7001', objects: 'http://127.0.0.1:7002', weights: 'http://127.0.0.1:7003', vmList: 'http://127.0.0.1:7004' }
peerKeys: [ 'a-fleet-key-of-some-length' ]
`

const cases = [
  { name: 'no errors', text: good, errors: [] },
  { name: 'an unknown key', text: `${good}colour: red\n`, errors: ['colour: unknown setting'] },
  { name: 'a value that is not one of the options', text: `${good}logLevel: loud\n`, errors: ['logLevel: use one of debug, info, warn, error'] },
  { name: 'a number out of range', text: `${good}drainTimeoutMs: -1\n`, errors: [/^drainTimeoutMs: /] },
  { name: 'a wrong type', text: good.replace('quito-1', '[1]'), errors: [/^vm: /] },
  { name: 'an address without a port', text: good.replace('127.0.0.1:7101', 'localhost'), errors: ['listen.callers: use IPv4:port, such as 10.0.0.4:7000'] },
  { name: 'an address with an octet above 255', text: good.replace('127.0.0.1:7201', '999.0.0.1:7201'), errors: [/^listen\.operators: use IPv4:port/] },
  { name: 'a port above 65535', text: good.replace('127.0.0.1:7301', '127.0.0.1:99999'), errors: [/^listen\.peers: use IPv4:port/] },
  {
    name: 'three errors at once',
    text: `${good.replace('127.0.0.1:7301', 'here').replace('domain: quito-centro\n', '')}budgets: { flush: 3 }\n`,
    errors: [/^domain: /, /^listen\.peers: use IPv4:port/, 'budgets.flush: unknown setting']
  },
  { name: 'broken YAML', text: 'vm: [', errors: [/.+/] }
]

describe('settings', () => {
  for (const { name, text, errors } of cases) {
    it(`reports ${name}`, () => {
      const found = failureOf(parseSettings(text))?.errors ?? []
      expect(found).to.have.length(errors.length)
      errors.forEach((expected, index) => {
        if (typeof expected === 'string') expect(found[index]).to.equal(expected)
        else expect(found[index]).to.match(expected)
      })
    })
  }
})
