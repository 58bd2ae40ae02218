/**
 * Invalid patches are rejected with every error, and an accepted patch replays to the same version.
 */
import { expect } from 'chai'
import fc from 'fast-check'
import { canonicalJson, documentDigest } from './configDigest.js'
import { initialConfig, verifyDocument, preparePatch, replayRows, type VerifiedConfig, type PreparedPatch } from './configPatch.js'
import type { VersionRow } from './configRows.js'

type Ops = readonly unknown[]

const key = (digit: string): string => digit.repeat(64)
const add = (path: string, value: unknown): unknown => ({ op: 'add', path, value })
const team = (extra: object = {}): object => ({ displayName: 'T', budget: 'b', ...extra })
const runner = (address: string, extra: object = {}): object => ({ address, domain: 'd1', ...extra })

const prepare = (base: VerifiedConfig, ops: Ops): PreparedPatch => preparePatch(base, ops, 0).unsafeCoerce()
const base = prepare(initialConfig(), [
  add('/models/m1', {}),
  add('/services/s1', { runners: { a1: runner('10.0.0.9:80') } }),
  add('/teams/t1', team({ models: ['m1'], services: ['s1'], keyHashes: [key('a')] })),
  add('/runners/r1', runner('10.0.0.1:80', { models: ['m1'] }))
]).next

function rowOf ({ patch, delta, next }: PreparedPatch): VersionRow {
  const { version, digest } = next
  return structuredClone({ version, digest, patchId: `p${version}`, author: 'a', at: 1, patch: [...patch], delta: [...delta] })
}

describe('preparePatch', () => {
  const refused: readonly { name: string, ops: Ops, code: string, errors: string[] }[] = [
    { name: 'unknown operation', ops: [{ op: 'set', path: '/teams/t1' }], code: 'patchInvalid', errors: ['operation 0/op:'] },
    { name: 'no value', ops: [{ op: 'add', path: '/teams/t2' }], code: 'patchInvalid', errors: ['operation 0/value:'] },
    { name: 'missing path', ops: [add('/models/m2', {}), { op: 'remove', path: '/teams/nobody' }], code: 'patchInvalid', errors: ['operation 1 remove /teams/nobody: OPERATION_PATH_UNRESOLVABLE'] },
    { name: 'path without slash', ops: [add('teams', {})], code: 'patchInvalid', errors: ['operation 0 add teams:'] },
    { name: 'failed test', ops: [{ op: 'test', path: '/teams/t1/weight', value: 9 }], code: 'patchInvalid', errors: ['operation 0 test /teams/t1/weight: TEST_OPERATION_FAILED'] },
    { name: 'prototype in path', ops: [add('/__proto__/x', 1)], code: 'patchInvalid', errors: ['operation 0 /__proto__/x:'] },
    { name: 'constructor in from', ops: [{ op: 'copy', path: '/teams/t2', from: '/constructor/prototype' }], code: 'patchInvalid', errors: ['operation 0 /teams/t2:', 'operation 0 /teams/t2:'] },
    { name: 'escaped prototype', ops: [add('/teams/t1/a~1b/__proto__', 1)], code: 'patchInvalid', errors: ['operation 0 /teams/t1/a~1b/__proto__:'] },
    { name: 'prototype in value', ops: [add('/teams/t2', JSON.parse('{"a":[{"__proto__":{}}]}'))], code: 'patchInvalid', errors: ['operation 0 /teams/t2:'] },
    { name: 'root replaced by text', ops: [{ op: 'replace', path: '', value: 'x' }], code: 'patchInvalid', errors: ['/: expected'] },
    { name: 'unknown section', ops: [add('/zones', {})], code: 'configInvalid', errors: ['/zones: unknown member'] },
    { name: 'section of wrong type', ops: [add('/teams', [])], code: 'configInvalid', errors: ['/teams: expected an object'] },
    { name: 'bad id', ops: [add('/teams/Big~1Team', team())], code: 'configInvalid', errors: ['/teams/Big~1Team: use 1 to 63'] },
    { name: 'two bad members', ops: [add('/teams/t1/weight', -1), add('/teams/t2', { displayName: 'x', budget: 7 })], code: 'configInvalid', errors: ['/teams/t1/weight:', '/teams/t2/budget:'] },
    { name: 'bad limit', ops: [add('/limits/addressKeepMs', 0)], code: 'configInvalid', errors: ['/limits/addressKeepMs:'] },
    { name: 'unknown model of a team', ops: [add('/teams/t2', team({ models: ['m1', 'm9'] }))], code: 'configInvalid', errors: ['/teams/t2/models/1: there is no'] },
    { name: 'unknown service of a team', ops: [add('/teams/t2', team({ services: ['s9'] }))], code: 'configInvalid', errors: ['/teams/t2/services/0: there is no'] },
    { name: 'model in use removed', ops: [{ op: 'remove', path: '/models/m1' }], code: 'configInvalid', errors: ['/teams/t1/models/0:', '/runners/r1/models/0:'] },
    { name: 'address used twice', ops: [add('/runners/r2', runner('10.0.0.9:80'))], code: 'configInvalid', errors: ['/services/s1/runners/a1/address:'] },
    { name: 'address out of range', ops: [add('/runners/r2', runner('10.0.0.300:80')), add('/runners/r3', runner('10.0.0.3:0'))], code: 'configInvalid', errors: ['/runners/r2/address:', '/runners/r3/address:'] },
    { name: 'key of two teams', ops: [add('/teams/t2', team({ keyHashes: [key('b'), key('a')] }))], code: 'configInvalid', errors: ['/teams/t2/keyHashes/1:'] },
    { name: 'too large', ops: [add('/teams/t2', team({ displayName: 'x'.repeat(200_000) }))], code: 'bodyTooLarge', errors: [] }
  ]
  for (const { name, ops, code, errors } of refused) {
    it(`refuses: ${name}`, () => {
      const failure = preparePatch(base, ops, 0).swap().unsafeCoerce()
      expect(failure.code).to.equal(code)
      expect(failure.errors).to.have.length(errors.length)
      for (const [index, start] of errors.entries()) expect(failure.errors[index]).to.match(new RegExp('^' + start.replace(/[/.~]/g, '\\$&')))
    })
  }

  const accepted: readonly { name: string, ops: Ops, path: readonly string[], value: unknown }[] = [
    { name: 'a default made explicit', ops: [{ op: 'replace', path: '/limits/requestTimeoutMs', value: 5 }], path: ['limits', 'requestTimeoutMs'], value: 5 },
    { name: 'a member of an entry', ops: [add('/teams/t1/weight', 3)], path: ['teams', 't1', 'weight'], value: 3 },
    { name: 'a new entry, defaults filled in', ops: [add('/models/m2', {})], path: ['models', 'm2', 'maxTokens'], value: 1024 },
    { name: 'a move', ops: [{ op: 'move', from: '/teams/t1', path: '/teams/t2' }, add('/teams/t2/weight', 2)], path: ['teams', 't2', 'weight'], value: 2 },
    { name: 'a copied section', ops: [{ op: 'copy', from: '/teams', path: '/teams' }, add('/teams/t1/weight', 4)], path: ['teams', 't1', 'weight'], value: 4 },
    { name: 'a replaced section', ops: [{ op: 'replace', path: '/teams', value: { t9: team() } }], path: ['teams', 't9', 'weight'], value: 1 }
  ]
  for (const { name, ops, path, value } of accepted) {
    it(`accepts ${name}; the base is unchanged and the row replays to the same version`, () => {
      const before = canonicalJson(base.document)
      const prepared = prepare(base, ops)
      expect(path.reduce<unknown>((at, part) => (at as Record<string, unknown>)[part], prepared.next.config)).to.equal(value)
      expect(canonicalJson(base.document)).to.equal(before)
      const copy = verifyDocument({ ...base, document: JSON.parse(before) }).unsafeCoerce()
      const replayed = replayRows(copy, [rowOf(prepared)]).unsafeCoerce()
      expect(canonicalJson(replayed.config)).to.equal(canonicalJson(prepared.next.config))
    })
  }

  it('shares unchanged entries between versions and freezes them', () => {
    const { next } = prepare(base, [add('/teams/t1/weight', 3)])
    expect(next.config.runners.r1).to.equal(base.config.runners.r1)
    expect(() => { next.config.teams.t1!.models.push('x') }).to.throw(TypeError)
    expect(next.config.teams.toString).to.equal(undefined)
  })
})

