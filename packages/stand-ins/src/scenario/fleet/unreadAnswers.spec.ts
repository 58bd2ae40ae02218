/**
 * Guards against a VM that ends because clients send requests ahead and do not read their answers. The VM is a process of its own with a small heap,
 * and answers an ordinary request afterwards.
 */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import got from 'got'
import { ClientCrowd } from '@rosemaryspread/http/server/clientCrowd.fixture.js'
import { peakMemoryBytes } from '@rosemaryspread/http/server/processUsage.fixture.js'
import { fleetSchema } from '../language/scenarioSchema.js'
import { Fleet } from './fleet.js'
import { teamKey } from './fleetConfig.js'
import type { VmProcess } from './vmProcess.js'

const MEGABYTE = 1024 * 1024
const HEAP_MB = 80
const MEMORY_MB = 240
const CLIENTS = 24
const REQUESTS = 12_000
const TIMEOUT_MS = 15_000
const VM = 'q1'
const TEAM = 'viajeros'

const definition = fleetSchema.parse({
  vms: { [VM]: 'quito' },
  services: { reservas: { runners: { rq1: 'quito' } } },
  teams: { [TEAM]: { budget: 'viajes', services: ['reservas'] } },
  budgets: { viajes: 1_000_000 }
})

interface FloodCase {
  readonly name: string
  readonly port: 'callers' | 'operators'
  /** Request line and headers. */
  readonly head: (number: number) => readonly string[]
  readonly body?: string
}

const cases: readonly FloodCase[] = [
  { name: 'a new idempotency key each', port: 'callers', head: number => ['POST /v1/services/reservas/dispatch HTTP/1.1', `Authorization: Bearer ${teamKey(TEAM)}`, `Idempotency-Key: key-${number}`], body: '{}' },
  { name: 'a new API key each', port: 'callers', head: number => ['POST /v1/services/reservas/dispatch HTTP/1.1', `Authorization: Bearer key-${number}`], body: '{}' },
  { name: 'GET /readyz', port: 'callers', head: () => ['GET /readyz HTTP/1.1'] },
  { name: 'paths without a route', port: 'callers', head: number => [`GET /none/${number} HTTP/1.1`] },
  { name: 'a new operator key each', port: 'operators', head: number => ['GET /admin/v1/vms HTTP/1.1', `Authorization: Bearer key-${number}`] },
  { name: 'paths without a route', port: 'operators', head: number => [`GET /none/${number} HTTP/1.1`] }
]

describe('a VM whose clients send ahead and read nothing', () => {
  let folder: string
  let fleet: Fleet
  let crowd: ClientCrowd | undefined

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'rosemaryspread-clients-'))
    fleet = await Fleet.start({ definition, folder, links: false, faultyPart: undefined, nodeArgs: [`--max-old-space-size=${HEAP_MB}`] })
  })

  afterEach(async () => {
    crowd?.leave()
    await fleet.killAll()
    await rm(folder, { recursive: true })
  })

  /** Status of an ordinary request; undefined if it gets no answer. */
  async function readiness (vm: VmProcess): Promise<number | undefined> {
    return await got.get(`${vm.callersUrl}/readyz`, { throwHttpErrors: false, retry: { limit: 2 } }).then(({ statusCode }) => statusCode, () => undefined)
  }

  for (const { name, port, head, body = '' } of cases) {
    it(`stays within its memory and answers others: ${port}, ${name}`, async () => {
      const vm = fleet.vm(VM)
      const piece = (number: number): string => [...head(number), 'Host: vm', `Content-Length: ${body.length}`, '', body].join('\r\n')
      crowd = new ClientCrowd({ address: `127.0.0.1:${vm.ports[port]}`, clients: CLIENTS, piece })
      await crowd.send(REQUESTS, TIMEOUT_MS)
      const statusBeside = await readiness(vm)
      crowd.leave()
      expect([statusBeside, vm.running, await readiness(vm)]).to.deep.equal([200, true, 200])
      expect(peakMemoryBytes(vm.pid) / MEGABYTE).to.be.at.most(MEMORY_MB)
    })
  }
})
