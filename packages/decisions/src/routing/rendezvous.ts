/**
 * Rendezvous (highest random weight) hashing on 32-bit hashes. Every VM computes the same order
 * from the same names; adding or removing a name moves only the keys assigned to it.
 */

/** Number of distinct hashes and weights. */
export const HASH_RANGE = 2 ** 32

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** 32-bit FNV-1a hash of a name, finalized by {@link mix}. */
export function hashName (name: string): number {
  let hash = FNV_OFFSET
  for (let i = 0; i < name.length; i++) {
    hash = Math.imul(hash ^ name.charCodeAt(i), FNV_PRIME)
  }
  return mix(hash)
}

/**
 * Weight of a pair of hashed names, 0 to 2^32 - 1.
 * @param keyHash - hash of the key
 * @param candidateHash - hash of the candidate
 */
export function pairWeight (keyHash: number, candidateHash: number): number {
  return mix(Math.imul(keyHash, 0x9e3779b1) ^ candidateHash)
}

/** Finalizer of MurmurHash3: each input bit changes about half of the output bits. */
function mix (value: number): number {
  let hash = value
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
