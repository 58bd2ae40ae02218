/**
 * Configuration messages and bytes of each VM, idle and per change, by number of VMs, in virtual
 * time. Bytes are those of the JSON bodies, without HTTP and TCP headers.
 */
import { ConfigFleet, type FleetVm } from '../../config/configFleet.js'
import type { Traffic } from '../../config/fleetTable.js'
import type { MeasureRow } from '../measureTypes.js'
import { quantile } from './propagationTimes.js'

const SIZES = [6, 60, 360]
const IDLE_MS = 60_000
const CHANGES = 20
const CHANGE_MS = 6_000
const SECOND_MS = 1_000

interface Counts {
  readonly table: Traffic
  readonly peers: Traffic
}

function sumTraffic (vms: readonly FleetVm[], trafficOf: (vm: FleetVm) => Traffic): Traffic {
  const sum = { messages: 0, bytes: 0 }
  for (const vm of vms) {
    sum.messages += trafficOf(vm).messages
    sum.bytes += trafficOf(vm).bytes
  }
  return sum
}

function countTraffic (fleet: ConfigFleet): Counts {
  return { table: sumTraffic(fleet.vms, vm => vm.table.traffic), peers: sumTraffic(fleet.vms, vm => vm.peerTraffic) }
}

/** Messages or bytes of one VM per change, without the idle traffic. */
function perChange (before: Counts, after: Counts, idle: Counts, link: keyof Counts, field: keyof Traffic, vms: number): number {
  const idleShare = idle[link][field] * (CHANGES * CHANGE_MS) / IDLE_MS
  return (after[link][field] - before[link][field] - idleShare) / vms / CHANGES
}

async function measureSize (vms: number, seed: string): Promise<MeasureRow> {
  const fleet = new ConfigFleet({ vms, seed: `${seed}/${vms}` })
  await fleet.start()
  await fleet.addModel(fleet.vm(0), 0, 'first')
  await fleet.time.run(IDLE_MS)
  const start = countTraffic(fleet)
  await fleet.time.run(IDLE_MS)
  const afterIdle = countTraffic(fleet)
  const idle: Counts = {
    table: { messages: afterIdle.table.messages - start.table.messages, bytes: afterIdle.table.bytes - start.table.bytes },
    peers: { messages: afterIdle.peers.messages - start.peers.messages, bytes: afterIdle.peers.bytes - start.peers.bytes }
  }
  const times: number[] = []
  for (let change = 1; change <= CHANGES; change++) times.push(await applyChange(fleet, change))
  const after = countTraffic(fleet)
  fleet.stop()
  times.sort((one, other) => one - other)
  const seconds = IDLE_MS / SECOND_MS
  const perVmChange = (link: keyof Counts, field: keyof Traffic): number => Number(perChange(afterIdle, after, idle, link, field, vms).toFixed(1))
  return {
    vms,
    idleTableCallsPerVmS: Number((idle.table.messages / vms / seconds).toFixed(2)),
    idleTableBytesPerVmS: Math.round(idle.table.bytes / vms / seconds),
    idlePeerMessagesPerVmS: Number((idle.peers.messages / vms / seconds).toFixed(2)),
    changeTableCallsPerVm: perVmChange('table', 'messages'),
    changeTableBytesPerVm: perVmChange('table', 'bytes'),
    changePeerMessagesPerVm: perVmChange('peers', 'messages'),
    changePeerBytesPerVm: perVmChange('peers', 'bytes'),
    inForceP50Ms: Math.round(quantile(times, 0.5)),
    inForceMaxMs: Math.round(quantile(times, 1))
  }
}

/** Applies a change; returns the milliseconds from the answer to the operator until all VMs have the version. */
async function applyChange (fleet: ConfigFleet, change: number): Promise<number> {
  const acceptor = fleet.vm(Math.floor(fleet.random() * fleet.vms.length))
  const from = fleet.time.now().mono
  await fleet.addModel(acceptor, change, `m${change}`)
  const answered = fleet.time.now().mono
  await fleet.time.run(CHANGE_MS - (answered - from))
  const arrivals = fleet.inForce.filter(record => record.version === change + 1).map(record => record.at)
  return arrivals.length < fleet.vms.length ? Infinity : Math.max(...arrivals) - answered
}

/** Measures fleets of all sizes. */
export async function measureTraffic (seed: string): Promise<readonly MeasureRow[]> {
  const rows: MeasureRow[] = []
  for (const vms of SIZES) rows.push(await measureSize(vms, seed))
  return rows
}