describe('replayRows', () => {
  const first = prepare(base, [add('/models/m2', {})])
  const second = prepare(first.next, [add('/models/m3', {})])
  const rows = [rowOf(first), rowOf(second)]
  const cases: readonly { name: string, rows: VersionRow[], version: number | undefined }[] = [
    { name: 'no row', rows: [], version: base.version },
    { name: 'two rows', rows, version: base.version + 2 },
    { name: 'a gap', rows: rows.slice(1), version: undefined },
    { name: 'another order', rows: [...rows].reverse(), version: undefined },
    { name: 'a wrong digest', rows: [{ ...rows[0]!, digest: key('0') }], version: undefined },
    { name: 'a changed delta', rows: [{ ...rows[0]!, delta: rows[1]!.delta }], version: undefined }
  ]
  for (const { name, rows, version } of cases) {
    it(`${name}: ${version === undefined ? 'refused' : 'applied'}`, () => {
      expect(replayRows(base, rows).map(held => held.version).toMaybe().extract()).to.equal(version)
    })
  }
})

describe('documentDigest', () => {
  it('depends on content but not on member order', () => {
    const section = fc.dictionary(fc.string(), fc.jsonValue())
    fc.assert(fc.property(fc.dictionary(fc.string(), section), section, (document, other) => {
      const reversed = (value: object): object => Object.fromEntries(Object.entries(value).reverse())
      const reordered = Object.fromEntries(Object.entries(reversed(document)).map(([name, value]) => [name, reversed(value)]))
      expect(documentDigest(reordered)).to.equal(documentDigest(document))
      const same = canonicalJson({ a: other }) === canonicalJson(document)
      expect(documentDigest({ a: other }) === documentDigest(document)).to.equal(same)
    }), { seed: 7, numRuns: 200 })
  })
})
