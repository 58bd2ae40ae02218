/**
 * Addresses of VMs for a caller: VMs of the local failure domain first, then those of the region, then the rest. Within each group
 * the order is random, weighted by capacity and load, so that simultaneous callers spread over the VMs. If the team is known, the
 * order within a group is the same for all its requests, except for busy VMs, so that few VMs draw on each budget.
 */
import { HASH_RANGE, hashName, pairWeight } from '../routing/rendezvous.js'
import type { MemberView } from './memberTypes.js'

/** Maximum addresses in one response. */
const MAX_ADDRESSES = 16
/** A VM with more open requests than twice the mean plus this margin is busy and ranks lower in a team's order. */
const BUSY_MARGIN = 8
/** Weight factor of a busy VM. */
const BUSY_WEIGHT = 0.01

/** Location of the responding VM. */
export interface VmLocation {
  readonly domain: string
  readonly region: string
}

/** Addresses (IPv4:port) in the order to try, and the milliseconds for which to cache them. */
export interface CallerAddresses {
  readonly addresses: readonly string[]
  readonly keepMs: number
}

/**
 * Addresses for a caller, of live VMs only.
 * @param keepMs - milliseconds for which the response may be cached, from the configuration
 * @param random - uniform in [0, 1), drawn once for each VM
 * @param team - the caller's team, if known
 */
export function addressesFor (location: VmLocation, members: readonly MemberView[], keepMs: number, random: () => number, team?: string): CallerAddresses {
  const usable = members.filter(member => member.state === 'live')
  const keyOf = team === undefined ? (member: MemberView) => sortKey(loadWeight(member), random()) : teamKeys(team, usable)
  const keyed = usable.map(member => ({ member, distance: distanceOf(location, member), key: keyOf(member) }))
  keyed.sort((a, b) => a.distance - b.distance || b.key - a.key)
  const addresses = keyed.slice(0, MAX_ADDRESSES).map(({ member }) => member.callers)
  return { addresses, keepMs }
}

function distanceOf (location: VmLocation, member: MemberView): number {
  if (member.domain === location.domain) return 0
  return member.region === location.region ? 1 : 2
}

/** Sort key of weighted sampling without replacement (Efraimidis and Spirakis 2006). */
function sortKey (weight: number, draw: number): number {
  return Math.log(Math.max(draw, Number.MIN_VALUE)) / weight
}

function loadWeight (member: MemberView): number {
  return member.capacity / (1 + member.openRequests)
}

/** Weighted rendezvous order of a team: the same at every VM, except for busy VMs. */
function teamKeys (team: string, members: readonly MemberView[]): (member: MemberView) => number {
  const key = hashName(team)
  const mean = members.reduce((sum, member) => sum + member.openRequests, 0) / Math.max(1, members.length)
  return member => {
    const isBusy = member.openRequests > 2 * mean + BUSY_MARGIN
    const draw = (pairWeight(key, hashName(member.vm)) + 1) / (HASH_RANGE + 1)
    return sortKey(member.capacity * (isBusy ? BUSY_WEIGHT : 1), draw)
  }
}
