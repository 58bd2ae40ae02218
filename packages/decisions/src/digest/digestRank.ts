/**
 * Which VMs of a fleet pass tables of heartbeats on to the others, by rendezvous hashing over the names of the VMs.
 */
import { hashName, pairWeight } from '../routing/rendezvous.js'

/** VMs up to which each follows the tables itself: a digest would cost more calls than it saves. */
export const ALL_FOLLOW_UP_TO = 20
/** VMs that pass tables on; the first of them writes, the others write what it leaves out. */
export const PASSING_VMS = 3

const ROLE = hashName('passes tables on')

/**
 * Place of a VM among those that pass tables on, 0 for the first; undefined for all others.
 * @param self - name of the VM
 * @param vms - names of the VMs present, this one included
 */
export function passingRank (self: string, vms: readonly string[]): number | undefined {
  const own = weightOf(self)
  const before = vms.filter(vm => vm !== self && isBefore(vm, weightOf(vm), self, own)).length
  return before < PASSING_VMS ? before : undefined
}

function weightOf (vm: string): number {
  return pairWeight(ROLE, hashName(vm))
}

function isBefore (vm: string, weight: number, self: string, own: number): boolean {
  return weight > own || (weight === own && vm < self)
}
