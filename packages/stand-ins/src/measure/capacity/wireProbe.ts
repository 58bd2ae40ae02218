/**
 * Processor time of real connections over loopback: notifications between VMs (both ends in this
 * process), and budget flushes to a table stand-in in a separate process.
 */
import { JsonRpcPeerClient } from '@rosemaryspread/peers/link/peerClient.js'
import { JsonRpcPeerServer } from '@rosemaryspread/peers/link/peerServer.js'
import { budgetTables } from '@rosemaryspread/decisions/budget/budgetKeys.js'
import type { Bill } from '@rosemaryspread/decisions/budget/budgetTypes.js'
import { HttpTableStore } from '@rosemaryspread/infra/table/httpTableStore.js'
import { FlushExecutor } from 'rosemaryspread/budget/flushExecutor.js'
import { BudgetTable } from 'rosemaryspread/budget/budgetTable.js'
import { tmpdir } from 'node:os'
import { mkdtemp } from 'node:fs/promises'
import { join } from 'node:path'
import { allocatePort } from '../../scenario/fleet/freePorts.js'
import { StandInProcess } from '../../scenario/fleet/standInProcess.js'
import { CountingTable } from './countingTable.js'
import { plannedVmLoad } from './plannedScale.js'
import { createPoint, type CapacityProbe, type ProbePoint, type ProbeSeries } from './probeTypes.js'
import { median, delay, processorUs } from './processMeter.js'

const PEER_KEY = 'key of the bench, never used elsewhere'
const HOLDER = 'quito-centro-a~0123456789ab'
const PEERS = 8
const MESSAGE_RATES = [50, 200, 800]
const PERIOD_MS = 1_000
const STEPS = 20
const ROUNDS = 3
const TIMEOUT_MS = 10_000
const FLUSH_SIZES = [1, 20, 100]
const FLUSHES = 50
/** The points of the first size are discarded, as it only warms up. */
const POINTS_PER_SIZE = 2
const PAID_TOKENS = 1_000_000_000
const BILLED_TOKENS = 10
const log = { write: () => {} }
const clock = { now: () => ({ mono: performance.now(), wall: Date.now() }) }
/** Membership messages per second of the busiest VM in both directions, from the gossip probe. */
const MEMBERSHIP_MESSAGES_PER_S = 17.4

const linkSeries: ProbeSeries = { role: 'entry VM', driver: 'messages between VMs/s', quantity: 'processor time of links, both ends', unit: 'us/s', at: MEMBERSHIP_MESSAGES_PER_S }
const flushSeries = (quantity: string, unit: string): ProbeSeries => ({ role: 'entry VM', driver: 'bills and budgets in a flush', quantity, unit, at: plannedVmLoad.requestsPerSecond * 2 })

/** Processor time of links between VMs by message rate. */
export const linkProbe: CapacityProbe = {
  name: 'links',
  isTimeSensitive: true,
  run: async () => {
    const servers = Array.from({ length: PEERS }, (_, index) => new JsonRpcPeerServer({ holder: `quito-centro-${index}~0123456789ab`, keys: [PEER_KEY] }, log))
    for (const server of servers) {
      server.register('beat', async () => null)
      await server.listen('127.0.0.1:0')
    }
    const client = new JsonRpcPeerClient({ identity: { holder: HOLDER, keys: [PEER_KEY] }, clock, random: Math.random })
    await Promise.all(servers.map(async server => await client.call(server.address, 'beat', null, TIMEOUT_MS)))
    await measureLinks(client, servers, Math.max(...MESSAGE_RATES))
    const points: ProbePoint[] = []
    const idle = await measureLinks(client, servers, 0)
    for (const rate of MESSAGE_RATES) points.push(createPoint(linkSeries, rate, await measureLinks(client, servers, rate) - idle))
    client.close()
    for (const server of servers) await server.close()
    return points
  }
}

async function measureLinks (client: JsonRpcPeerClient, servers: readonly JsonRpcPeerServer[], rate: number): Promise<number> {
  const rounds: number[] = []
  for (let round = 0; round <= ROUNDS; round++) {
    const us = await processorUs(async () => {
      for (let step = 0; step < STEPS; step++) {
        for (let count = 0; count < rate / STEPS; count++) client.notify(servers[count % PEERS]!.address, 'beat', createHeartbeat(round * STEPS + step))
        await delay(PERIOD_MS / STEPS)
      }
    })
    if (round > 0) rounds.push(us)
  }
  return median(rounds)
}

function createHeartbeat (sequence: number): object {
  return { self: { holder: HOLDER, beat: sequence, state: 'live', config: 1_234, open: 7, age: 0 }, news: [], ask: false }
}

/** Processor time and bytes of a flush over HTTP by number of bills. */
export const flushProbe: CapacityProbe = {
  name: 'flush',
  isTimeSensitive: true,
  run: async () => {
    const folder = await mkdtemp(join(tmpdir(), 'rosemaryspread-capacity-'))
    const ports = { listen: await allocatePort(), control: await allocatePort() }
    const standIn = new StandInProcess('table', ['table'], ports, join(folder, 'table.log'))
    await standIn.ready()
    const table = new CountingTable(new HttpTableStore(standIn.url, 'quito-centro-a', TIMEOUT_MS))
    const flushing = new FlushExecutor(new BudgetTable(table, clock), { holder: HOLDER, domain: 'quito-centro' }, log)
    await openAllotments(table)
    const points: ProbePoint[] = []
    let seq = 0
    for (const size of [Math.max(...FLUSH_SIZES), ...FLUSH_SIZES]) {
      const rounds: number[] = []
      table.reset()
      for (let round = 0; round <= ROUNDS; round++) {
        const us = await processorUs(async () => {
          for (let count = 0; count < FLUSHES; count++) {
            seq += 1
            const outcome = await flushing.flush({ kind: 'flush', seq, bills: createBills(seq, size), returns: [], transfers: [] })
            if (outcome.kind !== 'durable') throw new Error(`a flush must end as 'durable', but ended as '${outcome.kind}'`)
          }
        })
        if (round > 0) rounds.push(us / FLUSHES)
      }
      points.push(createPoint(flushSeries('processor time of a flush', 'us'), size, median(rounds)))
      points.push(createPoint(flushSeries('bytes of a flush, JSON texts', 'bytes'), size, table.counts.bytes / FLUSHES / (ROUNDS + 1)))
    }
    await standIn.kill()
    return points.slice(POINTS_PER_SIZE)
  }
}

async function openAllotments (table: CountingTable): Promise<void> {
  const budgets = Array.from({ length: Math.max(...FLUSH_SIZES) }, (_, index) => `budget-${index}`)
  const writes = budgets.flatMap(budget => [
    { table: budgetTables.budgets, key: budget, value: { budget, paid: PAID_TOKENS, spent: 0, allotted: PAID_TOKENS } },
    { table: budgetTables.allotments, key: `${budget}/${HOLDER}`, value: { budget, holder: HOLDER, domain: 'quito-centro', held: PAID_TOKENS, settled: 0, state: 'open' } }
  ])
  await table.transact({ checks: [], writes })
}

function createBills (seq: number, size: number): readonly Bill[] {
  return Array.from({ length: size }, (_, index) =>
    ({ requestId: `request-${seq}-${index}-0123456789abcdef0123456789`, budget: `budget-${index}`, team: `team-${index}`, tokens: BILLED_TOKENS, runner: 'runner-1' }))
}
