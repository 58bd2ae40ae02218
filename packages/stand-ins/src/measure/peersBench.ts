/**
 * `npm run bench -- peers`: processor time and bytes of heartbeats between VMs over loopback. Both ends run in this process,
 * so the time covers sender and receiver. Links are opened before the measurement; handshake bytes are counted separately.
 */
import { connect, type Socket } from 'node:net'
import type { Clock } from '@rosemaryspread/decisions/clock/clockTypes.js'
import type { Heartbeat } from '@rosemaryspread/decisions/membership/memberTypes.js'
import { parseAddress } from '@rosemaryspread/peers/link/address.js'
import { JsonRpcPeerClient } from '@rosemaryspread/peers/link/peerClient.js'
import { JsonRpcPeerServer } from '@rosemaryspread/peers/link/peerServer.js'
import type { Measurement, MeasureRow } from './measureTypes.js'

const KEY = 'key of the bench, never used elsewhere'
const PEERS = [2, 8, 32]
/** Heartbeats per second to each peer. */
const RATES_PER_S = [1, 10, 100]
const MEASURE_MS = 3_000
const CALL_TIMEOUT_MS = 10_000
const MS_PER_SECOND = 1_000

type MessageKind = 'notification' | 'call'

/** One client connected to several servers. */
interface Links {
  readonly client: JsonRpcPeerClient
  readonly servers: readonly JsonRpcPeerServer[]
  readonly sockets: readonly Socket[]
  readonly receipts: ReceiptCounter
}

/** Counts received heartbeats. */
class ReceiptCounter {
  count = 0
  private target = Infinity
  private onReached: () => void = () => {}

  record (): void {
    this.count++
    if (this.count >= this.target) this.onReached()
  }

  /** Resolves once the given number of further heartbeats has arrived. */
  async waitForMore (additional: number): Promise<void> {
    this.target = this.count + additional
    await new Promise<void>(resolve => { this.onReached = resolve })
  }
}

export const peersBench: Measurement = {
  group: 'bench',
  name: 'peers',
  title: 'processor time and bytes of a heartbeat between VMs, by peers and rate',
  run: async () => {
    const rows: MeasureRow[] = []
    for (const kind of ['notification', 'call'] as const) {
      for (const peers of PEERS) {
        for (const rate of RATES_PER_S) rows.push(await measureLinks(kind, peers, rate))
      }
    }
    return rows
  }
}

async function measureLinks (kind: MessageKind, peers: number, rate: number): Promise<MeasureRow> {
  const links = await openLinks(peers)
  const handshakeBytes = totalBytes(links.sockets)
  await sendRound(links, kind, 0)
  await sendRound(links, kind, 1)
  const idle = await measureCpu(async () => { await wait(MEASURE_MS) })
  const bytesBefore = totalBytes(links.sockets)
  const receivedBefore = links.receipts.count
  const busy = await measureCpu(async () => { await sendAtRate(links, kind, rate) })
  const messages = links.receipts.count - receivedBefore
  const bytes = totalBytes(links.sockets) - bytesBefore
  await closeLinks(links)
  return {
    kind,
    peers,
    per_peer_per_s: rate,
    messages,
    both_ends_us_per_message: rounded(busy.cpuUs / messages),
    idle_us_per_s: rounded(idle.cpuUs / (idle.ms / MS_PER_SECOND)),
    bytes_per_message: rounded(bytes / messages),
    handshake_and_first_call_bytes: rounded(handshakeBytes / peers)
  }
}

async function openLinks (peers: number): Promise<Links> {
  const clock: Clock = { now: () => ({ mono: performance.now(), wall: Date.now() }) }
  const log = { write: () => {} }
  const receipts = new ReceiptCounter()
  const servers: JsonRpcPeerServer[] = []
  for (let i = 0; i < peers; i++) {
    const server = new JsonRpcPeerServer({ holder: `quito-centro-${i}~0123456789ab`, keys: [KEY] }, log)
    server.register('beat', async () => { receipts.record() })
    server.register('open', async () => null)
    await server.listen('127.0.0.1:0')
    servers.push(server)
  }
  const sockets: Socket[] = []
  const dial = (address: string): Socket => {
    const socket = connect(parseAddress(address))
    sockets.push(socket)
    return socket
  }
  const client = new JsonRpcPeerClient({ identity: { holder: 'quito-centro-a~0123456789ab', keys: [KEY] }, clock, random: Math.random, dial })
  await Promise.all(servers.map(server => client.call(server.address, 'open', null, CALL_TIMEOUT_MS)))
  return { client, servers, sockets, receipts }
}

async function closeLinks ({ client, servers }: Links): Promise<void> {
  client.close()
  for (const server of servers) await server.close()
}

async function sendAtRate (links: Links, kind: MessageKind, rate: number): Promise<void> {
  const rounds = Math.round(MEASURE_MS / MS_PER_SECOND * rate)
  for (let round = 0; round < rounds; round++) {
    const next = wait(MEASURE_MS / rounds)
    await sendRound(links, kind, round + 2)
    await next
  }
}

/** Sends one heartbeat to each peer; resolves when all have arrived. */
async function sendRound (links: Links, kind: MessageKind, round: number): Promise<void> {
  const heartbeat = createHeartbeat(round)
  if (kind === 'call') {
    await Promise.all(links.servers.map(server => links.client.call(server.address, 'beat', heartbeat, CALL_TIMEOUT_MS)))
    return
  }
  const arrived = links.receipts.waitForMore(links.servers.length)
  for (const server of links.servers) links.client.notify(server.address, 'beat', heartbeat)
  await arrived
}

/** A heartbeat of a stable fleet, without gossip updates. */
function createHeartbeat (round: number): Heartbeat {
  const self = { holder: 'quito-centro-a~0123456789ab', beat: 100_000 + round, state: 'live', config: 1_234, open: 7, age: 0 } as const
  return { self, news: [], ask: false }
}

async function measureCpu (work: () => Promise<void>): Promise<{ readonly cpuUs: number, readonly ms: number }> {
  const startedAt = performance.now()
  const cpuBefore = process.cpuUsage()
  await work()
  const cpu = process.cpuUsage(cpuBefore)
  return { cpuUs: cpu.user + cpu.system, ms: performance.now() - startedAt }
}

function totalBytes (sockets: readonly Socket[]): number {
  return sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0)
}

function rounded (value: number): number {
  return Math.round(value * 10) / 10
}

async function wait (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
