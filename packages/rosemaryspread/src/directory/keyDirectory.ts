/**
 * Finds the owner of a bearer key. Only SHA-256 hashes of keys are configured; a key is looked up by
 * its hash, and the hash is then compared in constant time.
 */
import { hash, timingSafeEqual } from 'node:crypto'

/** Owners of keys, teams or operators, by key hash. */
export class KeyDirectory {
  private owners = new Map<string, string>()

  /**
   * Replaces all keys.
   * @param entries - owners and the hex SHA-256 hashes of their keys
   */
  replace (entries: ReadonlyArray<readonly [owner: string, keyHashes: readonly string[]]>): void {
    this.owners = new Map(entries.flatMap(([owner, hashes]) => hashes.map(hash => [hash, owner] as const)))
  }

  /** Whether no key is configured. */
  get isEmpty (): boolean {
    return this.owners.size === 0
  }

  /** The owner of a key as sent by the caller; undefined when no owner has it. */
  ownerOf (key: string): string | undefined {
    const digest = hash('sha256', key, 'buffer')
    const keyHash = digest.toString('hex')
    const owner = this.owners.get(keyHash)
    const expected = Buffer.from(owner === undefined ? '0'.repeat(keyHash.length) : keyHash, 'hex')
    return timingSafeEqual(expected, digest) ? owner : undefined
  }
}
