/**
 * Guards against digests that confuse different requests or differ for the same request.
 */
import { expect } from 'chai'
import { requestDigest } from './requestDigest.js'

interface DigestCase {
  readonly name: string
  readonly path?: string
  readonly body?: string
  readonly team?: string | undefined
  readonly isSame: boolean
}

const base = { path: '/chat/1', body: 'hola', team: 'viajeros' }
const cases: readonly DigestCase[] = [
  { name: 'the same path, body and team', isSame: true },
  { name: 'another path', path: '/chat/2', isSame: false },
  { name: 'another body', body: 'adios', isSame: false },
  { name: 'another team', team: 'otros', isSame: false },
  { name: 'no team', team: undefined, isSame: false },
  { name: 'the same text with other field boundaries', path: '/chat/1 8', team: 'viajeros hola', body: '', isSame: false }
]

describe('requestDigest', () => {
  for (const test of cases) {
    it(`is ${test.isSame ? 'equal' : 'different'} for ${test.name}`, () => {
      const { path, body, team } = { ...base, ...test }
      const digest = requestDigest({ path, body: Buffer.from(body) }, team)
      const baseDigest = requestDigest({ path: base.path, body: Buffer.from(base.body) }, base.team)
      expect(digest === baseDigest).to.equal(test.isSame)
      expect(digest).to.have.length(22)
    })
  }
})
