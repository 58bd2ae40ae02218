/**
 * Bytes and processor time of a configuration poll and of a push over real loopback connections.
 * Client and server run in this process, so the time covers both ends.
 */
import { connect, createServer, type AddressInfo, type Server } from 'node:net'
import { initialConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import { HttpTableStore } from '@rosemaryspread/infra/table/httpTableStore.js'
import { dialTcp, JsonRpcPeerClient } from '@rosemaryspread/peers/link/peerClient.js'
import { JsonRpcPeerServer } from '@rosemaryspread/peers/link/peerServer.js'
import { PUSH_METHOD } from 'rosemaryspread/config/configPropagation.js'
import { ConfigReader, currentKey } from 'rosemaryspread/config/configReader.js'
import { StandIn } from '../../control/standIn.js'
import { tableDefinition } from '../../table/tableRoutes.js'
import type { MeasureRow } from '../measureTypes.js'

const LOOPBACK = '127.0.0.1'
const MEASURED_CALLS = 2_000
const WARM_UP_CALLS = 500
const TIMEOUT_MS = 5_000
const MICROS_PER_MS = 1_000
const DIGEST = 'a'.repeat(64)

interface Counter { bytes: number }

/** Processor milliseconds of one call, averaged over sequential calls. */
async function cpuMsPerCall (call: () => Promise<unknown>): Promise<number> {
  for (let index = 0; index < WARM_UP_CALLS; index++) await call()
  const before = process.cpuUsage()
  for (let index = 0; index < MEASURED_CALLS; index++) await call()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / MICROS_PER_MS / MEASURED_CALLS
}

async function bytesPerCall (counter: Counter, call: () => Promise<unknown>): Promise<number> {
  await call()
  const before = counter.bytes
  for (let index = 0; index < WARM_UP_CALLS; index++) await call()
  return (counter.bytes - before) / WARM_UP_CALLS
}

/** TCP relay to a port that counts the bytes in both directions. */
async function startCountingRelay (port: number, counter: Counter): Promise<Server> {
  const server = createServer(inbound => {
    const outbound = connect(port, LOOPBACK)
    for (const [from, to] of [[inbound, outbound], [outbound, inbound]] as const) {
      from.on('data', chunk => { counter.bytes += chunk.length })
      from.on('error', () => to.destroy())
      from.pipe(to)
    }
  })
  await new Promise<void>(resolve => { server.listen(0, LOOPBACK, resolve) })
  return server
}

async function measurePoll (): Promise<MeasureRow> {
  const address = { host: LOOPBACK, port: 0 }
  const standIn = new StandIn({ listen: address, control: address }, tableDefinition())
  const { listen } = await standIn.start()
  const counter = { bytes: 0 }
  const relay = await startCountingRelay(listen.port, counter)
  const createStore = (port: number): HttpTableStore => new HttpTableStore(`http://${LOOPBACK}:${port}`, 'vm1', TIMEOUT_MS)
  const direct = createStore(listen.port)
  const viaRelay = createStore((relay.address() as AddressInfo).port)
  await direct.transact({ checks: [], writes: [{ ...currentKey, value: { version: 1, digest: DIGEST, patchId: 'p1' } }] })
  const origin = initialConfig()
  const bytes = await bytesPerCall(counter, async () => await new ConfigReader(viaRelay, origin).poll(1))
  const cpuMs = await cpuMsPerCall(async () => await new ConfigReader(direct, origin).poll(1))
  relay.close()
  await standIn.stop()
  return { call: 'poll of config/current over HTTP', calls: MEASURED_CALLS, bytesBothWays: Math.round(bytes), processorMsBothEnds: Number(cpuMs.toFixed(3)) }
}

async function measurePush (): Promise<MeasureRow> {
  const keys = ['measurement-key-of-32-characters!']
  const server = new JsonRpcPeerServer({ holder: 'b~1', keys }, { write: () => {} })
  server.register(PUSH_METHOD, async () => null)
  await server.listen(`${LOOPBACK}:0`)
  const { address } = server
  const sockets: { bytesRead: number, bytesWritten: number }[] = []
  const client = new JsonRpcPeerClient({
    identity: { holder: 'a~1', keys },
    clock: { now: () => ({ mono: performance.now(), wall: Date.now() }) },
    random: () => 0.5,
    dial: peerAddress => {
      const socket = dialTcp(peerAddress)
      sockets.push(socket)
      return socket
    }
  })
  const counter = { get bytes () { return sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0) } }
  const push = async (): Promise<unknown> => await client.call(address, PUSH_METHOD, { version: 1, digest: DIGEST, from: '10.0.0.1:7000' }, TIMEOUT_MS)
  const bytes = await bytesPerCall(counter, push)
  const cpuMs = await cpuMsPerCall(push)
  client.close()
  await server.close()
  return { call: 'push between VMs', calls: MEASURED_CALLS, bytesBothWays: Math.round(bytes), processorMsBothEnds: Number(cpuMs.toFixed(3)) }
}

/** Measures polls and pushes. */
export async function measureWire (): Promise<readonly MeasureRow[]> {
  return [await measurePoll(), await measurePush()]
}
