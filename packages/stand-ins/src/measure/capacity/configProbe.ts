/**
 * Configuration probes: heap, load time and object store traffic by number of teams; polls and
 * pushes by number of VMs, as `measure -- config-traffic` counts them.
 */
import type { ConfigDocument, PatchOperation } from '@rosemaryspread/decisions/config/configRows.js'
import { initialConfig, verifyDocument, preparePatch, type VerifiedConfig } from '@rosemaryspread/decisions/config/configPatch.js'
import { ConfigStore } from 'rosemaryspread/config/configStore.js'
import { KeyDirectory } from 'rosemaryspread/directory/keyDirectory.js'
import { MemoryObjects } from '../../config/memoryObjects.js'
import { MemoryTableStore } from '../../table/memoryTableStore.js'
import { TableState } from '../../table/tableState.js'
import { measureTraffic } from '../config/trafficCounts.js'
import { measureWire } from '../config/wireCost.js'
import { CountingTable } from './countingTable.js'
import { plannedVmLoad, plannedScale } from './plannedScale.js'
import { createPoint, type CapacityProbe, type ProbePoint, type ProbeSeries } from './probeTypes.js'
import { measureHeap, median, processorUs } from './processMeter.js'

const TEAMS = [900, 2_700, 8_100]
const RUNNERS = 600
const BATCH_SIZE = 200
const CHANGES = 128
const LOAD_ROUNDS = 3
const US_PER_MS = 1_000
const log = { write: () => {} }
const systemTimers = {
  after: (ms: number, fn: () => void) => {
    const timer = setTimeout(fn, ms)
    return () => { clearTimeout(timer) }
  }
}

const series = (role: string, quantity: string, unit: string): ProbeSeries => ({ role, driver: 'teams', quantity, unit, at: plannedScale.teams })

function createTeam (index: number): object {
  const hash = (ordinal: number): string => (index * 2 + ordinal).toString(16).padStart(64, '0')
  return { displayName: `Team number ${index}`, budget: `budget-${index}`, models: [`model-${index % plannedScale.models}`], services: [], keyHashes: [hash(0), hash(1)] }
}

function add (path: string, value: object): PatchOperation {
  return { op: 'add', path, value: value as never }
}

/** Patches that build a configuration with this many teams and the planned number of runners and models. */
function createPatches (teams: number): readonly (readonly PatchOperation[])[] {
  const models = Array.from({ length: plannedScale.models }, (_, index) => add(`/models/model-${index}`, {}))
  const runners = Array.from({ length: RUNNERS }, (_, index) => add(`/runners/runner-${index}`, {
    address: `10.1.${index >> 8}.${index & 255}:8000`, domain: `domain-${index % 6}`, models: [`model-${index % plannedScale.models}`]
  }))
  const all = [models, ...inBatches(runners)]
  return [...all, ...inBatches(Array.from({ length: teams }, (_, index) => add(`/teams/team-${index}`, createTeam(index))))]
}

function inBatches<T> (items: readonly T[]): readonly (readonly T[])[] {
  return Array.from({ length: Math.ceil(items.length / BATCH_SIZE) }, (_, index) => items.slice(index * BATCH_SIZE, (index + 1) * BATCH_SIZE))
}

function serializeConfig (teams: number): { readonly digest: string, readonly version: number, readonly text: string } {
  let config: VerifiedConfig = initialConfig()
  for (const patch of createPatches(teams)) config = preparePatch(config, patch, 0).unsafeCoerce().next
  return { digest: config.digest, version: config.version, text: JSON.stringify(config.document) }
}

async function heapPoints (teams: number): Promise<readonly ProbePoint[]> {
  const { digest, version, text } = serializeConfig(teams)
  const load = (): VerifiedConfig => verifyDocument({ version, digest, document: JSON.parse(text) as ConfigDocument }).unsafeCoerce()
  const { retained, bytes } = measureHeap(load)
  const keys = measureHeap(() => {
    const directory = new KeyDirectory()
    directory.replace(Object.entries(retained.config.teams).map(([team, { keyHashes }]) => [team, keyHashes]))
    return directory
  })
  const times: number[] = []
  for (let index = 0; index < LOAD_ROUNDS; index++) times.push(await processorUs(() => { load() }))
  return [
    createPoint(series('entry VM', 'heap of the configuration in force', 'bytes'), teams, bytes),
    createPoint(series('entry VM', 'heap of KeyDirectory', 'bytes'), teams, keys.bytes),
    createPoint(series('entry VM', 'processor time to load the configuration at start', 'ms'), teams, median(times) / US_PER_MS)
  ]
}

/** Object store that counts reads, writes and bytes. */
class CountingObjects extends MemoryObjects {
  gets = 0
  puts = 0
  bytes = 0

  override async get (name: string): ReturnType<MemoryObjects['get']> {
    this.gets++
    const found = await super.get(name)
    this.bytes += found.map(item => item.map(body => body.length).orDefault(0)).orDefault(0)
    return found
  }

