/**
 * Membership as the decider sees it: what the VMs tell each other, what the table and the
 * platform's list say, and what follows from it.
 */
import * as z from 'zod'
import type { Instant } from '../clock/clockTypes.js'
import type { HolderId } from '../names/nameTypes.js'

/** Table of the rows `vms/<vm>`. */
export const MEMBER_TABLE = 'vms'

const count = z.number().int().nonnegative()
const version = count.nullable()

/** Row `vms/<vm>`: the present incarnation of a VM. Addresses are IPv4:port. */
export const memberRowSchema = z.object({
  vm: z.string(),
  holder: z.string(),
  domain: z.string(),
  region: z.string(),
  callers: z.string(),
  operators: z.string(),
  peers: z.string(),
  state: z.enum(['live', 'leaving']),
  /** Configuration version in force; null before the first. */
  configVersion: version,
  /** Share of the callers' load relative to other VMs. */
  capacity: z.number().positive().default(1)
})
export type MemberRow = z.infer<typeof memberRowSchema>

/** What is told of one VM; short names of members, for it is the bulk of the traffic. */
export const memberNewsSchema = z.object({
  holder: z.string().max(256),
  /** Number of the heartbeat from which this is known; rises with each one of a holder. */
  beat: count,
  state: z.enum(['live', 'leaving', 'suspected']),
  config: version,
  /** Requests open at the VM. */
  open: count,
  /** Milliseconds since the heartbeat was sent, by the clocks on its way. */
  age: count
})
export type MemberNews = z.infer<typeof memberNewsSchema>

/** A heartbeat: the sender's own state, and what it passes on of others. */
export const heartbeatSchema = z.object({
  self: memberNewsSchema,
  news: z.array(memberNewsSchema).max(64),
  /** Asks the receiver for a heartbeat in return. */
  ask: z.boolean()
})
export type Heartbeat = z.infer<typeof heartbeatSchema>

/** `suspected`: no sign of life for a while; `gone`: the platform ended the VM. */
export type MemberState = 'live' | 'leaving' | 'suspected' | 'gone'

/** One VM as this VM sees it. */
export interface MemberView extends Omit<MemberRow, 'state'> {
  readonly state: MemberState
  readonly openRequests: number
  /** Milliseconds since the last sign of life. */
  readonly ageMs: number
}

/** A row of the table with its version and the milliseconds since it was written. */
export interface ReadMember {
  readonly row: MemberRow
  readonly version: number
  readonly ageMs: number
}

/** One entry of the platform's list. */
export interface ListedVm {
  readonly vm: string
  readonly state: 'live' | 'leaving' | 'gone'
}

/** How the write of the own row ended. */
export type OwnWriteOutcome =
  | { readonly kind: 'written', readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' }

/** What the decider is told. */
export type MemberEvent =
  | { readonly kind: 'tick' }
  /** The VM's own figures changed. */
  | { readonly kind: 'self', readonly configVersion: number | null, readonly openRequests: number }
  | { readonly kind: 'heard', readonly from: HolderId, readonly heartbeat: Heartbeat }
  /** Rows read; `whole` when no other rows exist. */
  | { readonly kind: 'rowsRead', readonly rows: readonly ReadMember[], readonly whole: boolean, readonly askedAt: Instant }
  /** The platform's list; `lagMs` is its age when it was answered. */
  | { readonly kind: 'listRead', readonly vms: readonly ListedVm[], readonly lagMs: number, readonly askedAt: Instant }
  | { readonly kind: 'ownRead', readonly found: { readonly holder: HolderId, readonly version: number } | null }
  | { readonly kind: 'ownUnreadable' }
  | { readonly kind: 'ownWritten', readonly outcome: OwnWriteOutcome }
  | { readonly kind: 'leave' }

/** What the shell has to do. */
export type MemberAction =
  | { readonly kind: 'beat', readonly to: readonly string[], readonly heartbeat: Heartbeat }
  /** Read every row. */
  | { readonly kind: 'scan' }
  /** Read the rows of these VMs. */
  | { readonly kind: 'readRows', readonly vms: readonly string[] }
  | { readonly kind: 'readList' }
  | { readonly kind: 'readOwn' }
  /** Write the own row if its version is still the given one (null: if there is none). */
  | { readonly kind: 'writeOwn', readonly row: MemberRow, readonly version: number | null }
  /** Delete the row of a VM that ended long ago, if its version is still the given one. */
  | { readonly kind: 'dropRow', readonly vm: string, readonly version: number }
  | { readonly kind: 'changed', readonly vm: string, readonly state: MemberState, readonly evidence: string }
  /** A clock moved on by more than the time between two ticks: the process may have been paused. */
  | { readonly kind: 'jumped', readonly jumpMs: number }
  /** Another incarnation runs under this VM's name: this process must stop. */
  | { readonly kind: 'replaced', readonly by: HolderId }

/** Periods and thresholds in milliseconds, and bounds of fan-out. */
export interface MemberLimits {
  /** Between two heartbeats. */
  readonly periodMs: number
  /** A watched VM that is silent for so long is asked for a sign of life. */
  readonly askAfterMs: number
  /** A watched VM that is silent for so long is suspected. */
  readonly suspectAfterMs: number
  /** Any VM of which nothing was heard in any way for so long is suspected; grows with the fleet, more than the scans. */
  readonly staleAfterMs: number
  /** A VM silent for so long gets no heartbeats. */
  readonly forgetAfterMs: number
  /** A tick so much later than the one before means a pause. */
  readonly jumpMs: number
  /** Between two writes of the own row. */
  readonly renewMs: number
  /** Shortest time between two scans, and between two reads of the list; grow with the fleet. */
  readonly scanMs: number
  readonly listMs: number
  /** Added to both for each member. */
  readonly scanMsPerMember: number
  readonly listMsPerMember: number
  readonly staleMsPerMember: number
  /** Up to so many members everyone sends to everyone. */
  readonly meshMembers: number
  /** Successors on the ring of the domain that get each heartbeat. */
  readonly ringFanout: number
  /** Periods between two heartbeats to the domain's first candidate for the writer's role. */
  readonly writerEvery: number
  /** Periods for which one random VM outside these gets heartbeats too. */
  readonly strangerPeriods: number
  /** Entries passed on with a heartbeat to a neighbour, and with the one to a random VM. */
  readonly rumors: number
  readonly digest: number
  /** Times that a change is passed on. */
  readonly rumorTimes: number
}

/** Limits of the daemon. */
export const defaultMemberLimits: MemberLimits = {
  periodMs: 1_000,
  askAfterMs: 2_000,
  suspectAfterMs: 3_000,
  staleAfterMs: 60_000,
  forgetAfterMs: 600_000,
  jumpMs: 2_500,
  renewMs: 20_000,
  scanMs: 20_000,
  listMs: 5_000,
  scanMsPerMember: 2_000,
  listMsPerMember: 250,
  staleMsPerMember: 2_500,
  meshMembers: 8,
  ringFanout: 4,
  writerEvery: 8,
  strangerPeriods: 8,
  rumors: 2,
  digest: 6,
  rumorTimes: 8
}

/** Decides what is known of the fleet and whom to tell. */
export interface MemberDecider {
  /**
   * Takes one event.
   * @param event - what happened
   * @param now - both clocks, read when it happened
   */
  handle (event: MemberEvent, now: Instant): readonly MemberAction[]
  /** Every known VM, this one included, in the order of names. */
  members (now: Instant): readonly MemberView[]
  /** Whether a pause was noticed since the own row was last seen to name this process. */
  mayBeReplaced (): boolean
}
