/**
 * `rosemaryspreadctl` against an admin server on loopback: output, exit codes and retries of writes.
 */
import { createHash } from 'node:crypto'
import { createServer, type AddressInfo, type Server } from 'node:net'
import { expect } from 'chai'
import { Left, Right } from 'purify-ts'
import { Failure } from '@rosemaryspread/decisions/codes/failure.js'
import { createClientGuard } from '@rosemaryspread/http/server/clientGuard.fixture.js'
import { httpLimitsSchema } from '@rosemaryspread/http/server/httpLimits.js'
import { AdminServer } from '../admin/adminServer.js'
import { fakeAdminService, type FakeAdminService } from '../admin/fakeAdminService.spec.js'
import { runCtl } from './ctlProgram.js'

interface CtlResult {
  readonly exit: number
  readonly out: string
  readonly err: string
}

const patchFiles: Record<string, string> = {
  'good.json': '[{"op":"remove","path":"/teams/x"}]',
  'broken.json': '[{',
  'object.json': '{}',
  '-': '[{"op":"test","path":"","value":1}]'
}

const topUpCommand = 'budget topup viajes --tokens 500 --author ana'
const createCommand = 'team create viajes --display-name Viajes --budget viajes'

async function runCommand (line: string, env: Record<string, string> = {}): Promise<CtlResult> {
  const out: string[] = []
  const err: string[] = []
  let ids = 0
  const exit = await runCtl(line.split(' '), {
    env: { RSCTL_KEY: 'admin', USER: 'ana', ...env },
    out: (text) => { out.push(text) },
    err: (text) => { err.push(text) },
    read: async (file) => patchFiles[file] ?? Promise.reject(new Error('no such file')),
    newId: () => `id-${++ids}`,
    newKey: () => 'secret',
    pause: async () => undefined
  })
  return { exit, out: out.join('\n'), err: err.join('\n') }
}

