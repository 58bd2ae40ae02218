/**
 * `npm run bench -- membership`: cost of the membership protocol for one VM, by fleet size. The protocol logic of all VMs runs in
 * this process without sockets; messages are encoded as on a peer link, and each new connection adds the bytes of a handshake.
 */
import { createJSONRPCNotification } from 'json-rpc-2.0'
import { Packr } from 'msgpackr'
import { MemberHarness, type HarnessVm } from '@rosemaryspread/decisions/membership/memberHarness.fixture.js'
import type { Measurement, MeasureRow } from './measureTypes.js'

const DOMAINS = ['quito-centro', 'cumbaya', 'tababela', 'thu-duc', 'tan-binh', 'binh-thanh']
const PER_DOMAIN = [1, 10, 60]
const WARM_UP_PERIODS = 30
const PERIODS = 60
/** Has the length of a real holder token. */
const HOLDER_TOKEN = '0123456789ab'
/** Bytes in both directions, measured by `npm run bench -- peers`. */
const HANDSHAKE_BYTES = 377
/** Link probe bytes per message on a link that carries one notification per second and no responses; measured by the same bench. */
const PROBE_BYTES = 9
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
  run: async () => PER_DOMAIN.map(measureFleet)
}

function measureFleet (perDomain: number): MeasureRow {
  const fleet = new MemberHarness()
  for (const domain of DOMAINS) {
    for (let i = 0; i < perDomain; i++) fleet.add(domain, i, HOLDER_TOKEN)
  }
  const meter = new TrafficMeter(fleet)
  fleet.run(WARM_UP_PERIODS)
  meter.reset()
  const before = process.cpuUsage()
  fleet.run(PERIODS)
  const used = process.cpuUsage(before)
  const all = fleet.vms.map(vm => meter.of(vm))
  const size = fleet.vms.length
  return {
    vms: size,
    messages_out_per_s: perSecond(all, traffic => traffic.messagesOut),
    bytes_out_per_s: perSecond(all, traffic => traffic.bytesOut),
    bytes_both_ways_per_s: perSecond(all, traffic => traffic.bytesOut + traffic.bytesIn),
    bytes_both_ways_per_s_busiest: round(Math.max(...all.map(traffic => traffic.bytesOut + traffic.bytesIn)) / PERIODS),
    messages_both_ways_per_s_busiest: round(Math.max(...all.map(traffic => traffic.messagesOut + traffic.messagesIn)) / PERIODS),
    handshakes_per_s: perSecond(all, traffic => traffic.handshakes),
    false_suspicions: falseSuspicions(fleet),
    decide_and_encode_us_per_s: round((used.user + used.system) / size / PERIODS)
  }
}

/** Number of (observer, member) pairs whose observer does not consider the member live. */
function falseSuspicions (fleet: MemberHarness): number {
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
    const { link, isNew } = this.linkOf(from, to)
    const bytes = link.packr.pack(createJSONRPCNotification('beat', heartbeat)).length + PROBE_BYTES + (isNew ? HANDSHAKE_BYTES : 0)
    const sender = this.at(from)
    sender.bytesOut += bytes
    sender.messagesOut++
    sender.handshakes += isNew ? 1 : 0
    const receiver = this.at(to)
    receiver.bytesIn += bytes
    receiver.messagesIn++
  }

  private linkOf (from: string, to: string): { readonly link: Link, readonly isNew: boolean } {
    const name = `${from} ${to}`
    const known = this.links.get(name)
    const now = this.fleet.time / 1_000
    const isNew = known === undefined || now - known.usedAt > IDLE_PERIODS
    const link = isNew ? { packr: new Packr({ sequential: true }), usedAt: now } : known
    link.usedAt = now
    this.links.set(name, link)
    return { link, isNew }
  }

  private at (address: string): Traffic {
    const known = this.traffic.get(address) ?? { bytesOut: 0, bytesIn: 0, messagesOut: 0, messagesIn: 0, handshakes: 0 }
    this.traffic.set(address, known)
    return known
  }
}

function perSecond (all: readonly Traffic[], value: (traffic: Traffic) => number): number {
  return round(all.reduce((sum, traffic) => sum + value(traffic), 0) / all.length / PERIODS)
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
