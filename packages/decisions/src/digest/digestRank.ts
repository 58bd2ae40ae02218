/**
 * Selects the VMs that publish the digest of heartbeat tables, by rendezvous hashing over the names of the VMs.
 */
import { hashName, pairWeight } from '../routing/rendezvous.js'

/** Largest fleet in which every VM follows the tables itself: a digest would cost more calls than it saves. */
export const MAX_VMS_WITHOUT_DIGEST = 20
/** Number of publishers; the first writes the digest, the others write what it leaves out. */
export const DIGEST_PUBLISHERS = 3

const ROLE = hashName('passes tables on')

/**
 * Rank of a VM among the publishers, 0 for the first; undefined for all other VMs.
 * @param vms - names of the present VMs, including `self`
 */
export function publisherRank (self: string, vms: readonly string[]): number | undefined {
  const selfWeight = weightOf(self)
  const rank = vms.filter(vm => vm !== self && isBefore(vm, weightOf(vm), self, selfWeight)).length
  return rank < DIGEST_PUBLISHERS ? rank : undefined
}

function weightOf (vm: string): number {
  return pairWeight(ROLE, hashName(vm))
}

function isBefore (vm: string, weight: number, self: string, selfWeight: number): boolean {
  return weight > selfWeight || (weight === selfWeight && vm < self)
}