/** Closes each connection after receiving the request, so that every response is lost. */
async function startDroppingServer (): Promise<{ url: string, server: Server }> {
  const server = createServer((socket) => {
    socket.once('data', () => socket.destroy())
    socket.on('error', () => undefined)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { url: `127.0.0.1:${(server.address() as AddressInfo).port}`, server }
}

describe('rosemaryspreadctl', () => {
  let fake: FakeAdminService
  let server: AdminServer
  let url = ''
  let refusingUrl = ''

  beforeEach(async () => {
    fake = fakeAdminService()
    server = new AdminServer({ service: fake, log: { write: () => undefined }, clients: createClientGuard(), limits: httpLimitsSchema.parse({}) })
    url = await server.listen('127.0.0.1:0')
    const closed = await startDroppingServer()
    refusingUrl = closed.url
    await new Promise((resolve) => closed.server.close(resolve))
  })
  afterEach(() => server.close())

  const table: ReadonlyArray<{ line: string, exit: number, out?: RegExp, err?: RegExp, env?: Record<string, string> }> = [
    { line: '--help', exit: 0, out: /rosemaryspreadctl config +the configuration/ },
    { line: 'config --help', exit: 0, out: /config patch/ },
    { line: 'config get --help', exit: 0, out: /--version/ },
    { line: '--version', exit: 0, out: /^\d+\.\d+\.\d+$/ },
    { line: 'nonsense', exit: 2, err: /^RS-702 .*nonsense/ },
    { line: 'config', exit: 2, err: /^RS-702 .*name a command/ },
    { line: 'vm list --colour red', exit: 2, err: /^RS-702 .*colour/ },
    { line: 'vm list --output xml', exit: 2, err: /^RS-702 [^]*\n {2}Argument: output/ },
    { line: 'vm list --timeout-ms 0', exit: 2, err: /^RS-702 .*--timeout-ms: use at least 1/ },
    { line: 'vm list --timeout-ms 1.5', exit: 2, err: /^RS-702 .*--timeout-ms/ },
    { line: 'vm list --key a --key b', exit: 2, err: /^RS-702 .*--key may be given once/ },
    { line: 'vm list', env: { RSCTL_KEY: '' }, exit: 2, err: /^RS-702 .*RSCTL_KEY/ },
    { line: 'vm list', env: { RSCTL_SERVER: '' }, exit: 2, err: /^RS-702 .*RSCTL_SERVER/ },
    { line: 'vm list', env: { RSCTL_SERVER: 'a b:c' }, exit: 2, err: /^RS-702 .*no base URL/ },
    { line: 'config patch --file good.json', exit: 2, err: /^RS-702 .*author/ },
    { line: 'config patch --file none.json --author ana', exit: 2, err: /^RS-702 .*no such file/ },
    { line: 'config patch --file broken.json --author ana', exit: 2, err: /^RS-702 .*broken\.json/ },
    { line: 'config patch --file object.json --author ana', exit: 2, err: /^RS-702 [^]*\n {2}patch: / },
    { line: 'budget topup viajes --tokens 1e3 --author ana', exit: 2, err: /^RS-702 .*--tokens/ },
    { line: `${createCommand} --weight none`, exit: 2, err: /^RS-702 [^]*\n {2}weight: / },

    { line: 'vm list', env: { RSCTL_KEY: 'x' }, exit: 6, err: /^RS-102 The key is missing or not valid: / },
    { line: topUpCommand, env: { RSCTL_KEY: 'view' }, exit: 6, err: /\nRS-103 / },
    { line: 'budget show nada', exit: 3, err: /^RS-204 There is no such budget: no budget nada$/ },
    { line: 'budget lower viajes --tokens 5000 --author ana', exit: 3, err: /^operation id: id-1\nRS-205 / },
    { line: 'budget lower viajes --tokens -5 --author ana', exit: 2, err: /^RS-702 .*--tokens/ },
    { line: 'budget lower viajes --tokens 0 --author ana', exit: 3, err: /\nRS-101 .*: tokens: [^\n]*$/ },
    { line: 'budget topup viajes --tokens 0 --author ana', exit: 3, err: /\nRS-101 .*: tokens: [^\n]*$/ },

    { line: `${topUpCommand} --operation-id ${'x'.repeat(129)} --tokens 0`.replace(' --tokens 500', ''), exit: 3, err: /\nRS-101 .*: 2 mistakes, see errors\n {2}operationId: .*\n {2}tokens: / },

    { line: 'config get', exit: 0, out: /^# version 4\nteams: {}$/ },
    { line: 'config get --version 2 --output json', exit: 0, out: /^{\n {2}"version": 2,/ },
    { line: 'config history', exit: 0, out: /^VERSION +AT +AUTHOR +PATCH ID +OPERATIONS$/ },
    { line: 'config status', exit: 0, out: /^newest version: 5\n.*\nq1 +quito-centro +live +5 +no +0\.1 s\nc1 +cumbaya +live +3 +yes +9\.0 s\nt1 +tababela +leaving +- +yes/ },
    { line: 'config patch --file good.json --author ana', exit: 0, out: /^version 5 is accepted$/, err: /^patch id: id-1$/ },
    { line: 'config patch --file - --author ana --dry-run --patch-id p', exit: 0, out: /^dry run: .* version 5$/, err: /^patch id: p$/ },
    { line: 'config patch --file good.json --author ana --base 3', exit: 5, err: /\nRS-501 .*: version 4 is in force$/ },
    { line: 'team list', exit: 0, out: /^TEAM +NAME/ },
    { line: 'budget show viajes', exit: 0, out: /viajes +1000 +200 +300 +0 +500$/ },
    { line: topUpCommand, exit: 0, out: /viajes +1500 /, err: /^operation id: id-1$/ },
    { line: 'budget lower viajes --tokens 400 --author ana', exit: 0, out: /viajes +600 /, err: /^operation id: id-1$/ },
    { line: 'runner list', exit: 0, out: /^RUNNER / },
    { line: 'vm list', exit: 0, out: /^VM +DOMAIN[^]*\nq1 +quito-centro +10\.0\.0\.1:8001 +live +5 +0\.1 s/ },
    { line: 'vm list --output json', exit: 0, out: /"vm": "q1"/ },
    { line: 'addresses', exit: 0, out: /^http:\/\/127\.0\.0\.1:8001\nkeep for 10\.0 s$/ }
  ]
  for (const row of table) {
    it(`${row.line}${row.env === undefined ? '' : ` ${JSON.stringify(row.env)}`}: exit ${row.exit}`, async () => {
      const ran = await runCommand(row.line, { RSCTL_SERVER: url, ...row.env })
      expect(ran.exit, ran.err).to.equal(row.exit)
      if (row.out === undefined) expect(ran.out).to.equal('')
      else expect(ran.out).to.match(row.out)
      if (row.err === undefined) expect(ran.err).to.equal('')
      else expect(ran.err).to.match(row.err)
    })
  }

  describe('servers', () => {
    it('tries the next server when one is unreachable', async () => {
      const ran = await runCommand(`--server ${refusingUrl} --server http://${url}/ vm list`)
      expect(ran.exit).to.equal(0)
    })

    it('exits with 4 when no server is reachable and nothing ran', async () => {
      const ran = await runCommand(`--server ${refusingUrl} ${topUpCommand}`)
      expect(ran.exit).to.equal(4)
      expect(ran.err).to.match(/\nRS-604 .*\n {2}http:\/\/127\.0\.0\.1:\d+: .*ECONNREFUSED/)
    })

    it('repeats a write with the same id after its response was lost', async () => {
      const droppingServer = await startDroppingServer()
      const ran = await runCommand(`--server ${droppingServer.url} --server ${url} ${topUpCommand}`)
      droppingServer.server.close()
      expect(ran.exit).to.equal(0)
      expect([...fake.topUps]).to.deep.equal([['id-1', 500]])
    })

    it('applies a write once when its outcome on the platform is unknown', async () => {
      const { topUp: applyTopUp } = fake
      let calls = 0
      fake.topUp = async (budget, req) => {
        const answer = await applyTopUp(budget, req)
        return ++calls < 3 ? Left(new Failure('platformOutcomeUnknown', 'lost', { ran: 'unknown' })) : answer
      }
      const ran = await runCommand(`--server ${url} ${topUpCommand}`)
      expect([ran.exit, calls]).to.deep.equal([0, 3])
      expect([...fake.topUps]).to.deep.equal([['id-1', 500]])
    })

    it('does not report a write as refused if an earlier attempt may have taken effect', async () => {
      const droppingServer = await startDroppingServer()
      fake.topUp = async () => Left(new Failure('platformUnavailable', 'the table is down', { ran: 'no' }))
      const ran = await runCommand(`--server ${droppingServer.url} --server ${url} ${topUpCommand}`)
      droppingServer.server.close()
      expect(ran.exit).to.equal(3)
      expect(ran.err).to.include('an earlier attempt of this command may have taken effect')
    })
  })

  describe('team create', () => {
    const hash = createHash('sha256').update('secret').digest('hex')

    it('stores only the hash and shows the key once', async () => {
      const ran = await runCommand(`--server ${url} ${createCommand} --model a,b --model c --service reservas --weight 2`)
      expect(ran.exit).to.equal(0)
      expect(ran.out).to.match(/version 5\nkey \(shown only now\): secret$/)
      const team = { displayName: 'Viajes', keyHashes: [hash], budget: 'viajes', models: ['a', 'b', 'c'], services: ['reservas'], weight: 2, maxInFlight: 64 }
      expect(fake.patches).to.deep.equal([
        { base: 4, patchId: 'id-1', author: 'ana', dryRun: false, patch: [{ op: 'add', path: '/teams/viajes', value: team }] }
      ])
    })

    const conflictCases: ReadonlyArray<{ lost: number, exit: number }> = [{ lost: 4, exit: 0 }, { lost: 5, exit: 5 }]
    for (const { lost, exit } of conflictCases) {
      it(`retries after ${lost} conflicts with the same patch id on the new base: exit ${exit}`, async () => {
        const { patch } = fake
        fake.patch = async (req) => {
          if (fake.patches.length < lost) fake.version++
          return await patch(req)
        }
        const ran = await runCommand(`--server ${url} ${createCommand}`)
        expect(ran.exit).to.equal(exit)
        expect(fake.patches.map(({ base, patchId }) => [base, patchId])).to.deep.equal([4, 5, 6, 7, 8].map((base) => [base, 'id-1']))
      })
    }

    it('does not overwrite an existing team', async () => {
      fake.teams = { viajes: { displayName: 'Viajes', budget: 'viajes', keyHashes: ['0'.repeat(64)] } }
      const ran = await runCommand(`--server ${url} ${createCommand}`)
      expect([ran.exit, fake.patches.length]).to.deep.equal([3, 0])
      expect(ran.err).to.include('exists already')
    })

    it('prints the key when the outcome is unknown', async () => {
      const { patch } = fake
      fake.patch = async (req) => {
        await patch(req)
        return Left(new Failure('platformOutcomeUnknown', 'lost', { ran: 'unknown' }))
      }
      fake.config = async () => Right({ version: 4, config: { teams: {} } })
      const ran = await runCommand(`--server ${url} ${createCommand}`)
      expect(ran.err).to.include('in that case its key is: secret')
    })
  })
})
