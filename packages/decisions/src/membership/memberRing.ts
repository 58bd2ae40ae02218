/**
 * Determines who sends heartbeats to whom. Each VM computes the same ring of its domain from the same names, so no agreement is
 * needed; while views differ, a VM that wrongly expects heartbeats requests them.
 */
import { hashName, pairWeight } from '../routing/rendezvous.js'

export interface RingMember {
  readonly vm: string
  readonly domain: string
}

/** Limits of the heartbeat fan-out. */
export interface RingLimits {
  readonly meshMembers: number
  readonly ringFanout: number
}

/**
 * Regular recipients of the heartbeats of one VM: all VMs in a small fleet, otherwise its successors on the ring of its domain.
 * @param members - all members that take part, including the sender
 */
export function heartbeatRecipients<T extends RingMember> (self: RingMember, members: readonly T[], limits: RingLimits): readonly T[] {
  return neighbours(self, members, limits, ring => ring.slice(0, limits.ringFanout))
}

/**
 * Regular senders of heartbeats to one VM; the inverse of `heartbeatRecipients`.
 * @param members - all members that take part, including the receiver
 */
export function heartbeatSenders<T extends RingMember> (self: RingMember, members: readonly T[], limits: RingLimits): readonly T[] {
  return neighbours(self, members, limits, ring => ring.slice(-limits.ringFanout))
}

/**
 * Candidates for a role, best first. Only the first few poll the lease of a role, which bounds the reads whatever the size of the
 * fleet.
 * @param role - role of a lease, or another task that few VMs perform
 * @param vms - names of the eligible live VMs
 */
export function roleCandidates (role: string, vms: readonly string[], limit: number): readonly string[] {
  const key = hashName(role)
  const weighted = vms.map(vm => ({ vm, weight: pairWeight(key, hashName(vm)) }))
  weighted.sort((a, b) => b.weight - a.weight || compareNames(a.vm, b.vm))
  return weighted.slice(0, limit).map(({ vm }) => vm)
}

/** All other members in a small fleet, otherwise a slice of the domain's ring that starts behind `self`. */
function neighbours<T extends RingMember> (self: RingMember, members: readonly T[], limits: RingLimits, sliceRing: (ring: readonly T[]) => readonly T[]): readonly T[] {
  const others = members.filter(member => member.vm !== self.vm)
  if (others.length < limits.meshMembers) return others
  const ring = ringOf(others.filter(member => member.domain === self.domain))
  const selfPosition = hashName(self.vm)
  const first = Math.max(ring.findIndex(member => isAfter(member.vm, self.vm, selfPosition)), 0)
  return sliceRing([...ring.slice(first), ...ring.slice(0, first)])
}

function ringOf<T extends RingMember> (members: readonly T[]): readonly T[] {
  const placed = members.map(member => ({ member, place: hashName(member.vm) }))
  placed.sort((a, b) => a.place - b.place || compareNames(a.member.vm, b.member.vm))
  return placed.map(({ member }) => member)
}

function isAfter (vm: string, self: string, selfPosition: number): boolean {
  const position = hashName(vm)
  return position > selfPosition || (position === selfPosition && vm > self)
}

function compareNames (a: string, b: string): number {
  return a < b ? -1 : Number(a > b)
}
