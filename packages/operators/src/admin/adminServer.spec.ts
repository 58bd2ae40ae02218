/**
 * The admin API over loopback connections, with a fake service: authentication, validation and responses.
 */
import { expect } from 'chai'
import got from 'got'
import { Left, Right } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { createClientGuard } from '@rosemaryspread/http/server/clientGuard.fixture.js'
import { httpLimitsSchema } from '@rosemaryspread/http/server/httpLimits.js'
import { AdminServer } from './adminServer.js'
import { fakeAdminService, fakeVms } from './fakeAdminService.spec.js'

interface RequestCase {
  readonly title: string
  readonly key?: string
  readonly method?: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly body?: unknown
  readonly status: number
  /** Name of the problem, or the whole response body. */
  readonly answer: unknown
  readonly errors?: readonly string[]
}

const patch = { base: 4, patchId: 'p1', author: 'ana', patch: [{ op: 'remove', path: '/teams/x' }] }
const topUp = { operationId: 'o1', tokens: 500, author: 'ana' }
const budget = { budget: 'viajes', paid: 1000, spent: 200, allotted: 300, inDoubt: 0, holders: [] }

const cases: readonly RequestCase[] = [
  { title: 'a missing key', key: '', path: '/admin/v1/vms', status: 401, answer: 'unauthorized' },
  { title: 'an invalid key', key: 'x', path: '/admin/v1/vms', status: 401, answer: 'unauthorized' },
  { title: 'a missing key on an unknown path', key: '', path: '/admin/v1/x', status: 404, answer: 'notFound' },
  { title: 'a wrong method', method: 'PUT', path: '/admin/v1/config', status: 405, answer: 'methodNotAllowed' },
  { title: 'config', path: '/admin/v1/config', status: 200, answer: { version: 4, config: { teams: {} } } },
  { title: 'config of a version', path: '/admin/v1/config?version=2', status: 200, answer: { version: 2, config: { teams: {} } } },
  { title: 'config of an invalid version', path: '/admin/v1/config?version=two', status: 400, answer: 'badRequest', errors: ['version: use a whole number'] },
  { title: 'an unknown parameter', path: '/admin/v1/config?v=2', status: 400, answer: 'badRequest', errors: ['v: this member is not known'] },
  { title: 'config of an unknown version', path: '/admin/v1/config?version=99', status: 404, answer: 'notFound' },
  { title: 'a patch', method: 'POST', path: '/admin/v1/config/patches', body: patch, status: 200, answer: { version: 5, repeated: false, dryRun: false } },
  { title: 'a patch by a viewer', key: 'view', method: 'POST', path: '/admin/v1/config/patches', body: patch, status: 403, answer: 'forbidden' },
  {
    title: 'a patch with several invalid fields',
    method: 'POST',
    path: '/admin/v1/config/patches',
    body: { base: -1, patchId: '', patch: [], more: 1 },
    status: 400,
    answer: 'badRequest',
    errors: ['base: ', 'patchId: ', 'author: ', 'patch: ', 'more: this member is not known']
  },
  { title: 'a patch on an outdated base', method: 'POST', path: '/admin/v1/config/patches', body: { ...patch, base: 3 }, status: 409, answer: 'configConflict' },
  { title: 'the history', path: '/admin/v1/config/history?limit=1', status: 200, answer: { entries: [{ version: 4, patchId: 'p0', author: 'ana', at: 0, patch: [{}] }] } },
  { title: 'a history with limit 0', path: '/admin/v1/config/history?limit=0', status: 400, answer: 'badRequest', errors: ['limit: use 1 to 1000'] },
  {
    title: 'a status that marks lagging VMs',
    path: '/admin/v1/config/status',
    status: 200,
    answer: {
      version: 5,
      vms: [
        { vm: 'q1', domain: 'quito-centro', state: 'live', configVersion: 5, lags: false, ageMs: 100 },
        { vm: 'c1', domain: 'cumbaya', state: 'live', configVersion: 3, lags: true, ageMs: 9000 },
        { vm: 't1', domain: 'tababela', state: 'leaving', configVersion: null, lags: true, ageMs: 50 },
        { vm: 't2', domain: 'tababela', state: 'gone', configVersion: 2, lags: false, ageMs: 90_000 }
      ]
    }
  },
  { title: 'a budget', key: 'view', path: '/admin/v1/budgets/viajes', status: 200, answer: budget },
  { title: 'an unknown budget', path: '/admin/v1/budgets/nada', status: 404, answer: 'budgetUnknown' },
  { title: 'a top-up', method: 'POST', path: '/admin/v1/budgets/viajes/topups', body: topUp, status: 200, answer: { ...budget, paid: 1500 } },
  { title: 'a top-up by a viewer', key: 'view', method: 'POST', path: '/admin/v1/budgets/viajes/topups', body: topUp, status: 403, answer: 'forbidden' },
  { title: 'a top-up of half a token', method: 'POST', path: '/admin/v1/budgets/viajes/topups', body: { ...topUp, tokens: 0.5 }, status: 400, answer: 'badRequest', errors: ['tokens: '] },
  { title: 'a top-up of 0 tokens', method: 'POST', path: '/admin/v1/budgets/viajes/topups', body: { ...topUp, tokens: 0 }, status: 400, answer: 'badRequest', errors: ['tokens: '] },
  { title: 'a reduction', method: 'POST', path: '/admin/v1/budgets/viajes/topups', body: { ...topUp, tokens: -400 }, status: 200, answer: { ...budget, paid: 600 } },
  { title: 'a reduction by a viewer', key: 'view', method: 'POST', path: '/admin/v1/budgets/viajes/topups', body: { ...topUp, tokens: -400 }, status: 403, answer: 'forbidden' },
  { title: 'a reduction below the committed tokens', method: 'POST', path: '/admin/v1/budgets/viajes/topups', body: { ...topUp, tokens: -501 }, status: 409, answer: 'budgetBelowCommitted' },
  { title: 'the VMs', path: '/admin/v1/vms', status: 200, answer: { vms: fakeVms } },
  { title: 'a service that throws', path: '/admin/v1/runners', status: 500, answer: 'internal' },
  { title: 'the addresses', path: '/admin/v1/addresses', status: 200, answer: { addresses: ['http://127.0.0.1:8001'], keepMs: 10000 } }
]

