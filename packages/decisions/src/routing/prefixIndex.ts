/**
 * What is believed of the prompt prefixes cached at each runner. Cache events come late and
 * with gaps and evictions may be lost, so an entry is only a hint and expires; the number of
 * entries is bounded and the oldest go first.
 */

/** Entries kept at most. */
const PREFIX_LIMIT = 16_384

/** Milliseconds for which an entry is believed. */
const PREFIX_KEEP_MS = 30_000

/** Runners remembered for one prefix at most. */
const RUNNERS_PER_PREFIX = 4

interface Holding {
  readonly runner: string
  readonly until: number
}

/** Prefix hashes and the runners believed to hold them. Times are monotonic milliseconds. */
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
   * Share of a prompt believed to be cached, 0 to 1, for each runner that holds any of it.
   * @param hashes - hashes of the prompt's prefixes, longest last
   * @param mono - present time
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
