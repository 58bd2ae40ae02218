/**
 * `npm run bench -- stream`: processor time per event of an engine stream read through HttpEngineClient. Server and reader share
 * the process, so a plain node:http reader that discards the same streams gives the baseline; the difference is the client's cost.
 */
import { Agent, request } from 'node:http'
import { HttpEngineClient } from '@rosemaryspread/runners/engine/httpEngineClient.js'
import type { EngineRequest } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { Measurement, MeasureRow } from './measureTypes.js'
import { STREAM_REQUEST_ID, StreamSource } from './streamSource.js'

/** Concurrent streams, and pieces per stream. */
const sizes: readonly { readonly streams: number, readonly pieces: number }[] = [
  { streams: 1, pieces: 1000 },
  { streams: 20, pieces: 500 },
  { streams: 100, pieces: 200 }
]
const ROUNDS = 5
const TIMEOUT_MS = 30_000

const REQUEST: EngineRequest = {
  requestId: STREAM_REQUEST_ID,
  digest: 'bench',
  holder: 'bench~0',
  team: 'bench',
  budget: 'bench',
  model: 'asistente-lm',
  messages: [{ role: 'user', content: 'bench' }],
  maxTokens: 2000,
  priority: 0
}

/** Reads a stream to its end; resolves to the number of pieces, or undefined if the reader doesn't parse them. */
type Reader = (address: string) => Promise<number | undefined>

export const streamBench: Measurement = {
  group: 'bench',
  name: 'stream',
  title: 'processor time per event of an engine stream through HttpEngineClient, by concurrent streams',
  run: async () => {
    const rows: MeasureRow[] = []
    for (const { streams, pieces } of sizes) rows.push(await measureSize(streams, pieces))
    return rows
  }
}

async function measureSize (streams: number, pieces: number): Promise<MeasureRow> {
  const source = new StreamSource(pieces)
  const address = await source.start()
  const agent = new Agent({ keepAlive: true })
  const client = new HttpEngineClient({
    vm: 'bench',
    connectMs: TIMEOUT_MS,
    callMs: TIMEOUT_MS,
    firstEventMs: TIMEOUT_MS,
    betweenEventsMs: TIMEOUT_MS,
    afterEndMs: TIMEOUT_MS
  })
  const withClient: number[] = []
  const withDiscarding: number[] = []
  for (let round = 0; round <= ROUNDS; round++) {
    withClient.push(await cpuPerEvent(streams, pieces, to => readChecked(client, to), address))
    withDiscarding.push(await cpuPerEvent(streams, pieces, to => readDiscarding(agent, to), address))
  }
  client.close()
  agent.destroy()
  await source.stop()
  return createRow(streams, pieces, withClient, withDiscarding)
}

function createRow (streams: number, pieces: number, withClient: readonly number[], withDiscarding: readonly number[]): MeasureRow {
  const clientUs = medianAfterFirst(withClient)
  const baselineUs = medianAfterFirst(withDiscarding)
  return {
    streams,
    events_per_round: streams * pieces,
    rounds: ROUNDS,
    both_ends_us_per_event: rounded(clientUs),
    server_and_discarding_reader_us_per_event: rounded(baselineUs),
    client_beyond_that_us_per_event: rounded(clientUs - baselineUs)
  }
}

/** Microseconds of processor time per event, server and reader together. */
async function cpuPerEvent (streams: number, pieces: number, reader: Reader, address: string): Promise<number> {
  const cpuBefore = process.cpuUsage()
  const pieceCounts = await Promise.all(Array.from({ length: streams }, () => reader(address)))
  const { user, system } = process.cpuUsage(cpuBefore)
  if (pieceCounts.some(count => count !== undefined && count !== pieces)) throw new Error('a reader did not see all pieces of its stream')
  return (user + system) / (streams * pieces)
}

async function readChecked (client: HttpEngineClient, address: string): Promise<number> {
  const stream = (await client.submit(address, REQUEST)).unsafeCoerce()
  let pieces = 0
  for await (const event of stream.events) pieces += event.kind === 'piece' ? 1 : 0
  return pieces
}

function readDiscarding (agent: Agent, address: string): Promise<undefined> {
  return new Promise((resolve, reject) => {
    const req = request(`http://${address}/`, { agent }, res => res.resume().once('end', () => resolve(undefined)))
    req.once('error', reject).end()
  })
}

/** Median without the first round, which warms up code and connections. */
function medianAfterFirst (values: readonly number[]): number {
  const sorted = values.slice(1).sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? NaN
}

function rounded (value: number): number {
  return Math.round(value * 10) / 10
}
