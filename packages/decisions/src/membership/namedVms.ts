/**
 * Which VMs are named to a caller who asks where to connect. VMs of the caller's own failure domain
 * are enough as long as several of them have room; else those of other domains fill the answer up.
 * Each caller gets the VMs that rank first for it by rendezvous hashing, so that every VM is named about
 * equally often, and a caller who asks again, also of another VM, keeps its open connections.
 */
import { hashName, pairWeight } from '../routing/rendezvous.js'

/** Most VMs that one answer may name. */
const MOST_NAMED = 64
/** VMs with room in the caller's domain from which on no others are named. */
const ENOUGH_VMS = 8
/** Part of the domain's VMs that have to have room for that. */
const ENOUGH_PART = 0.5

/** A VM that may be named. */
export interface NamedVm {
  readonly vm: string
  readonly domain: string
  readonly region?: string | undefined
  /** Whether it has more to do than it can. */
  readonly isPressed?: boolean | undefined
}

/** Where a caller is who asks for addresses. */
export interface CallerPlace {
  /** What tells callers apart. */
  readonly caller: string
  /** Absent where the caller does not say. */
  readonly domain?: string | undefined
  readonly region?: string | undefined
}

/**
 * VMs to name to a caller. Where all are pressed they are named all the same: being refused there is better than no address.
 * @param place - the caller
 * @param serving - VMs that serve
 */
export function namedVms<T extends NamedVm> (place: CallerPlace, serving: readonly T[]): readonly T[] {
  const withRoom = serving.filter(vm => vm.isPressed !== true)
  const usable = withRoom.length > 0 ? withRoom : serving
  const own = usable.filter(vm => vm.domain === place.domain)
  const candidates = isEnough(own, place, serving) ? own : usable
  const key = hashName(place.caller)
  return candidates
    .map(vm => ({ vm, distance: distanceOf(place, vm), weight: pairWeight(key, hashName(vm.vm)) }))
    .sort((a, b) => a.distance - b.distance || b.weight - a.weight)
    .slice(0, MOST_NAMED)
    .map(({ vm }) => vm)
}

function isEnough (own: readonly NamedVm[], place: CallerPlace, serving: readonly NamedVm[]): boolean {
  const inDomain = serving.filter(vm => vm.domain === place.domain).length
  return own.length >= ENOUGH_VMS && own.length >= inDomain * ENOUGH_PART
}

function distanceOf (place: CallerPlace, vm: NamedVm): number {
  if (vm.domain === place.domain) return 0
  return vm.region === undefined || place.region === undefined || vm.region === place.region ? 1 : 2
}
