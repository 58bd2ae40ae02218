/**
 * Plans the heartbeats of one period. The number of messages and the size of each are bounded whatever the size of the fleet.
 */
import { heartbeatTargets, roleCandidates } from './memberRing.js'
import type { MemberRecord } from './memberRecord.js'
import { MEMBER_ROLES } from './memberRoles.js'
import type { MemberLimits, MemberState } from './memberTypes.js'
import type { RumorQueue } from './rumorQueue.js'

/** One message to several VMs. */
export interface PlannedBeat {
  readonly to: readonly MemberRecord[]
  /** VMs whose updates the message contains. */
  readonly about: readonly string[]
  /** Whether it requests a heartbeat in return. */
  readonly ask: boolean
}

/** State of the fleet at one moment. */
export interface FleetMoment {
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
  private stranger: string | undefined
  private strangerUntil = 0

  /** @param random - uniform in [0, 1) */
  constructor (private readonly rumors: RumorQueue, private readonly random: () => number, private readonly limits: MemberLimits) {}

  next (moment: FleetMoment): readonly PlannedBeat[] {
    const targets = this.targets(moment)
    const silent = this.silent(moment)
    const changed = this.rumors.takeRumors(this.limits.rumors)
    const stranger = this.nextStranger(moment, targets)
    const digest = stranger === undefined ? [] : this.digest(moment)
    return [
      { to: [...targets].filter(record => !silent.includes(record)), about: changed, ask: false },
      { to: silent, about: [], ask: true },
      { to: stranger === undefined ? [] : [stranger], about: [...changed, ...digest], ask: false }
    ]
  }

  private targets (moment: FleetMoment): Set<MemberRecord> {
    const targets = new Set(heartbeatTargets(moment.self, moment.participants, this.limits))
    const writer = moment.beat % this.limits.writerEvery === 0 ? writerCandidate(moment) : undefined
    if (writer !== undefined) targets.add(writer)
    return targets
  }

  /** Retained for several periods, because each new peer costs a connection and a handshake. */
  private nextStranger (moment: FleetMoment, targets: ReadonlySet<MemberRecord>): MemberRecord | undefined {
    const others = moment.participants.filter(record => !targets.has(record))
    const kept = others.find(record => record.vm === this.stranger)
    if (kept !== undefined && moment.beat < this.strangerUntil) return kept
    const chosen = others[Math.floor(this.random() * others.length)]
    this.stranger = chosen?.vm
    this.strangerUntil = moment.beat + this.limits.strangerPeriods
    return chosen
  }

  private digest (moment: FleetMoment): readonly string[] {
    return this.rumors.takeDigest([...moment.states.keys()].map(record => record.vm), this.limits.digest)
  }

  /** Watched VMs to request a heartbeat from. */
  private silent (moment: FleetMoment): readonly MemberRecord[] {
    return moment.participants.filter(record => moment.silenceMs(record) > this.limits.askAfterMs)
  }
}

function writerCandidate ({ self, states }: FleetMoment): MemberRecord | undefined {
  const live = [...states].filter(([record, state]) => state === 'live' && record.domain === self.domain)
  const records = new Map(live.map(([record]) => [record.vm, record]))
  const [best] = roleCandidates(MEMBER_ROLES.writer(self.domain), [self.vm, ...records.keys()], 1)
  return best === undefined ? undefined : records.get(best)
}
