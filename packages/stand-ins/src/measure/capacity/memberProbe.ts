/**
 * Membership probes by number of VMs: heap of one VM's view, table and VM list calls of the fleet,
 * messages and bytes between VMs, and processor time.
 */
import { MemberHarness } from '@rosemaryspread/decisions/membership/memberHarness.fixture.js'
import { MemberTable } from '@rosemaryspread/decisions/membership/memberTable.js'
import { defaultMemberLimits, type MemberRow } from '@rosemaryspread/decisions/membership/memberTypes.js'
import { membershipBench } from '../membershipBench.js'
import { plannedScale } from './plannedScale.js'
import { createPoint, type CapacityProbe, type ProbePoint, type ProbeSeries } from './probeTypes.js'
import { measureHeap } from './processMeter.js'

const DOMAINS = ['quito-centro', 'cumbaya', 'tababela', 'thu-duc', 'tan-binh', 'binh-thanh']
const HEAP_SIZES = [60, 180, 360, 720]
const CALL_SIZES = [12, 30, 60]
const SECOND_MS = 1_000
/** Scan periods over which calls are counted. */
const COUNTED_SCAN_PERIODS = 3

const vmSeries = (quantity: string, unit: string): ProbeSeries => ({ role: 'entry VM', driver: 'VMs', quantity, unit, at: plannedScale.vms })
const tableSeries = (quantity: string): ProbeSeries => ({ role: 'table service', driver: 'VMs, whole fleet', quantity, unit: '1/s', at: plannedScale.vms })

function createRow (index: number): MemberRow {
  const domain = DOMAINS[index % DOMAINS.length] ?? ''
  const vm = `${domain}-${index}`
  const address = `10.0.${index >> 8}.${index & 255}`
  return { vm, holder: `${vm}~0123456789ab`, domain, region: 'ecuador', callers: `${address}:8000`, operators: `${address}:8001`, peers: `${address}:8002`, state: 'live', configVersion: 1, capacity: 1 }
}

function createTable (vms: number): MemberTable {
  const now = { mono: 0, wall: 0 }
  const table = new MemberTable(createRow(0), () => 0.5)
  const rows = Array.from({ length: vms }, (_, index) => ({ row: createRow(index), version: index + 1, ageMs: 0 }))
  table.handle({ kind: 'rowsRead', rows, whole: true, requestedAt: now }, now)
  return table
}

/** Calls of the whole fleet per second. */
function callPoints (vms: number): readonly ProbePoint[] {
  const fleet = new MemberHarness()
  for (let index = 0; index < vms; index++) fleet.add(DOMAINS[index % DOMAINS.length] ?? '', index, '0123456789ab')
  const { scanMs, scanMsPerMember } = defaultMemberLimits
  const period = Math.ceil((scanMs + scanMsPerMember * vms) / SECOND_MS)
  fleet.run(period)
  for (const vm of fleet.vms) vm.actions.length = 0
  fleet.run(period * COUNTED_SCAN_PERIODS)
  const rate = (...kinds: ReadonlyArray<Parameters<typeof fleet.vms[number]['count']>[0]>): number =>
    fleet.vms.reduce((sum, vm) => sum + kinds.reduce((subtotal, kind) => subtotal + vm.count(kind), 0), 0) / period / COUNTED_SCAN_PERIODS
  return [
    createPoint(tableSeries('membership transactions'), vms, rate('writeLocalRow', 'deleteRow')),
    createPoint(tableSeries('membership reads and scans'), vms, rate('scan', 'readRows', 'readLocalRow')),
    createPoint(tableSeries('rows read by membership scans'), vms, rate('scan') * vms),
    createPoint({ ...tableSeries('reads of the VM list'), role: 'VM list' }, vms, rate('readList'))
  ]
}

/** Heap and calls of membership, simulated without sockets. */
export const memberProbe: CapacityProbe = {
  name: 'members',
  isTimeSensitive: false,
  run: async () => {
    measureHeap(() => createTable(Math.max(...HEAP_SIZES)))
    const heap = HEAP_SIZES.map(size => createPoint(vmSeries('heap of MemberTable', 'bytes'), size, measureHeap(() => createTable(size)).bytes))
    return [...heap, ...CALL_SIZES.flatMap(callPoints)]
  }
}

/** Heartbeat and rumor traffic by number of VMs, as `bench -- membership` counts it. */
export const gossipProbe: CapacityProbe = {
  name: 'gossip',
  isTimeSensitive: true,
  run: async seed => {
    const rows = await membershipBench.run({ seed })
    return rows.flatMap(row => [
      createPoint(vmSeries('messages of membership both ways, busiest', '1/s'), Number(row.vms), Number(row.messages_both_ways_per_s_busiest)),
      createPoint(vmSeries('bytes of membership both ways, busiest', 'bytes/s'), Number(row.vms), Number(row.bytes_both_ways_per_s_busiest)),
      createPoint(vmSeries('processor time to decide and encode membership', 'us/s'), Number(row.vms), Number(row.decide_and_encode_us_per_s))
    ])
  }
}
