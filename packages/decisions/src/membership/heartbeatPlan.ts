/**
 * Plans the heartbeats of one period. The number of messages and the size of each are bounded whatever the size of the fleet.
 */
import { heartbeatRecipients, roleCandidates } from './memberRing.js'
import type { MemberRecord } from './memberRecord.js'
import { MEMBER_ROLES } from './memberRoles.js'
import type { MemberLimits, MemberState } from './memberTypes.js'
import type { RumorQueue } from './rumorQueue.js'

/** One message to several VMs. */
export interface PlannedHeartbeat {
  readonly to: readonly MemberRecord[]
  /** VMs whose updates the message contains. */
  readonly about: readonly string[]
  /** Whether it requests a heartbeat in return. */
  readonly ask: boolean
}

/** State of the fleet at one moment. */
export interface FleetState {
  readonly self: { readonly vm: string, readonly domain: string }
  /** Every other VM with its state. */
  readonly states: ReadonlyMap<MemberRecord, MemberState>
  /** VMs that take part in heartbeats. */
  readonly participants: readonly MemberRecord[]
  /** Sequence number of this VM's heartbeat. */
  readonly beat: number
  /** Milliseconds without a heartbeat that count against a VM. */
  readonly silenceMs: (record: MemberRecord) => number
}

/** Plans the heartbeats of one VM. */
export class HeartbeatPlan {
  /** Random VM beyond the regular recipients that gets heartbeats for a few periods. */
  private randomPeer: string | undefined
  private randomPeerUntil = 0

  /** @param random - uniform in [0, 1) */
  constructor (private readonly rumors: RumorQueue, private readonly random: () => number, private readonly limits: MemberLimits) {}

  next (fleet: FleetState): readonly PlannedHeartbeat[] {
    const targets = this.targets(fleet)
    const unresponsive = this.unresponsive(fleet)
    const changed = this.rumors.nextRumors(this.limits.rumors)
    const randomPeer = this.nextRandomPeer(fleet, targets)
    const digest = randomPeer === undefined ? [] : this.digest(fleet)
    return [
      { to: [...targets].filter(record => !unresponsive.includes(record)), about: changed, ask: false },
      { to: unresponsive, about: [], ask: true },
      { to: randomPeer === undefined ? [] : [randomPeer], about: [...changed, ...digest], ask: false }
    ]
  }

  private targets (fleet: FleetState): Set<MemberRecord> {
    const recipients = new Set(heartbeatRecipients(fleet.self, fleet.participants, this.limits))
    const writer = fleet.beat % this.limits.writerEvery === 0 ? writerCandidate(fleet) : undefined
    if (writer !== undefined) recipients.add(writer)
    return recipients
  }

  /** Retained for several periods, because each new peer costs a connection and a handshake. */
  private nextRandomPeer (fleet: FleetState, recipients: ReadonlySet<MemberRecord>): MemberRecord | undefined {
    const others = fleet.participants.filter(record => !recipients.has(record))
    const retained = others.find(record => record.vm === this.randomPeer)
    if (retained !== undefined && fleet.beat < this.randomPeerUntil) return retained
    const chosen = others[Math.floor(this.random() * others.length)]
    this.randomPeer = chosen?.vm
    this.randomPeerUntil = fleet.beat + this.limits.randomPeerPeriods
    return chosen
  }

  private digest (fleet: FleetState): readonly string[] {
    return this.rumors.nextDigest([...fleet.states.keys()].map(record => record.vm), this.limits.digest)
  }

  /** Watched VMs to request a heartbeat from. */
  private unresponsive (fleet: FleetState): readonly MemberRecord[] {
    return fleet.participants.filter(record => fleet.silenceMs(record) > this.limits.probeAfterMs)
  }
}

function writerCandidate ({ self, states }: FleetState): MemberRecord | undefined {
  const live = [...states].filter(([record, state]) => state === 'live' && record.domain === self.domain)
  const records = new Map(live.map(([record]) => [record.vm, record]))
  const [best] = roleCandidates(MEMBER_ROLES.writer(self.domain), [self.vm, ...records.keys()], 1)
  return best === undefined ? undefined : records.get(best)
}
