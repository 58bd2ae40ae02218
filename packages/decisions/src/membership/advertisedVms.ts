/**
 * Selects the VMs to advertise to a caller that requests addresses. VMs of the caller's failure domain suffice if several of them
 * have capacity; otherwise VMs of other domains are added. The VMs are ranked for each caller by rendezvous hashing, so that each
 * VM is advertised about equally often and a caller that requests again, also from another VM, keeps its open connections.
 */
import { hashName, pairWeight } from '../routing/rendezvous.js'

/** Maximum VMs in one response. */
const MAX_ADVERTISED = 64
/** With this many VMs with capacity in the caller's domain, no VMs of other domains are advertised. */
const MIN_DOMAIN_VMS = 8
/** Minimum share of the domain's VMs that must have capacity for that. */
const MIN_DOMAIN_SHARE = 0.5

/** A VM that may be advertised. */
export interface AdvertisedVm {
  readonly vm: string
  readonly domain: string
  readonly region?: string | undefined
  /** Whether it is overloaded. */
  readonly isPressed?: boolean | undefined
  /** Services whose targets it cannot reach. */
  readonly unreachable?: readonly string[] | undefined
}

/** Location of a caller that requests addresses. */
export interface CallerLocation {
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
export function selectAdvertisedVms<T extends AdvertisedVm> (location: CallerLocation, serving: readonly T[]): readonly T[] {
  const reaching = withPaths(serving)
  const withCapacity = reaching.filter(vm => vm.isPressed !== true)
  const usable = withCapacity.length > 0 ? withCapacity : reaching
  const inDomain = usable.filter(vm => vm.domain === location.domain)
  const candidates = isSufficient(inDomain, location, serving) ? inDomain : usable
  const key = hashName(location.caller)
  return candidates
    .map(vm => ({ vm, distance: distanceOf(location, vm), weight: pairWeight(key, hashName(vm.vm)) }))
    .sort((a, b) => a.distance - b.distance || b.weight - a.weight)
    .slice(0, MAX_ADVERTISED)
    .map(({ vm }) => vm)
}

/** VMs that reach each service that any VM reaches; all if there are none. */
function withPaths<T extends AdvertisedVm> (serving: readonly T[]): readonly T[] {
  const isLost = (vm: T, service: string): boolean => vm.unreachable?.includes(service) === true
  const services = new Set(serving.flatMap(({ unreachable = [] }) => unreachable))
  const reached = [...services].filter(service => serving.some(vm => !isLost(vm, service)))
  const reaching = serving.filter(vm => !reached.some(service => isLost(vm, service)))
  return reaching.length > 0 ? reaching : serving
}

function isSufficient (withCapacity: readonly AdvertisedVm[], location: CallerLocation, serving: readonly AdvertisedVm[]): boolean {
  const inDomain = serving.filter(vm => vm.domain === location.domain).length
  return withCapacity.length >= MIN_DOMAIN_VMS && withCapacity.length >= inDomain * MIN_DOMAIN_SHARE
}

function distanceOf (location: CallerLocation, vm: AdvertisedVm): number {
  if (vm.domain === location.domain) return 0
  return vm.region === undefined || location.region === undefined || vm.region === location.region ? 1 : 2
}
