/**
 * Types of membership: the messages between VMs, the rows of the table, the entries of the platform's list, and the events and
 * actions of the decider.
 */
import * as z from 'zod'
import type { Instant } from '../clock/clockTypes.js'
import type { HolderId } from '../names/nameTypes.js'

/** Table of the rows `vms/<vm>`. */
export const MEMBER_TABLE = 'vms'

const count = z.number().int().nonnegative()
const version = count.nullable()

/** Row `vms/<vm>`: the current incarnation of a VM. Addresses are IPv4:port. */
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
  /** Share of the callers' load, relative to other VMs. */
  capacity: z.number().positive().default(1)
})
export type MemberRow = z.infer<typeof memberRowSchema>

/** Update about one VM. Property names are short because updates are the bulk of the traffic. */
export const memberUpdateSchema = z.object({
  holder: z.string().max(256),
  /** Sequence number of the heartbeat that carried this state; grows with each heartbeat of a holder. */
  beat: count,
  state: z.enum(['live', 'leaving', 'suspected']),
  config: version,
  /** Requests open at the VM. */
  open: count,
  /** Milliseconds since the heartbeat was sent, by the clocks on its path. */
  age: count
})
export type MemberUpdate = z.infer<typeof memberUpdateSchema>

/** A heartbeat: the sender's state, and updates about other VMs. */
export const heartbeatSchema = z.object({
  self: memberUpdateSchema,
  news: z.array(memberUpdateSchema).max(64),
  /** Requests a heartbeat in return. */
  ask: z.boolean()
})
export type Heartbeat = z.infer<typeof heartbeatSchema>

/** `suspected`: no sign of life for a while; `gone`: terminated by the platform. */
export type MemberState = 'live' | 'leaving' | 'suspected' | 'gone'

/** One VM as this VM sees it. */
export interface MemberView extends Omit<MemberRow, 'state'> {
  readonly state: MemberState
  readonly openRequests: number
  /** Milliseconds since the last sign of life. */
  readonly ageMs: number
}

/** A stored row with its version and the milliseconds since it was written. */
export interface StoredMember {
  readonly row: MemberRow
  readonly version: number
  readonly ageMs: number
}

/** One entry of the platform's list. */
export interface ListedVm {
  readonly vm: string
  readonly state: 'live' | 'leaving' | 'gone'
}

/** Outcome of a write of the local row. */
export type LocalWriteOutcome =
  | { readonly kind: 'written', readonly version: number }
  | { readonly kind: 'conflict' }
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' }

/** Input of the decider. */
export type MemberEvent =
  | { readonly kind: 'tick' }
  /** The configuration version or the load of this VM changed. */
  | { readonly kind: 'self', readonly configVersion: number | null, readonly openRequests: number }
  | { readonly kind: 'heartbeatReceived', readonly from: HolderId, readonly heartbeat: Heartbeat }
  /** Rows were read; `whole` if no other rows exist. */
  | { readonly kind: 'rowsRead', readonly rows: readonly StoredMember[], readonly whole: boolean, readonly requestedAt: Instant }
  /** The platform's list was read; `lagMs` is its age at the time of the response. */
  | { readonly kind: 'listRead', readonly vms: readonly ListedVm[], readonly lagMs: number, readonly requestedAt: Instant }
  | { readonly kind: 'localRowRead', readonly found: { readonly holder: HolderId, readonly version: number } | null }
  | { readonly kind: 'localRowReadFailed' }
  | { readonly kind: 'localRowWritten', readonly outcome: LocalWriteOutcome }
  | { readonly kind: 'leave' }

/** Output of the decider, carried out by its driver. */
export type MemberAction =
  | { readonly kind: 'beat', readonly to: readonly string[], readonly heartbeat: Heartbeat }
  /** Read every row. */
  | { readonly kind: 'scan' }
  /** Read the rows of these VMs. */
  | { readonly kind: 'readRows', readonly vms: readonly string[] }
  | { readonly kind: 'readList' }
  | { readonly kind: 'readLocalRow' }
  /** Write the local row if its version is still the given one (null: if there is none). */
  | { readonly kind: 'writeLocalRow', readonly row: MemberRow, readonly version: number | null }
  /** Delete the row of a VM that terminated long ago, if its version is still the given one. */
  | { readonly kind: 'deleteRow', readonly vm: string, readonly version: number }
  | { readonly kind: 'changed', readonly vm: string, readonly state: MemberState, readonly evidence: string }
  /** A clock advanced by more than the time between two ticks: the process may have been paused. */
  | { readonly kind: 'jumped', readonly jumpMs: number }
  /** Another incarnation runs under this VM's name: this process must stop. */
  | { readonly kind: 'replaced', readonly by: HolderId }

/** Periods and thresholds in milliseconds, and limits of the fan-out. */
export interface MemberLimits {
  /** Interval between two heartbeats. */
  readonly periodMs: number
  /** A watched VM without a heartbeat for this long is probed. */
  readonly probeAfterMs: number
  /** A watched VM without a heartbeat for this long is suspected. */
  readonly suspectAfterMs: number
  /**
   * Any VM without a sign of life from any source for this long is suspected; grows with the fleet, faster than the scan period.
   */
  readonly staleAfterMs: number
  /** A VM without a sign of life for this long gets no heartbeats. */
  readonly forgetAfterMs: number
  /** A tick that is late by this much indicates a pause of the process. */
  readonly jumpMs: number
  /** Interval between two writes of the local row. */
  readonly renewMs: number
  /** Shortest intervals between two scans, and between two reads of the list; both grow with the fleet. */
  readonly scanMs: number
  readonly listMs: number
  /** Lower bounds of these intervals and of `staleAfterMs`, for each member. */
  readonly scanMsPerMember: number
  readonly listMsPerMember: number
  readonly staleMsPerMember: number
  /** Up to this many members, everyone sends to everyone. */
  readonly meshMembers: number
  /** Successors on the domain's ring that get each heartbeat. */
  readonly ringFanout: number
  /** Periods between two heartbeats to the first candidate for the domain's writer role. */
  readonly writerEvery: number
  /** Periods for which one random peer beyond these gets heartbeats. */
  readonly randomPeerPeriods: number
  /** Updates in one heartbeat: recent changes in each, other members only in the one to a random peer. */
  readonly rumors: number
  readonly digest: number
  /** Messages in which a change is passed on. */
  readonly rumorTimes: number
}

/** Limits of the daemon. */
export const defaultMemberLimits: MemberLimits = {
  periodMs: 1_000,
  probeAfterMs: 2_000,
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
  randomPeerPeriods: 8,
  rumors: 2,
  digest: 6,
  rumorTimes: 8
}

/** Maintains the view of the fleet and decides whom to notify. */
export interface MemberDecider {
  /**
   * Handles one event.
   * @param now - both clocks, read when it happened
   */
  handle (event: MemberEvent, now: Instant): readonly MemberAction[]
  /** All VMs including this one, sorted by name. */
  members (now: Instant): readonly MemberView[]
  /** Whether a pause was detected since the local row was last seen to name this process. */
  mayBeReplaced (): boolean
}
