/**
 * `npm run bench -- stream`: processor time for one event of an engine's stream through
 * HttpEngineClient. Server and reader share the process, so the same streams are also read by a
 * plain node:http reader that discards them; the difference is what the client's checks cost.
 */
import { Agent, request } from 'node:http'
import { HttpEngineClient } from '@rosemaryspread/runners/engine/httpEngineClient.js'
import type { EngineRequest } from '@rosemaryspread/runners/engine/engineTypes.js'
import type { Measurement, MeasureRow } from './measureTypes.js'
import { STREAM_REQUEST_ID, StreamSource } from './streamSource.js'

/** Streams at once, and pieces of each. */
const sizes: readonly { readonly streams: number, readonly pieces: number }[] = [
  { streams: 1, pieces: 1000 },
  { streams: 20, pieces: 500 },
  { streams: 100, pieces: 200 }
]
const ROUNDS = 5
const LIMIT_MS = 30_000

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

/** Reads one whole stream; answers the number of pieces it saw, if it looks at them. */
type Reader = (address: string) => Promise<number | undefined>

/** Cost of streams, measured. */
export const streamBench: Measurement = {
  group: 'bench',
  name: 'stream',
  title: 'processor time for one event of an engine stream through HttpEngineClient, by streams at once',
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
    connectMs: LIMIT_MS,
    callMs: LIMIT_MS,
    firstEventMs: LIMIT_MS,
    betweenEventsMs: LIMIT_MS,
    afterEndMs: LIMIT_MS
  })
  const withClient: number[] = []
  const discarded: number[] = []
  for (let round = 0; round <= ROUNDS; round++) {
    withClient.push(await costOf(streams, pieces, to => readChecked(client, to), address))
    discarded.push(await costOf(streams, pieces, to => readDiscarding(agent, to), address))
  }
  client.close()
  agent.destroy()
  await source.stop()
  return rowOf(streams, pieces, withClient, discarded)
}

function rowOf (streams: number, pieces: number, withClient: readonly number[], discarded: readonly number[]): MeasureRow {
  const all = medianAfterFirst(withClient)
  const baseline = medianAfterFirst(discarded)
  return {
    streams,
    events_per_round: streams * pieces,
    rounds: ROUNDS,
    both_ends_us_per_event: rounded(all),
    server_and_discarding_reader_us_per_event: rounded(baseline),
    client_beyond_that_us_per_event: rounded(all - baseline)
  }
}

/** Processor microseconds for one event, of server and reader together. */
async function costOf (streams: number, pieces: number, reader: Reader, address: string): Promise<number> {
  const before = process.cpuUsage()
  const seen = await Promise.all(Array.from({ length: streams }, () => reader(address)))
  const { user, system } = process.cpuUsage(before)
  if (seen.some(count => count !== undefined && count !== pieces)) throw new Error('a stream was not read whole')
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

/** The first round warms up and does not count. */
function medianAfterFirst (values: readonly number[]): number {
  const sorted = values.slice(1).sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? NaN
}

function rounded (value: number): number {
  return Math.round(value * 10) / 10
}
