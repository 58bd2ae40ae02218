/**
 * Ranks the VMs that hold the record of a stream, by rendezvous hashing of its key, so that any VM knows which ones to ask.
 */
import { hashName, pairWeight } from '../routing/rendezvous.js'

/** VMs that are told of a stream besides the one at which it began. */
export const TOLD_VMS = 2
/**
 * VMs that are asked: each of them may be gone, and those that leave or join in between shift the ranks. The VM that asks is left out of its own
 * ranking, the one that told out of the other.
 */
export const ASKED_VMS = 4

/** Ranks the other VMs of a fleet. */
export class StreamHolders {
  /** Hashes of names; grows with the VMs that were seen. */
  private readonly hashes = new Map<string, number>()

  /**
   * The highest-ranked VMs for a stream, best first.
   * @param key - key of the stream
   * @param vms - the other VMs
   * @param nameOf - name of a VM, stable over restarts
   */
  highest<Vm> (key: string, vms: readonly Vm[], nameOf: (vm: Vm) => string, count: number): readonly Vm[] {
    const keyHash = hashName(key)
    return vms
      .map(vm => ({ vm, weight: pairWeight(keyHash, this.hashOf(nameOf(vm))) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, count)
      .map(({ vm }) => vm)
  }

  private hashOf (name: string): number {
    const known = this.hashes.get(name)
    if (known !== undefined) return known
    const hash = hashName(name)
    this.hashes.set(name, hash)
    return hash
  }
}