  override async put (name: string, body: Buffer): ReturnType<MemoryObjects['put']> {
    this.puts++
    this.bytes += body.length
    return await super.put(name, body)
  }
}

function createStore (state: TableState, objects: MemoryObjects): { readonly store: ConfigStore, readonly table: CountingTable } {
  const table = new CountingTable(new MemoryTableStore(state))
  const clock = { now: () => ({ mono: performance.now(), wall: Date.now() }) }
  return { table, store: new ConfigStore({ table, objects, clock, log, timers: systemTimers, random: () => 0.5 }) }
}

async function objectPoints (teams: number): Promise<readonly ProbePoint[]> {
  const state = new TableState()
  const objects = new CountingObjects()
  const { store } = createStore(state, objects)
  await store.load()
  const accept = async (patchId: string, patch: readonly PatchOperation[]): Promise<void> => {
    const base = store.inForce?.version ?? 0
    const answer = await store.patch({ base, patchId, author: 'bench', dryRun: false, patch: [...patch] })
    answer.unsafeCoerce()
  }
  for (const [index, patch] of createPatches(teams).entries()) await accept(`first-${index}`, patch)
  await awaitObjectWrites()
  const before = { puts: objects.puts, bytes: objects.bytes }
  for (let index = 0; index < CHANGES; index++) {
    await accept(`change-${index}`, [{ op: 'replace', path: `/teams/team-${index % teams}/weight`, value: index + 2 }])
    await awaitObjectWrites()
  }
  const puts = (objects.puts - before.puts) / CHANGES
  const bytes = (objects.bytes - before.bytes) / CHANGES
  const startObjects = new CountingObjects()
  for (const [name, body] of objects.objects) startObjects.objects.set(name, body)
  const started = createStore(state, startObjects)
  await started.store.load()
  return [
    createPoint(series('object store', 'objects written for each change', ''), teams, puts),
    createPoint(series('object store', 'bytes read and written for each change', 'bytes'), teams, bytes),
    createPoint(series('object store', 'objects read by a VM that starts', ''), teams, startObjects.gets),
    createPoint(series('object store', 'bytes read by a VM that starts', 'bytes'), teams, startObjects.bytes),
    createPoint(series('table service', 'rows read for the configuration by a VM that starts', ''), teams, started.table.counts.rowsRead)
  ]
}

/** Waits for object writes that run in the background. */
async function awaitObjectWrites (): Promise<void> {
  for (let turn = 0; turn < 8; turn++) await new Promise(resolve => setImmediate(resolve))
}

/** Heap and load time by number of teams. */
export const teamProbe: CapacityProbe = {
  name: 'teams',
  isTimeSensitive: true,
  run: async () => {
    await heapPoints(BATCH_SIZE)
    const points: ProbePoint[] = []
    for (const teams of TEAMS) points.push(...await heapPoints(teams))
    return points
  }
}

/** Object store traffic by number of teams. */
export const objectProbe: CapacityProbe = {
  name: 'objects',
  isTimeSensitive: false,
  run: async () => {
    const points: ProbePoint[] = []
    for (const teams of TEAMS) points.push(...await objectPoints(teams))
    return points
  }
}

/** Configuration traffic by number of VMs. */
export const configTrafficProbe: CapacityProbe = {
  name: 'config-traffic',
  isTimeSensitive: true,
  run: async seed => {
    const rows = await measureTraffic(seed)
    const [poll, push] = await measureWire()
    const vmSeries = (quantity: string, unit: string): ProbeSeries => ({ role: 'entry VM', driver: 'VMs', quantity, unit, at: plannedScale.vms })
    const fleetSeries = (quantity: string, unit: string): ProbeSeries => ({ role: 'table service', driver: 'VMs, whole fleet', quantity, unit, at: plannedScale.vms })
    return rows.flatMap(row => {
      const vms = Number(row.vms)
      const polls = Number(row.idleTableCallsPerVmS)
      const pushes = Number(row.changePeerMessagesPerVm) / 2 * plannedVmLoad.changesPerSecond
      const bytes = polls * Number(poll?.bytesBothWays) + pushes * Number(push?.bytesBothWays)
      const us = (polls * Number(poll?.processorMsBothEnds) + pushes * Number(push?.processorMsBothEnds)) * US_PER_MS
      return [
        createPoint(vmSeries('bytes of configuration polls and pushes', 'bytes/s'), vms, bytes),
        createPoint(vmSeries('processor time of polls and pushes, both ends', 'us/s'), vms, us),
        createPoint(vmSeries('time until a change is in force everywhere, largest', 'ms'), vms, Number(row.inForceMaxMs)),
        createPoint(fleetSeries('configuration reads when idle', '1/s'), vms, polls * vms),
        createPoint(fleetSeries('configuration reads for changes', '1/s'), vms, Number(row.changeTableCallsPerVm) * vms * plannedVmLoad.changesPerSecond)
      ]
    })
  }
}
