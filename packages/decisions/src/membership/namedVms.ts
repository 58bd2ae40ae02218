/**
 * Selects the VMs to advertise to a caller that requests addresses. VMs of the caller's failure domain suffice if several of them
 * have capacity; otherwise VMs of other domains are added. The VMs are ranked for each caller by rendezvous hashing, so that each
 * VM is advertised about equally often and a caller that requests again, also from another VM, keeps its open connections.
 */
import { hashName, pairWeight } from '../routing/rendezvous.js'

/** Most VMs in one response. */
const MOST_NAMED = 64
/** VMs with capacity in the caller's domain from which on no others are advertised. */
const ENOUGH_VMS = 8
/** Share of the domain's VMs that must have capacity for that. */
const ENOUGH_PART = 0.5

/** A VM that may be advertised. */
export interface NamedVm {
  readonly vm: string
  readonly domain: string
  readonly region?: string | undefined
  /** Whether it is overloaded. */
  readonly isPressed?: boolean | undefined
}

/** Location of a caller that requests addresses. */
export interface CallerPlace {
  /** Identifies the caller. */
  readonly caller: string
  /** Absent if the caller does not send it. */
  readonly domain?: string | undefined
  readonly region?: string | undefined
}

/**
 * VMs to advertise to a caller. If all are overloaded they are advertised all the same: a refusal there is better than no address.
 * @param serving - VMs that serve requests
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
