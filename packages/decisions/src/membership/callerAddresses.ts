/**
 * Which VMs a caller should use: those of the own failure domain first, then the own region,
 * then the rest; inside each, at random but weighted by capacity and present load, so that
 * callers who ask at the same moment do not all go to one VM. A caller who says its team gets the
 * VMs of a domain in the team's own order, so that few VMs draw on each budget.
 */
import { HASH_RANGE, hashName, pairWeight } from '../routing/rendezvous.js'
import type { MemberView } from './memberTypes.js'

/** Most addresses in one answer. */
const MAX_ADDRESSES = 16
/** Open requests beyond twice the mean and these many put a VM behind in a team's order. */
const BUSY_MARGIN = 8
/** Weight left to a VM that is behind. */
const BUSY_WEIGHT = 0.01

/** The answering VM's place. */
export interface Place {
  readonly domain: string
  readonly region: string
}

/** Addresses (IPv4:port) in the order to try, and the milliseconds to keep them. */
export interface CallerAddresses {
  readonly addresses: readonly string[]
  readonly keepMs: number
}

/**
 * Addresses for a caller; never of a VM that is leaving, suspected or gone.
 * @param place - failure domain and region of the answering VM
 * @param members - all VMs as known now
 * @param keepMs - how long the answer may be kept, from the configuration
 * @param random - uniform in [0, 1), one draw for each VM
 * @param team - the caller's team, when it is known
 */
export function addressesFor (place: Place, members: readonly MemberView[], keepMs: number, random: () => number, team?: string): CallerAddresses {
  const usable = members.filter(member => member.state === 'live')
  const keyOf = team === undefined ? (member: MemberView) => sortKey(loadWeight(member), random()) : teamKeys(team, usable)
  const keyed = usable.map(member => ({ member, distance: distanceOf(place, member), key: keyOf(member) }))
  keyed.sort((a, b) => a.distance - b.distance || b.key - a.key)
  const addresses = keyed.slice(0, MAX_ADDRESSES).map(({ member }) => member.callers)
  return { addresses, keepMs }
}

function distanceOf (place: Place, member: MemberView): number {
  if (member.domain === place.domain) return 0
  return member.region === place.region ? 1 : 2
}

/** Key of weighted sampling without replacement (Efraimidis and Spirakis 2006). */
function sortKey (weight: number, draw: number): number {
  return Math.log(Math.max(draw, Number.MIN_VALUE)) / weight
}

function loadWeight (member: MemberView): number {
  return member.capacity / (1 + member.openRequests)
}

/** Weighted rendezvous order: the same for a team at every VM, but for VMs that are far busier than the rest. */
function teamKeys (team: string, members: readonly MemberView[]): (member: MemberView) => number {
  const key = hashName(team)
  const mean = members.reduce((sum, member) => sum + member.openRequests, 0) / Math.max(1, members.length)
  return member => {
    const isBusy = member.openRequests > 2 * mean + BUSY_MARGIN
    const draw = (pairWeight(key, hashName(member.vm)) + 1) / (HASH_RANGE + 1)
    return sortKey(member.capacity * (isBusy ? BUSY_WEIGHT : 1), draw)
  }
}