describe('AdminServer', () => {
  const faults: unknown[] = []
  const service = {
    ...fakeAdminService(),
    runners: async () => { throw new Error('bug') },
    history: async () => Right([{ version: 4, patchId: 'p0', author: 'ana', at: 0, patch: [{}] }]),
    config: async (version?: number) => version === 99
      ? Left(new Failure('notFound', 'no version 99', { ran: 'no' }))
      : Right({ version: version ?? 4, config: { teams: {} } })
  }
  const server = new AdminServer({
    service,
    log: { write: (event, fields) => { if (event === 'fault') faults.push(fields.err) } },
    clients: createClientGuard(),
    limits: httpLimitsSchema.parse({})
  })
  let base = ''

  before(async () => { base = `http://${await server.listen('127.0.0.1:0')}` })
  after(() => server.close())

  for (const row of cases) {
    it(`${row.title}: ${row.status}`, async () => {
      const { key = 'admin', method = 'GET', path, body } = row
      const res = await got(`${base}${path}`, {
        method,
        headers: { authorization: `Bearer ${key}` },
        ...(body === undefined ? {} : { json: body }),
        throwHttpErrors: false,
        retry: { limit: 0 }
      })
      const value = JSON.parse(res.body)
      expect(res.statusCode).to.equal(row.status)
      expect(typeof row.answer === 'string' ? value.name : value).to.deep.equal(row.answer)
      const errors: string[] = value.errors ?? []
      expect(errors.length).to.equal(row.errors?.length ?? 0)
      for (const path of row.errors ?? []) expect(errors.some((text) => text.startsWith(path)), path).to.equal(true)
    })
  }

  it('logs the error of a service that throws', () => {
    expect(faults.map((err) => (err as Error).message)).to.deep.equal(['bug'])
  })
})
