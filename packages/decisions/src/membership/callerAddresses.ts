/**
 * Which VMs a caller should use: those of the own failure domain first, then the own region,
 * then the rest; inside each, at random but weighted by capacity and present load, so that
 * callers who ask at the same moment do not all go to one VM.
 */
import type { MemberView } from './memberTypes.js'

/** Most addresses in one answer. */
const MAX_ADDRESSES = 16

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
 */
export function addressesFor (place: Place, members: readonly MemberView[], keepMs: number, random: () => number): CallerAddresses {
  const usable = members.filter(member => member.state === 'live')
  const keyed = usable.map(member => ({ member, distance: distanceOf(place, member), key: sortKey(member, random()) }))
  keyed.sort((a, b) => a.distance - b.distance || b.key - a.key)
  const addresses = keyed.slice(0, MAX_ADDRESSES).map(({ member }) => member.callers)
  return { addresses, keepMs }
}

function distanceOf (place: Place, member: MemberView): number {
  if (member.domain === place.domain) return 0
  return member.region === place.region ? 1 : 2
}

/** Key of weighted sampling without replacement (Efraimidis and Spirakis 2006). */
function sortKey (member: MemberView, draw: number): number {
  const weight = member.capacity / (1 + member.openRequests)
  return Math.log(Math.max(draw, Number.MIN_VALUE)) / weight
}
