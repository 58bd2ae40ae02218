/**
 * Index of the prompt prefixes that each runner is believed to cache. Cache events arrive late and
 * incomplete and evictions may be lost, so an entry is only a hint and expires. The number of
 * entries is bounded, and the oldest are dropped first.
 */

const MAX_PREFIXES = 16_384

const PREFIX_TTL_MS = 30_000

const MAX_RUNNERS_PER_PREFIX = 4

interface CachedPrefix {
  readonly runner: string
  readonly until: number
}

/** Times are monotonic milliseconds. */
export class PrefixIndex {
  private readonly entries = new Map<string, CachedPrefix[]>()

  get size (): number {
    return this.entries.size
  }

  stored (hash: string, runner: string, mono: number): void {
    const others = (this.entries.get(hash) ?? []).filter(item => item.runner !== runner && item.until > mono)
    const recent = others.slice(-(MAX_RUNNERS_PER_PREFIX - 1))
    this.entries.delete(hash)
    this.entries.set(hash, [...recent, { runner, until: mono + PREFIX_TTL_MS }])
    if (this.entries.size > MAX_PREFIXES) this.dropOldest()
  }

  evicted (hash: string, runner: string): void {
    const remaining = (this.entries.get(hash) ?? []).filter(item => item.runner !== runner)
    if (remaining.length === 0) this.entries.delete(hash)
    else this.entries.set(hash, remaining)
  }

  /**
   * Share of a prompt believed to be cached, 0 to 1, for each runner that caches any of it.
   * @param hashes - hashes of the prompt's prefixes, longest last
   * @param mono - current time
   */
  cachedShares (hashes: readonly string[], mono: number): ReadonlyMap<string, number> {
    const found = new Map<string, number>()
    for (let i = hashes.length - 1; i >= 0; i--) {
      for (const { runner, until } of this.entries.get(hashes[i] ?? '') ?? []) {
        if (until > mono && !found.has(runner)) found.set(runner, (i + 1) / hashes.length)
      }
    }
    return found
  }

  private dropOldest (): void {
    const oldest = this.entries.keys().next()
    if (oldest.done !== true) this.entries.delete(oldest.value)
  }
}
