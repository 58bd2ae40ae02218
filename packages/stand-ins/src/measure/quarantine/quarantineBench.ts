/**
 * `npm run bench -- quarantine`: cost of the request quarantine for one VM: digest time by body size,
 * heap, update and lookup time by number of suspected requests, and row size by number of calls on a terminated target.
 */
import type { EndReport, TargetEnd } from '@rosemaryspread/decisions/quarantine/quarantineTypes.js'
import { RequestQuarantine } from '@rosemaryspread/decisions/quarantine/requestQuarantine.js'
import { requestDigest } from 'rosemaryspread/quarantine/requestDigest.js'
import type { Measurement, MeasureRow } from '../measureTypes.js'

const BODY_BYTES = [0, 2_048, 18_000, 110_000]
const SUSPECT_COUNTS = [1_000, 5_000, 20_000]
const DIGEST_COUNTS = [1, 32, 200]
const TARGETS = 600
const CALLS = 2_000
const US_PER_MS = 1_000

/** Cost of the request quarantine. */
export const quarantineBench: Measurement = {
  group: 'bench',
  name: 'quarantine',
  title: 'cost of a request\'s digest, of the state of suspected requests, and of quarantine updates',
  run: async () => [...BODY_BYTES.map(digestRow), ...SUSPECT_COUNTS.flatMap(memoryRows), ...DIGEST_COUNTS.map(updateRow)]
}

function digestRow (bytes: number): MeasureRow {
  const call = { path: '/a/path/of/usual/length', body: Buffer.alloc(bytes, 'x') }
  return { what: 'digest of a body of so many bytes', size: bytes, value: usPerCall(CALLS, () => { requestDigest(call, 'team') }), unit: 'us' }
}

function memoryRows (suspects: number): readonly MeasureRow[] {
  const requests = new RequestQuarantine()
  const before = heapBytes()
  const updateUs = usPerCall(Math.max(1, suspects), index => { requests.apply(createEndReport([createDigest(index)], `t${index % TARGETS}`), 0) })
  const heapGrowth = heapBytes() - before
  const lookupUs = usPerCall(CALLS, index => { requests.standing(createDigest(index), 1) })
  return [
    { what: 'heap for each of so many suspects', size: suspects, value: Math.round(heapGrowth / Math.max(1, suspects)), unit: 'bytes' },
    { what: 'news of one, with so many suspects', size: suspects, value: updateUs, unit: 'us' },
    { what: 'standing of a request, with so many suspects', size: suspects, value: lookupUs, unit: 'us' }
  ]
}

function updateRow (digests: number): MeasureRow {
  const report = createEndReport(Array.from({ length: digests }, (_, index) => createDigest(index)), 't1')
  return { what: 'row of an end under so many requests', size: digests, value: JSON.stringify(report).length, unit: 'bytes' }
}

function createEndReport (digests: readonly string[], target: string): EndReport {
  const end: TargetEnd = { target, domain: 'quito-centro', at: 1_700_000_000_000, startedAt: 1_700_000_000_000 }
  return { kind: 'ended', ends: [end], digests: [...digests] }
}

function createDigest (index: number): string {
  return `digest-${index}`.padEnd(22, '-')
}

function usPerCall (times: number, run: (index: number) => void): number {
  const startedAt = performance.now()
  for (let index = 0; index < times; index += 1) run(index)
  return Math.round((performance.now() - startedAt) * US_PER_MS / times * 100) / 100
}

function heapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
