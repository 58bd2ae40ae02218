/**
 * Who sends heartbeats to whom. Each VM computes the same ring of its domain from the same
 * names, so nothing has to be agreed; while views differ, a VM that wrongly expects heartbeats
 * asks for them.
 */
import { hashName, pairWeight } from '../routing/rendezvous.js'

/** A name with its domain. */
export interface RingMember {
  readonly vm: string
  readonly domain: string
}

/** How far heartbeats go. */
export interface RingLimits {
  readonly meshMembers: number
  readonly ringFanout: number
}

/**
 * The VMs that get every heartbeat of one VM: all in a small fleet, else its successors on the
 * ring of its domain.
 * @param self - the sender
 * @param members - all members that take part, the sender included
 * @param limits - size of a small fleet, and number of successors
 */
export function heartbeatTargets<T extends RingMember> (self: RingMember, members: readonly T[], limits: RingLimits): readonly T[] {
  return neighbours(self, members, limits, ring => ring.slice(0, limits.ringFanout))
}

/**
 * The VMs whose every heartbeat one VM gets; the inverse of {@link heartbeatTargets}.
 * @param self - the receiver
 * @param members - all members that take part, the receiver included
 * @param limits - size of a small fleet, and number of successors
 */
export function heartbeatSources<T extends RingMember> (self: RingMember, members: readonly T[], limits: RingLimits): readonly T[] {
  return neighbours(self, members, limits, ring => ring.slice(-limits.ringFanout))
}

/**
 * The VMs that may try to take a role, best first. Only the first few poll the lease of one, which
 * bounds the reads whatever the size of the fleet.
 * @param role - role of a lease, or what else few VMs do
 * @param vms - names of the live VMs that may hold it
 * @param atMost - how many are wanted
 */
export function roleCandidates (role: string, vms: readonly string[], atMost: number): readonly string[] {
  const key = hashName(role)
  const weighed = vms.map(vm => ({ vm, weight: pairWeight(key, hashName(vm)) }))
  weighed.sort((a, b) => b.weight - a.weight || compareNames(a.vm, b.vm))
  return weighed.slice(0, atMost).map(({ vm }) => vm)
}

/** Everyone in a small fleet, else a part of the domain's ring that begins behind `self`. */
function neighbours<T extends RingMember> (self: RingMember, members: readonly T[], limits: RingLimits, part: (ring: readonly T[]) => readonly T[]): readonly T[] {
  const others = members.filter(member => member.vm !== self.vm)
  if (others.length < limits.meshMembers) return others
  const ring = ringOf(others.filter(member => member.domain === self.domain))
  const own = hashName(self.vm)
  const first = Math.max(ring.findIndex(member => isAfter(member.vm, self.vm, own)), 0)
  return part([...ring.slice(first), ...ring.slice(0, first)])
}

function ringOf<T extends RingMember> (members: readonly T[]): readonly T[] {
  const placed = members.map(member => ({ member, place: hashName(member.vm) }))
  placed.sort((a, b) => a.place - b.place || compareNames(a.member.vm, b.member.vm))
  return placed.map(({ member }) => member)
}

function isAfter (vm: string, self: string, selfPlace: number): boolean {
  const place = hashName(vm)
  return place > selfPlace || (place === selfPlace && vm > self)
}

function compareNames (a: string, b: string): number {
  return a < b ? -1 : Number(a > b)
}
