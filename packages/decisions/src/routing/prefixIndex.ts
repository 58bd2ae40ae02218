/**
 * Index of the prompt prefixes that each runner is believed to cache. Cache events arrive late and
 * incomplete and evictions may be lost, so an entry is only a hint and expires. The number of
 * entries is bounded, and the oldest are dropped first.
 */

const PREFIX_LIMIT = 16_384

const PREFIX_KEEP_MS = 30_000

const RUNNERS_PER_PREFIX = 4

interface Holding {
  readonly runner: string
  readonly until: number
}

/** Times are monotonic milliseconds. */
export class PrefixIndex {
  private readonly holdings = new Map<string, Holding[]>()

  get size (): number {
    return this.holdings.size
  }

  stored (hash: string, runner: string, mono: number): void {
    const others = (this.holdings.get(hash) ?? []).filter(item => item.runner !== runner && item.until > mono)
    const kept = others.slice(-(RUNNERS_PER_PREFIX - 1))
    this.holdings.delete(hash)
    this.holdings.set(hash, [...kept, { runner, until: mono + PREFIX_KEEP_MS }])
    if (this.holdings.size > PREFIX_LIMIT) this.dropOldest()
  }

  evicted (hash: string, runner: string): void {
    const rest = (this.holdings.get(hash) ?? []).filter(item => item.runner !== runner)
    if (rest.length === 0) this.holdings.delete(hash)
    else this.holdings.set(hash, rest)
  }

  /**
   * Share of a prompt believed to be cached, 0 to 1, for each runner that caches any of it.
   * @param hashes - hashes of the prompt's prefixes, longest last
   * @param mono - current time
   */
  shares (hashes: readonly string[], mono: number): ReadonlyMap<string, number> {
    const found = new Map<string, number>()
    for (let i = hashes.length - 1; i >= 0; i--) {
      for (const { runner, until } of this.holdings.get(hashes[i] ?? '') ?? []) {
        if (until > mono && !found.has(runner)) found.set(runner, (i + 1) / hashes.length)
      }
    }
    return found
  }

  private dropOldest (): void {
    const oldest = this.holdings.keys().next()
    if (oldest.done !== true) this.holdings.delete(oldest.value)
  }
}
