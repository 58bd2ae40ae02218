/**
 * Probes of a real VM process with stand-ins on loopback: cost when idle, by number of VMs; by
 * requests and tokens relayed; by open streams; by runners watched. Processor time and resident
 * memory are those of the VM process alone.
 */
import { createServer, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import got from 'got'
import { bodyDigest } from '@rosemaryspread/decisions/request/requestIdentity.js'
import { TestCaller } from '../../scenario/callers/testCaller.js'
import type { RequestSpec } from '../../scenario/callers/callerTypes.js'
import { Fleet } from '../../scenario/fleet/fleet.js'
import { teamKey } from '../../scenario/fleet/fleetConfig.js'
import { fleetSchema, type FleetDefinition } from '../../scenario/language/scenarioSchema.js'
import { plannedVmLoad, plannedScale } from './plannedScale.js'
import { createPoint, type CapacityProbe, type ProbePoint, type ProbeSeries } from './probeTypes.js'
import { findChildProcess, delay, type ProcessMeter } from './processMeter.js'

const DOMAINS = ['quito-centro', 'cumbaya', 'tababela']
const TEAMS = 8
const MODEL = 'asistente-lm'
const PAID_TOKENS = 1_000_000_000
const SETTLE_MS = 4_000
const IDLE_MS = 5_000
const IDLE_SIZES = [1, 3, 6]
/** Reported size: small fleets send heartbeats to all VMs, so a fit doesn't extrapolate to large fleets. */
const REPORTED_VMS = 6
const LOAD_MS = 4_000
const REQUEST_COUNTS = [40, 120, 240]
const TOKENS_PER_REQUEST = [10, 60, 240]
const TOKEN_REQUESTS = 120
const STREAM_COUNTS = [60, 180, 360]
const STREAM_TOKENS = 240
const SLOW_MS_PER_TOKEN = 2_000
const WATCHED_RUNNERS = [24, 96, 192]
const SECOND_MS = 1_000

interface StandInTableCounts {
  readonly reads: number
  readonly scans: number
  readonly transactions: number
}

const series = (role: string, driver: string, quantity: string, unit: string, at: number): ProbeSeries => ({ role, driver, quantity, unit, at })

function createFleetDefinition (vms: number, msPerToken: number): FleetDefinition {
  const teams = Object.fromEntries(Array.from({ length: TEAMS }, (_, index) => [`team-${index}`, { budget: `budget-${index}`, models: [MODEL] }]))
  return fleetSchema.parse({
    vms: Object.fromEntries(Array.from({ length: vms }, (_, index) => [`vm${index}`, DOMAINS[index % DOMAINS.length]])),
    engines: Object.fromEntries(DOMAINS.map((domain, index) => [`engine${index}`, { domain, models: [MODEL], slots: 256, msPerToken }])),
    teams,
    budgets: Object.fromEntries(Array.from({ length: TEAMS }, (_, index) => [`budget-${index}`, PAID_TOKENS]))
  })
}

/** A running fleet whose first VM is metered. */
class MeasuredFleet {
  private constructor (readonly fleet: Fleet, readonly vm: ProcessMeter) {}

  static async start (vms: number, msPerToken: number): Promise<MeasuredFleet> {
    const folder = await mkdtemp(join(tmpdir(), 'rosemaryspread-capacity-'))
    const fleet = await Fleet.start({ definition: createFleetDefinition(vms, msPerToken), folder, links: false, faultyPart: undefined })
    const vm = await findChildProcess(`${folder}/vm0.yaml`)
    await delay(SETTLE_MS)
    return new MeasuredFleet(fleet, vm)
  }

  async tableCounts (): Promise<StandInTableCounts> {
    const { ports } = this.fleet.standIn('table')
    const { counts } = await got.get(`http://127.0.0.1:${ports.control}/control/state`).json<{ counts: StandInTableCounts }>()
    return counts
  }

  /** Processor milliseconds of the VM and elapsed seconds during some work. */
  async measureCost (work: () => Promise<void>): Promise<{ readonly cpuMs: number, readonly seconds: number }> {
    const startedAt = performance.now()
    const before = await this.vm.processorMs()
    await work()
    return { cpuMs: await this.vm.processorMs() - before, seconds: (performance.now() - startedAt) / SECOND_MS }
  }

  /** Processor milliseconds per second without requests. */
  async idleMsPerS (): Promise<number> {
    const { cpuMs, seconds } = await this.measureCost(async () => { await delay(IDLE_MS) })
    return cpuMs / seconds
  }

  async end (): Promise<void> {
    await this.fleet.killAll()
  }
}

function createSpec (index: number, tokens: number): RequestSpec {
  const team = `team-${index % TEAMS}`
  const body = JSON.stringify({ model: MODEL, messages: [{ role: 'user', content: `Necesito asistencia en la terminal, viaje ${index}` }], max_tokens: tokens, stream: true })
  return { team, teamKey: teamKey(team), path: '/v1/chat/completions', body, digest: bodyDigest(body), repeatable: true, idempotencyKey: undefined, requestId: undefined, timeoutMs: undefined, streamed: true }
}

/** Sends requests evenly over `LOAD_MS`, waits until all end and returns the number of tokens received. */
async function sendEvenly (measured: MeasuredFleet, requests: number, tokens: number): Promise<number> {
  const caller = new TestCaller()
  const url = measured.fleet.vm('vm0').callersUrl
  const pending: Promise<unknown>[] = []
  const from = performance.now()
  for (let index = 0; index < requests; index++) {
    await delay(Math.max(0, from + index * LOAD_MS / requests - performance.now()))
    pending.push(caller.ask(createSpec(index, tokens), 'vm0', url))
  }
  await Promise.all(pending)
  await delay(Math.max(0, from + LOAD_MS + SECOND_MS - performance.now()))
  const unanswered = caller.attempts.filter(attempt => attempt.outcome?.kind !== 'answered').length
  if (unanswered > 0) throw new Error(`${unanswered} of ${requests} requests received no answer`)
  return caller.attempts.reduce((sum, attempt) => sum + attempt.pieces, 0)
}

/** Cost of an idle VM by fleet size. */
export const idleVmProbe: CapacityProbe = {
  name: 'vm-idle',
  isTimeSensitive: true,
  run: async () => {
    const points: ProbePoint[] = []
    for (const vms of IDLE_SIZES) {
      const measured = await MeasuredFleet.start(vms, 2)
      const before = await measured.tableCounts()
      const { cpuMs, seconds } = await measured.measureCost(async () => { await delay(IDLE_MS) })
      const after = await measured.tableCounts()
      const vmSeries = (quantity: string, unit: string): ProbeSeries => series('entry VM', 'VMs, real processes, 3 engines', quantity, unit, REPORTED_VMS)
      points.push(
        createPoint(vmSeries('processor time idle', 'ms/s'), vms, cpuMs / seconds),
        createPoint(vmSeries('resident memory idle', 'MB'), vms, await measured.vm.residentMb()),
        createPoint(series('table service', 'VMs, real processes', 'reads and scans idle', '1/s', REPORTED_VMS), vms, (after.reads + after.scans - before.reads - before.scans) / seconds),
        createPoint(series('table service', 'VMs, real processes', 'transactions idle', '1/s', REPORTED_VMS), vms, (after.transactions - before.transactions) / seconds)
      )
      await measured.end()
    }
    return points
  }
}

/** Cost of requests and of relayed tokens. */
export const loadedVmProbe: CapacityProbe = {
  name: 'vm-load',
  isTimeSensitive: true,
  run: async () => {
    const measured = await MeasuredFleet.start(1, 5)
    await sendEvenly(measured, TOKEN_REQUESTS, 20)
    const idle = await measured.idleMsPerS()
    const points: ProbePoint[] = []
    for (const requests of REQUEST_COUNTS) points.push(await requestPoint(measured, requests, idle))
    for (const tokens of TOKENS_PER_REQUEST) {
      let relayed = 0
      const { cpuMs, seconds } = await measured.measureCost(async () => { relayed = await sendEvenly(measured, TOKEN_REQUESTS, tokens) })
      points.push(createPoint(series('entry VM', 'tokens relayed, 120 requests', 'processor time of a real VM', 'ms', plannedVmLoad.tokensPerSecond), relayed, cpuMs - idle * seconds))
    }
    await measured.end()
    return points
  }
}

async function requestPoint (measured: MeasuredFleet, requests: number, idle: number): Promise<ProbePoint> {
  const { cpuMs, seconds } = await measured.measureCost(async () => { await sendEvenly(measured, requests, 1) })
  const requestSeries = series('entry VM', 'requests of one token', 'processor time of a real VM', 'ms', plannedVmLoad.requestsPerSecond)
  return createPoint(requestSeries, requests, cpuMs - idle * seconds)
}

/** Resident memory by open streams. */
export const streamsProbe: CapacityProbe = {
  name: 'vm-streams',
  isTimeSensitive: true,
  run: async () => {
    const measured = await MeasuredFleet.start(1, SLOW_MS_PER_TOKEN)
    const caller = new TestCaller()
    const points: ProbePoint[] = []
    for (const streams of STREAM_COUNTS) {
      while (caller.attempts.length < streams) {
        caller.ask(createSpec(caller.attempts.length, STREAM_TOKENS), 'vm0', measured.fleet.vm('vm0').callersUrl).catch(() => {})
        await delay(5)
      }
      await delay(SETTLE_MS)
      const open = caller.attempts.filter(attempt => attempt.outcome === undefined && attempt.pieces > 0).length
      points.push(createPoint(series('entry VM', 'open streams', 'resident memory of a real VM', 'MB', plannedVmLoad.openStreams), open, await measured.vm.residentMb()))
    }
    await measured.end()
    return points
  }
}

/** Servers that answer like idle engines and count calls and bytes. */
class IdleRunners {
  calls = 0
  private readonly servers: Server[] = []
  private readonly sockets = new Set<Socket>()
  private closedBytes = 0

  get bytes (): number {
    return [...this.sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, this.closedBytes)
  }

  async add (): Promise<string> {
    const server = createServer((req, res) => { this.serve(req.url ?? '', res) })
    server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('close', () => {
        this.closedBytes += socket.bytesRead + socket.bytesWritten
        this.sockets.delete(socket)
      })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    this.servers.push(server)
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  close (): void {
    for (const server of this.servers) server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  private serve (url: string, res: ServerResponse): void {
    this.calls += 1
    const body = url.startsWith('/load')
      ? { asOf: Date.now(), running: 0, waiting: 0, slots: 16, models: [{ model: MODEL, version: '1', adapters: [] }], leaving: false }
      : { next: 0, events: [] }
    res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  }
}

/** Cost of load polls by number of runners watched. */
export const pollProbe: CapacityProbe = {
  name: 'vm-polls',
  isTimeSensitive: true,
  run: async () => {
    const measured = await MeasuredFleet.start(1, 2)
    const runners = new IdleRunners()
    const points: ProbePoint[] = []
    const vm = measured.fleet.vm('vm0')
    for (const [round, size] of WATCHED_RUNNERS.entries()) {
      const first = WATCHED_RUNNERS[round - 1] ?? 0
      const patch = [{ op: 'add', path: `/models/many-${round}`, value: {} }]
      for (let index = first; index < size; index++) {
        if ((index - first) % 24 === 0) patch.push({ op: 'add', path: `/models/m${index}`, value: {} })
        const model = `m${index - (index - first) % 24}`
        patch.push({ op: 'add', path: `/runners/idle-${index}`, value: { address: await runners.add(), domain: DOMAINS[index % 3], models: [model] } })
      }
      const outcome = await measured.fleet.operator.patch(vm.operatorsUrl, { base: round + 1, patchId: `runners-${round}`, patch })
      if (outcome.status !== 200) throw new Error(`the patch that adds runners failed with status ${outcome.status} ${outcome.name ?? ''}`)
      await delay(SETTLE_MS)
      points.push(...await pollPoints(measured, runners, size))
    }
    await measured.end()
    runners.close()
    return points
  }
}

async function pollPoints (measured: MeasuredFleet, runners: IdleRunners, size: number): Promise<readonly ProbePoint[]> {
  const pollSeries = (quantity: string, unit: string): ProbeSeries => series('entry VM', 'runners watched', quantity, unit, plannedScale.runners)
  const before = { calls: runners.calls, bytes: runners.bytes }
  const { cpuMs, seconds } = await measured.measureCost(async () => { await delay(IDLE_MS) })
  return [
    createPoint(pollSeries('processor time of a real VM', 'ms/s'), size, cpuMs / seconds),
    createPoint(pollSeries('calls to runners', '1/s'), size, (runners.calls - before.calls) / seconds),
    createPoint(pollSeries('bytes of calls to runners', 'bytes/s'), size, (runners.bytes - before.bytes) / seconds)
  ]
}
