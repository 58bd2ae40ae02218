/**
 * `npm run bench -- membership`: cost of the membership protocol for one VM, by fleet size. The protocol logic of all VMs runs in
 * this process without sockets; messages are encoded as on a peer link, and each new connection adds the bytes of a handshake.
 */
import { createJSONRPCNotification } from 'json-rpc-2.0'
import { Packr } from 'msgpackr'
import { MemberHarness, type HarnessVm } from '@rosemaryspread/decisions/membership/memberHarness.fixture.js'
import type { Measurement, MeasureRow } from './measureTypes.js'

const DOMAINS = ['quito-centro', 'cumbaya', 'tababela', 'thu-duc', 'tan-binh', 'binh-thanh']
const VMS_PER_DOMAIN = [1, 10, 60]
const WARM_UP_PERIODS = 30
const PERIODS = 60
/** Has the length of a real holder token. */
const SAMPLE_HOLDER_TOKEN = '0123456789ab'
/** Bytes in both directions, measured by `npm run bench -- peers`. */
const HANDSHAKE_BYTES = 377
/** Link probe bytes per message on a link that carries one notification per second and no responses; measured by the same bench. */
const PROBE_BYTES_PER_MESSAGE = 9
/** The client closes a link after this many periods without traffic. */
const IDLE_PERIODS = 30

/** Traffic counters of one VM. */
interface Traffic {
  bytesOut: number
  bytesIn: number
  messagesOut: number
  messagesIn: number
  handshakes: number
}

interface Link {
  readonly packr: Packr
  usedAt: number
}

export const membershipBench: Measurement = {
  group: 'bench',
  name: 'membership',
  title: 'messages, bytes and decision time of the membership protocol for one VM, by fleet size',
  run: async () => VMS_PER_DOMAIN.map(measureFleet)
}

function measureFleet (perDomain: number): MeasureRow {
  const fleet = new MemberHarness()
  for (const domain of DOMAINS) {
    for (let i = 0; i < perDomain; i++) fleet.add(domain, i, SAMPLE_HOLDER_TOKEN)
  }
  const meter = new TrafficMeter(fleet)
  fleet.run(WARM_UP_PERIODS)
  meter.reset()
  const cpuBefore = process.cpuUsage()
  fleet.run(PERIODS)
  const cpu = process.cpuUsage(cpuBefore)
  const all = fleet.vms.map(vm => meter.of(vm))
  const size = fleet.vms.length
  return {
    vms: size,
    messages_out_per_s: meanPerSecond(all, traffic => traffic.messagesOut),
    bytes_out_per_s: meanPerSecond(all, traffic => traffic.bytesOut),
    bytes_both_ways_per_s: meanPerSecond(all, traffic => traffic.bytesOut + traffic.bytesIn),
    bytes_both_ways_per_s_busiest: round(Math.max(...all.map(traffic => traffic.bytesOut + traffic.bytesIn)) / PERIODS),
    messages_both_ways_per_s_busiest: round(Math.max(...all.map(traffic => traffic.messagesOut + traffic.messagesIn)) / PERIODS),
    handshakes_per_s: meanPerSecond(all, traffic => traffic.handshakes),
    false_suspicions: countFalseSuspicions(fleet),
    decide_and_encode_us_per_s: round((cpu.user + cpu.system) / size / PERIODS)
  }
}

/** Number of (observer, member) pairs whose observer does not consider the member live. */
function countFalseSuspicions (fleet: MemberHarness): number {
  const views = fleet.vms.flatMap(vm => vm.table.members(vm.now()))
  return views.filter(view => view.state !== 'live').length
}

/** Counts the messages, bytes and handshakes of each VM. */
class TrafficMeter {
  private readonly traffic = new Map<string, Traffic>()
  private readonly links = new Map<string, Link>()

  constructor (private readonly fleet: MemberHarness) {
    fleet.onMessage = (from, to, heartbeat) => this.count(from.row.peers, to, heartbeat)
  }

  /** Clears the counters; links stay open. */
  reset (): void {
    this.traffic.clear()
  }

  of (vm: HarnessVm): Traffic {
    return this.at(vm.row.peers)
  }

  private count (from: string, to: string, heartbeat: unknown): void {
    const { link, isNew } = this.openLink(from, to)
    const bytes = link.packr.pack(createJSONRPCNotification('beat', heartbeat)).length + PROBE_BYTES_PER_MESSAGE + (isNew ? HANDSHAKE_BYTES : 0)
    const sender = this.at(from)
    sender.bytesOut += bytes
    sender.messagesOut++
    sender.handshakes += isNew ? 1 : 0
    const receiver = this.at(to)
    receiver.bytesIn += bytes
    receiver.messagesIn++
  }

  private openLink (from: string, to: string): { readonly link: Link, readonly isNew: boolean } {
    const linkKey = `${from} ${to}`
    const existing = this.links.get(linkKey)
    const now = this.fleet.time / 1_000
    const isNew = existing === undefined || now - existing.usedAt > IDLE_PERIODS
    const link = isNew ? { packr: new Packr({ sequential: true }), usedAt: now } : existing
    link.usedAt = now
    this.links.set(linkKey, link)
    return { link, isNew }
  }

  private at (address: string): Traffic {
    const counters = this.traffic.get(address) ?? { bytesOut: 0, bytesIn: 0, messagesOut: 0, messagesIn: 0, handshakes: 0 }
    this.traffic.set(address, counters)
    return counters
  }
}

function meanPerSecond (all: readonly Traffic[], select: (traffic: Traffic) => number): number {
  return round(all.reduce((sum, traffic) => sum + select(traffic), 0) / all.length / PERIODS)
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
